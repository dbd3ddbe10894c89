/** Limit of the requests at one runner that follows what the runner carries. */

const INITIAL_LIMIT = 16
const MIN_LIMIT = 2
const MAX_LIMIT = 1024
const DECREASE_FACTOR = 0.9
/** Least time between two decreases, so that one slow moment counts once. */
const DECREASE_INTERVAL_MS = 500
/** The limit grows only while at least this part of it is in use. */
const USED_SHARE = 0.5

/** Additive increase while answers meet their targets, multiplicative decrease when they do not. */
export class ConcurrencyLimit {
  #limit = INITIAL_LIMIT
  #slowStart = true
  #decreasedMs = -Infinity

  static create (): ConcurrencyLimit {
    return new ConcurrencyLimit()
  }

  get value (): number {
    return Math.floor(this.#limit)
  }

  /** Takes in one answer: whether it met its targets, and the load under which it ran. */
  onSample (metTarget: boolean, load: number, nowMs: number): void {
    if (!metTarget) return this.#decrease(load, nowMs)
    if (load < this.#limit * USED_SHARE) return
    this.#limit = Math.min(MAX_LIMIT, this.#limit + (this.#slowStart ? 0.5 : 1 / this.#limit))
  }

  #decrease (load: number, nowMs: number): void {
    if (nowMs - this.#decreasedMs < DECREASE_INTERVAL_MS) return
    this.#decreasedMs = nowMs
    this.#slowStart = false
    this.#limit = Math.max(MIN_LIMIT, Math.min(this.#limit, Math.max(load, MIN_LIMIT)) * DECREASE_FACTOR)
  }
}
