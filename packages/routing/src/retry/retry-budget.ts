/** Retry budget, which keeps failures from multiplying the load. */

const REFILL_PER_REQUEST = 0.1
const REFILL_PER_S = 0.5
const CAPACITY = 20

/** Token bucket that refills with each request sent, and slowly over time. */
export class RetryBudget {
  #tokens = CAPACITY / 2
  #refilledMs: number

  private constructor (nowMs: number) {
    this.#refilledMs = nowMs
  }

  static create (nowMs: number): RetryBudget {
    return new RetryBudget(nowMs)
  }

  onFirstAttempt (): void {
    this.#tokens = Math.min(CAPACITY, this.#tokens + REFILL_PER_REQUEST)
  }

  /** Takes one retry from the budget; false if the budget is exhausted. */
  take (nowMs: number): boolean {
    this.#refill(nowMs)
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  #refill (nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.#refilledMs) / 1000
    this.#tokens = Math.min(CAPACITY, this.#tokens + elapsedS * REFILL_PER_S)
    this.#refilledMs = nowMs
  }
}
