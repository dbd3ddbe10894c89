/**
 * Measures elapsed time including the time for which a host is suspended. A suspension stops the monotonic clock but not the
 * wall clock, so a step of the wall clock ahead of the monotonic clock counts as a suspension: a lease may look older than it
 * is, but not younger. The time since boot would measure this directly, but the runtime doesn't provide it.
 */
import type { Clock } from '@figloom/runtime'

/** A point in time on a clock that includes suspensions. */
export type Instant = { awakeMs: number, suspendedMs: number }

/** The wall clock has a resolution of a millisecond and may be slewed; smaller differences don't count as a step. */
const MIN_STEP_MS = 10

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
    this.#recordStep()
    return { awakeMs: this.clock.monotonicMs(), suspendedMs: this.#suspendedMs }
  }

  /** Same as `now`, as milliseconds since an arbitrary origin. */
  nowMs (): number {
    const { awakeMs, suspendedMs } = this.now()
    return awakeMs + suspendedMs
  }

  /** Upper bound of the milliseconds since `instant`. */
  elapsedMs (instant: Instant): number {
    const now = this.now()
    return now.awakeMs - instant.awakeMs + now.suspendedMs - instant.suspendedMs
  }

  /** A backward step of the wall clock hides a suspension only if both happen between two reads of the clocks. */
  #recordStep (): void {
    const offsetMs = this.#offset()
    const stepMs = offsetMs - this.#offsetMs
    if (Math.abs(stepMs) < MIN_STEP_MS) return
    this.#offsetMs = offsetMs
    if (stepMs > 0) this.#suspendedMs += stepMs
  }

  #offset (): number {
    return this.clock.now().getTime() - this.clock.monotonicMs()
  }
}
