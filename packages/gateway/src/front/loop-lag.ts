/**
 * How far this process is behind with its work: the delay of its event loop. Load pattern: a start, a burst or a return from
 * suspension on a slow core, where requests wait in their sockets for longer than their callers do.
 */
import type { Clock, Timer } from '@figloom/runtime'

const TICK_MS = 100

export class LoopLag {
  #dueMs: number
  #lastMs = 0
  #timer: Timer | undefined

  private constructor (private readonly clock: Clock) {
    this.#dueMs = clock.monotonicMs() + TICK_MS
  }

  static create (clock: Clock): LoopLag {
    return new LoopLag(clock)
  }

  start (): void {
    this.#dueMs = this.clock.monotonicMs() + TICK_MS
    this.#timer = this.clock.setTimer(TICK_MS, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  /** How long what is read now may have waited for this process, in milliseconds. */
  currentMs (): number {
    if (this.#timer === undefined) return 0
    return Math.max(this.#lastMs, this.clock.monotonicMs() - this.#dueMs, 0)
  }

  #tick (): void {
    this.#lastMs = Math.max(0, this.clock.monotonicMs() - this.#dueMs)
    this.start()
  }
}
