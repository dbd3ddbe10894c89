/**
 * Measures the delay of this process's event loop. It matters after a start, a burst of requests or a suspension on a slow core:
 * requests can then wait in their sockets for longer than their callers wait for an answer.
 */
import type { Clock, Timer } from '@figloom/runtime'

const TICK_INTERVAL_MS = 100

export class LoopLag {
  #dueMs: number
  #lastTickLagMs = 0
  #timer: Timer | undefined

  private constructor (private readonly clock: Clock) {
    this.#dueMs = clock.monotonicMs() + TICK_INTERVAL_MS
  }

  static create (clock: Clock): LoopLag {
    return new LoopLag(clock)
  }

  start (): void {
    this.#dueMs = this.clock.monotonicMs() + TICK_INTERVAL_MS
    this.#timer = this.clock.setTimer(TICK_INTERVAL_MS, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  /** Current delay of the event loop: how long data that is read now may have waited, in milliseconds. */
  currentMs (): number {
    if (this.#timer === undefined) return 0
    return Math.max(this.#lastTickLagMs, this.clock.monotonicMs() - this.#dueMs, 0)
  }

  #tick (): void {
    this.#lastTickLagMs = Math.max(0, this.clock.monotonicMs() - this.#dueMs)
    this.start()
  }
}
