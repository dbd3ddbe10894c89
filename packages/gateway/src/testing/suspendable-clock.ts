/** Clock of one host, based on a manual clock. While it is suspended, its monotonic time stops and its timers don't fire. */
import { Clock, type ManualClock, type Timer } from '@figloom/runtime'

/** Interval at which a timer that comes due during a suspension checks whether it is over. */
const POLL_MS = 10

export class SuspendableClock extends Clock {
  #suspendedMs = 0
  #suspendedSinceMs: number | undefined

  private constructor (private readonly base: ManualClock) {
    super()
  }

  static create (base: ManualClock): SuspendableClock {
    return new SuspendableClock(base)
  }

  override now (): Date {
    return this.base.now()
  }

  override monotonicMs (): number {
    return (this.#suspendedSinceMs ?? this.base.monotonicMs()) - this.#suspendedMs
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    let timer = this.base.setTimer(delayMs, () => fire())
    const fire = () => {
      if (this.#suspendedSinceMs === undefined) callback()
      else timer = this.base.setTimer(POLL_MS, fire)
    }
    return { cancel: () => timer.cancel() }
  }

  suspend (): void {
    this.#suspendedSinceMs ??= this.base.monotonicMs()
  }

  resume (): void {
    if (this.#suspendedSinceMs === undefined) return
    this.#suspendedMs += this.base.monotonicMs() - this.#suspendedSinceMs
    this.#suspendedSinceMs = undefined
  }
}
