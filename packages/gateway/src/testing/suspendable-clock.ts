/** A host's own clock on a manual one: it can be suspended, when its steady time stands still and its timers wait. */
import { Clock, type ManualClock, type Timer } from '@figloom/runtime'

/** Between two looks of a timer that is due in a suspension. */
const LOOK_MS = 10

export class SuspendableClock extends Clock {
  #suspendedMs = 0
  #sinceMs: number | undefined

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
    return (this.#sinceMs ?? this.base.monotonicMs()) - this.#suspendedMs
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    let timer = this.base.setTimer(delayMs, () => fire())
    const fire = () => {
      if (this.#sinceMs === undefined) callback()
      else timer = this.base.setTimer(LOOK_MS, fire)
    }
    return { cancel: () => timer.cancel() }
  }

  suspend (): void {
    this.#sinceMs ??= this.base.monotonicMs()
  }

  wake (): void {
    if (this.#sinceMs === undefined) return
    this.#suspendedMs += this.base.monotonicMs() - this.#sinceMs
    this.#sinceMs = undefined
  }
}
