/** Limit of the requests at one runner that follows what the runner carries. */

/** Number of requests that a runner may have. */
export abstract class ConcurrencyLimit {
  abstract get value (): number

  /** Takes in one answer: whether it met its targets, and the load under which it ran. */
  abstract onSample (metTarget: boolean, load: number, nowMs: number): void
}

const INITIAL_LIMIT = 32
const MIN_LIMIT = 8
const MAX_LIMIT = 1024
const INCREASE_FACTOR = 1.01
const DECREASE_FACTOR = 0.9
/** Least time between two decreases, so that one slow moment counts once. */
const DECREASE_INTERVAL_MS = 250
/** The limit grows only while at least this part of it is in use. */
const USED_SHARE = 0.5

/**
 * Grows a little with each answer that met its targets and shrinks more with each that did not, so that it settles
 * where a small share of answers is late.
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
    if (load >= this.#limit * USED_SHARE) this.#limit = Math.min(MAX_LIMIT, this.#limit * INCREASE_FACTOR)
  }

  #decrease (nowMs: number): void {
    if (nowMs - this.#decreasedMs < DECREASE_INTERVAL_MS) return
    this.#decreasedMs = nowMs
    this.#limit = Math.max(MIN_LIMIT, this.#limit * DECREASE_FACTOR)
  }
}
