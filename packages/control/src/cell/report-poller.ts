/** Asks the engines of a cell's runners for reports, one question at a time to each. */
import type { EngineClient, EngineReport } from '@figloom/clients'
import type { Clock } from '@figloom/runtime'

export type ReportPollerOptions = {
  engines: EngineClient
  clock: Clock
  /** Pause between questions to a runner without unsettled orders. */
  restEveryMs: number
  /** Pause between questions to a runner with unsettled orders. */
  busyEveryMs: number
  timeoutMs: number
  onReport: (runner: string, report: EngineReport, askedMs: number) => void
}

/** Runners to ask, with the times of the last questions. */
export class ReportPoller {
  readonly #askedMs = new Map<string, number>()
  readonly #waiting = new Set<string>()

  private constructor (private readonly options: ReportPollerOptions) {}

  static create (options: ReportPollerOptions): ReportPoller {
    return new ReportPoller(options)
  }

  /** Notes a question that another task asked. */
  noteAsked (runner: string, askedMs: number): void {
    this.#askedMs.set(runner, Math.max(askedMs, this.#askedMs.get(runner) ?? -Infinity))
  }

  /** Asks those of the runners that are due. */
  askDue (runners: { name: string, url: string, busy: boolean }[]): void {
    const { clock, restEveryMs, busyEveryMs } = this.options
    for (const { name, url, busy } of runners) {
      const dueMs = (this.#askedMs.get(name) ?? -Infinity) + (busy ? busyEveryMs : restEveryMs)
      if (!this.#waiting.has(name) && clock.monotonicMs() >= dueMs) this.#ask(name, url)
    }
  }

  async #ask (name: string, url: string): Promise<void> {
    const { clock, engines, timeoutMs, onReport } = this.options
    const askedMs = clock.monotonicMs()
    this.#askedMs.set(name, askedMs)
    this.#waiting.add(name)
    const abort = new AbortController()
    const timer = clock.setTimer(timeoutMs, () => abort.abort())
    const result = await engines.report(url, abort.signal)
    timer.cancel()
    this.#waiting.delete(name)
    if (result.isOk()) onReport(name, result.value, askedMs)
  }
}
