/**
 * Runners that announced in an answer that they leave. Their entries may state for a long time that they are ready, so the signal
 * applies to the process whatever its entry states. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import { ProcessMap } from './process-map.js'
import type { LeavingReport, LocatedRunner } from './types.js'

/** A leaving process has ended long before this time is over. */
const RETENTION_MS = 600_000
/** The signal is reported to other hosts for this long; by then the platform's list shows that the runner left. */
const REPORTED_MS = 30_000

/** The host that received the signal last, and when. */
export type LeavingSignal = { origin: string, receivedMs: number }

export class LeavingRunners {
  readonly #signals = ProcessMap.create<LeavingSignal>()

  private constructor () {}

  static create (): LeavingRunners {
    return new LeavingRunners()
  }

  /** Records a signal; returns whether it is the first one of this process. */
  receive (runner: LocatedRunner, signal: LeavingSignal): boolean {
    const known = this.#signals.get(runner)
    if (known !== undefined && known.receivedMs >= signal.receivedMs) return false
    return this.#signals.set(runner, signal) && known === undefined
  }

  /** The signal of a leaving process; undefined if none was received. */
  signal (runner: LocatedRunner): LeavingSignal | undefined {
    return this.#signals.get(runner)
  }

  isLeaving (runner: LocatedRunner): boolean {
    return this.#signals.get(runner) !== undefined
  }

  /** Reports for other hosts. */
  reports (nowMs: number): LeavingReport[] {
    return this.#signals.entries()
      .filter(({ value }) => nowMs - value.receivedMs < REPORTED_MS)
      .map(({ process: { id, address, startedUnixMs }, value: { origin, receivedMs } }) => {
        return { runnerId: id, address, startedUnixMs, origin, heardAgoMs: Math.max(0, nowMs - receivedMs) }
      })
  }

  sweep (nowMs: number): void {
    for (const { process, value } of this.#signals.entries()) {
      if (nowMs - value.receivedMs >= RETENTION_MS) this.#signals.delete(process)
    }
  }
}
