/** Clock of one simulated host: its wall clock may be set, and the host may freeze, with or without its monotonic time. */
import { Clock, type ManualClock, type Timer } from '@figloom/runtime'

/** Interval at which a timer that comes due in a freeze checks whether it is over. */
const POLL_MS = 10

export class HostClock extends Clock {
  #stepMs = 0
  #lostMs = 0
  #suspendedSinceMs: number | undefined
  frozen = false

  private constructor (private readonly base: ManualClock) {
    super()
  }

  static create (base: ManualClock): HostClock {
    return new HostClock(base)
  }

  override now (): Date {
    return new Date(this.base.now().getTime() + this.#stepMs)
  }

  override monotonicMs (): number {
    return (this.#suspendedSinceMs ?? this.base.monotonicMs()) - this.#lostMs
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    let timer = this.base.setTimer(delayMs, () => fire())
    const fire = () => {
      if (!this.frozen) callback()
      else timer = this.base.setTimer(POLL_MS, fire)
    }
    return { cancel: () => timer.cancel() }
  }

  stepWallClock (byMs: number): void {
    this.#stepMs += byMs
  }

  /** @param isSuspended the monotonic time stops too, as when a virtual machine is suspended */
  freeze (isSuspended: boolean): void {
    this.frozen = true
    if (isSuspended) this.#suspendedSinceMs ??= this.base.monotonicMs()
  }

  thaw (): void {
    this.frozen = false
    if (this.#suspendedSinceMs === undefined) return
    this.#lostMs += this.base.monotonicMs() - this.#suspendedSinceMs
    this.#suspendedSinceMs = undefined
  }
}
