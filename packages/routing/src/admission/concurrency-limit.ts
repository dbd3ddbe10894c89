/** Adaptive limit on the concurrent requests at one runner. */

/** Maximum number of concurrent requests at a runner. */
export abstract class ConcurrencyLimit {
  abstract get value (): number

  /** Records one answer: whether it met its latency targets, and the runner's load while it ran. */
  abstract onSample (metTarget: boolean, load: number, nowMs: number): void
}

const INITIAL_LIMIT = 32
const MIN_LIMIT = 8
const MAX_LIMIT = 1024
const INCREASE_FACTOR = 1.01
const DECREASE_FACTOR = 0.9
/** Minimum time between two decreases, so that a short slowdown that delays many answers lowers the limit once. */
const DECREASE_INTERVAL_MS = 250
/** The limit grows only while at least this fraction of it is in use. */
const MIN_USED_SHARE = 0.5

/**
 * Grows slightly with each answer that meets its latency targets and shrinks by a larger factor with each that does
 * not, so that it settles where a small fraction of answers is late.
 */
export class AdaptiveLimit extends ConcurrencyLimit {
  #limit = INITIAL_LIMIT
  #decreasedMs = -Infinity

  static create (): AdaptiveLimit {
    return new AdaptiveLimit()
  }

  override get value (): number {
    return Math.floor(this.#limit)
  }

  override onSample (metTarget: boolean, load: number, nowMs: number): void {
    if (!metTarget) return this.#decrease(nowMs)
    if (load >= this.#limit * MIN_USED_SHARE) this.#limit = Math.min(MAX_LIMIT, this.#limit * INCREASE_FACTOR)
  }

  #decrease (nowMs: number): void {
    if (nowMs - this.#decreasedMs < DECREASE_INTERVAL_MS) return
    this.#decreasedMs = nowMs
    this.#limit = Math.max(MIN_LIMIT, this.#limit * DECREASE_FACTOR)
  }
}
