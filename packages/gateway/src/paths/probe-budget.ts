/** Bounds the connections or calls that a host makes to find out about paths. Pure state. */

export class ProbeBudget {
  #tokens: number
  #refilledMs = -Infinity

  private constructor (private readonly perS: number) {
    this.#tokens = perS
  }

  /** @param perS a second's number may also be used at once */
  static create (perS: number): ProbeBudget {
    return new ProbeBudget(perS)
  }

  /** Takes one probe from the budget; false if it is used up. */
  take (nowMs: number): boolean {
    const added = Math.max(0, nowMs - this.#refilledMs) / 1_000 * this.perS
    this.#tokens = Math.min(this.perS, this.#tokens + added)
    this.#refilledMs = nowMs
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
