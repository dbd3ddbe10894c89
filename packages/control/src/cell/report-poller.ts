/** Polls the engines of a cell's runners for reports, with at most one poll in flight per runner. */
import type { EngineClient, EngineReport } from '@figloom/clients'
import type { Clock } from '@figloom/runtime'

export type ReportPollerOptions = {
  engines: EngineClient
  clock: Clock
  /** Interval between polls of a runner without unsettled orders. */
  idleEveryMs: number
  /** Interval between polls of a runner with unsettled orders. */
  busyEveryMs: number
  timeoutMs: number
  onReport: (runner: string, report: EngineReport, requestedMs: number) => void
}

/** Polls runners that are due, by the time of their last poll. */
export class ReportPoller {
  readonly #polledMs = new Map<string, number>()
  readonly #inFlight = new Set<string>()

  private constructor (private readonly options: ReportPollerOptions) {}

  static create (options: ReportPollerOptions): ReportPoller {
    return new ReportPoller(options)
  }

  /** Notes a poll that another task made. */
  notePolled (runner: string, requestedMs: number): void {
    this.#polledMs.set(runner, Math.max(requestedMs, this.#polledMs.get(runner) ?? -Infinity))
  }

  /** Polls those of the runners that are due. */
  pollDue (runners: { name: string, url: string, busy: boolean }[]): void {
    const { clock, idleEveryMs, busyEveryMs } = this.options
    for (const { name, url, busy } of runners) {
      const dueMs = (this.#polledMs.get(name) ?? -Infinity) + (busy ? busyEveryMs : idleEveryMs)
      if (!this.#inFlight.has(name) && clock.monotonicMs() >= dueMs) this.#poll(name, url)
    }
  }

  async #poll (name: string, url: string): Promise<void> {
    const { clock, engines, timeoutMs, onReport } = this.options
    const requestedMs = clock.monotonicMs()
    this.#polledMs.set(name, requestedMs)
    this.#inFlight.add(name)
    const abort = new AbortController()
    const timer = clock.setTimer(timeoutMs, () => abort.abort())
    const result = await engines.report(url, abort.signal)
    timer.cancel()
    this.#inFlight.delete(name)
    if (result.isOk()) onReport(name, result.value, requestedMs)
  }
}
