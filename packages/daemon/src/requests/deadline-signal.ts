import type { Clock, Timer } from '@figloom/runtime'

/** Aborts when the caller goes away or the deadline passes; the reason is a `TimeoutError` for the latter. */
export class DeadlineSignal {
  readonly #abort = new AbortController()
  readonly #onCallerGone: () => void
  #timer: Timer
  #passed = false

  private constructor (private readonly clock: Clock, private limitMs: number, private readonly caller: AbortSignal) {
    this.#timer = this.#arm()
    this.#onCallerGone = () => this.#abort.abort(new DOMException('the caller went away', 'AbortError'))
    if (caller.aborted) this.#onCallerGone()
    else caller.addEventListener('abort', this.#onCallerGone, { once: true })
  }

  /** `limitMs` is on the monotonic clock. */
  static create (clock: Clock, limitMs: number, caller: AbortSignal): DeadlineSignal {
    return new DeadlineSignal(clock, limitMs, caller)
  }

  get signal (): AbortSignal {
    return this.#abort.signal
  }

  get passed (): boolean {
    return this.#passed
  }

  leftMs (): number {
    return this.limitMs - this.clock.monotonicMs()
  }

  /** Moves the deadline to `durationMs` from now. */
  extend (durationMs: number): void {
    this.#timer.cancel()
    this.limitMs = this.clock.monotonicMs() + durationMs
    this.#timer = this.#arm()
  }

  /** Stops the timer. */
  release (): void {
    this.#timer.cancel()
    this.caller.removeEventListener('abort', this.#onCallerGone)
  }

  #arm (): Timer {
    return this.clock.setTimer(Math.max(0, this.leftMs()), () => {
      this.#passed = true
      this.#abort.abort(new DOMException('the deadline passed', 'TimeoutError'))
    })
  }
}
