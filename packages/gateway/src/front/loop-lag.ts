/**
 * Measures the delay of this process's event loop. It matters after a start, a burst of requests or a suspension on a slow core:
 * requests can then wait in their sockets for longer than their callers wait for an answer.
 */
import { silentLogger, type Clock, type Logger, type Timer } from '@figloom/runtime'

const TICK_INTERVAL_MS = 100
/** A turn of the event loop from this length on is logged; a caller notices it. */
const LONG_TURN_MS = 300
/** Shortest time between two lines on long turns. */
const LOG_INTERVAL_MS = 5_000

export class LoopLag {
  #dueMs: number
  #lastTickLagMs = 0
  #timer: Timer | undefined
  /** Long turns since the last line, and the longest of them. */
  #longTurns = 0
  #longestTurnMs = 0
  #lastLineMs = -Infinity

  private constructor (private readonly clock: Clock, private readonly log: Logger) {
    this.#dueMs = clock.monotonicMs() + TICK_INTERVAL_MS
  }

  static create (clock: Clock, log: Logger = silentLogger): LoopLag {
    return new LoopLag(clock, log)
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
    this.#logLongTurns()
    this.start()
  }

  #logLongTurns (): void {
    if (this.#lastTickLagMs >= LONG_TURN_MS) {
      this.#longTurns += 1
      this.#longestTurnMs = Math.max(this.#longestTurnMs, this.#lastTickLagMs)
    }
    const nowMs = this.clock.monotonicMs()
    if (this.#longTurns === 0 || nowMs - this.#lastLineMs < LOG_INTERVAL_MS) return
    this.log.warn('event loop was blocked', { longestMs: Math.round(this.#longestTurnMs), turns: this.#longTurns })
    this.#lastLineMs = nowMs
    this.#longTurns = 0
    this.#longestTurnMs = 0
  }
}
