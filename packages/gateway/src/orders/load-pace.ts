/** Paces loads from the weight store over all runners. Times are monotonic milliseconds. */

/** Part of the store's rate that is used; the rest is for loads that start late. */
const USED_SHARE = 0.9
/** Loads that may start at once, besides what the store allows in the time from one plan to the next. */
const BURST = 2
const PLAN_S = 0.25

export class LoadPace {
  #tokens = 1
  #updatedMs: number

  private constructor (nowMs: number) {
    this.#updatedMs = nowMs
  }

  static create (nowMs: number): LoadPace {
    return new LoadPace(nowMs)
  }

  /** Loads that may start now. */
  available (loadsPerS: number, nowMs: number): number {
    const elapsedS = Math.max(0, nowMs - this.#updatedMs) / 1000
    this.#tokens = Math.min(BURST + loadsPerS * PLAN_S, this.#tokens + elapsedS * loadsPerS * USED_SHARE)
    this.#updatedMs = nowMs
    return Math.floor(this.#tokens)
  }

  onLoad (): void {
    this.#tokens -= 1
  }
}
