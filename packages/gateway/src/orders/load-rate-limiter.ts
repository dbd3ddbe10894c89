/** Token bucket that limits the rate of loads from the weight store over all runners. Times are monotonic milliseconds. */

/** Part of the store's rate that is used; the rest is a reserve for loads that start late. */
const USED_RATE_SHARE = 0.9
/** Loads that may start at once, in addition to those that the store allows in one planning interval. */
const BURST_LOADS = 2
const PLANNING_INTERVAL_S = 0.25

export class LoadRateLimiter {
  #tokens = 1
  #updatedMs: number

  private constructor (nowMs: number) {
    this.#updatedMs = nowMs
  }

  static create (nowMs: number): LoadRateLimiter {
    return new LoadRateLimiter(nowMs)
  }

  /** Number of loads that may start now. */
  available (loadsPerS: number, nowMs: number): number {
    const elapsedS = Math.max(0, nowMs - this.#updatedMs) / 1000
    this.#tokens = Math.min(BURST_LOADS + loadsPerS * PLANNING_INTERVAL_S, this.#tokens + elapsedS * loadsPerS * USED_RATE_SHARE)
    this.#updatedMs = nowMs
    return Math.floor(this.#tokens)
  }

  recordLoad (): void {
    this.#tokens -= 1
  }
}
