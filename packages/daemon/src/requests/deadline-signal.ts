import type { Clock, Timer } from '@figloom/runtime'

/** Abort signal for a caller's disconnect (reason: `AbortError`) and for the request's deadline (reason: `TimeoutError`). */
export class DeadlineSignal {
  readonly #abort = new AbortController()
  readonly #onCallerDisconnect: () => void
  #timer: Timer
  #expired = false

  private constructor (private readonly clock: Clock, private deadlineMs: number, private readonly caller: AbortSignal) {
    this.#timer = this.#arm()
    this.#onCallerDisconnect = () => this.#abort.abort(new DOMException('the caller disconnected', 'AbortError'))
    if (caller.aborted) this.#onCallerDisconnect()
    else caller.addEventListener('abort', this.#onCallerDisconnect, { once: true })
  }

  /** `deadlineMs` is on the monotonic clock. */
  static create (clock: Clock, deadlineMs: number, caller: AbortSignal): DeadlineSignal {
    return new DeadlineSignal(clock, deadlineMs, caller)
  }

  get signal (): AbortSignal {
    return this.#abort.signal
  }

  get expired (): boolean {
    return this.#expired
  }

  remainingMs (): number {
    return this.deadlineMs - this.clock.monotonicMs()
  }

  /** Moves the deadline to `durationMs` from now. */
  extend (durationMs: number): void {
    this.#timer.cancel()
    this.deadlineMs = this.clock.monotonicMs() + durationMs
    this.#timer = this.#arm()
  }

  /** Stops the timer and the listener on the caller's signal. */
  dispose (): void {
    this.#timer.cancel()
    this.caller.removeEventListener('abort', this.#onCallerDisconnect)
  }

  #arm (): Timer {
    return this.clock.setTimer(Math.max(0, this.remainingMs()), () => {
      this.#expired = true
      this.#abort.abort(new DOMException('the deadline passed', 'TimeoutError'))
    })
  }
}
