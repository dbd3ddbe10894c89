/**
 * Elapsed time that also counts while a host is suspended. A steady clock stands still then and the time of day goes on,
 * so whatever the time of day gains on the steady clock counts as suspension: a lease may look older than it is, but not
 * younger. The time since the machine's start would tell it directly, but the runtime can't read it.
 */
import type { Clock } from '@figloom/runtime'

/** A moment on a clock that counts suspensions. */
export type Instant = { awakeMs: number, suspendedMs: number }

/** The time of day is read to a millisecond and slewed; less than this is no step. */
const STEP_MS = 10

export class InstantSource {
  #offsetMs: number
  #suspendedMs = 0

  private constructor (private readonly clock: Clock) {
    this.#offsetMs = this.#offset()
  }

  static create (clock: Clock): InstantSource {
    return new InstantSource(clock)
  }

  now (): Instant {
    this.#noteSteps()
    return { awakeMs: this.clock.monotonicMs(), suspendedMs: this.#suspendedMs }
  }

  /** The same as one number of milliseconds, from an arbitrary start. */
  nowMs (): number {
    const { awakeMs, suspendedMs } = this.now()
    return awakeMs + suspendedMs
  }

  /** Milliseconds since `instant` at the most. */
  elapsedMs (instant: Instant): number {
    const now = this.now()
    return now.awakeMs - instant.awakeMs + now.suspendedMs - instant.suspendedMs
  }

  /** Steps back hide no suspension but one that happens between two looks at the clocks. */
  #noteSteps (): void {
    const offsetMs = this.#offset()
    const stepMs = offsetMs - this.#offsetMs
    if (Math.abs(stepMs) < STEP_MS) return
    this.#offsetMs = offsetMs
    if (stepMs > 0) this.#suspendedMs += stepMs
  }

  #offset (): number {
    return this.clock.now().getTime() - this.clock.monotonicMs()
  }
}
