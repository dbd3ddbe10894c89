/** Tokens that one request of a customer has; they are given back if no runner has run it. Counts the request once, however often it is sent. */

export class QuotaUse {
  #possibleRuns = 0
  #ended = false

  private constructor (private readonly giveBack: () => void) {}

  /** @param giveBack called at most once */
  static create (giveBack: () => void): QuotaUse {
    return new QuotaUse(giveBack)
  }

  /** The request is written to a runner. */
  onSent (): void {
    this.#possibleRuns += 1
  }

  /** A runner to which it was written hasn't run it. */
  onNotRun (): void {
    this.#possibleRuns -= 1
  }

  /** The request ends. */
  end (): void {
    if (this.#ended) return
    this.#ended = true
    if (this.#possibleRuns <= 0) this.giveBack()
  }
}
