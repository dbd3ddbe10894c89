/** Requests without a final answer, which have to get one before the process ends. */

export class OpenRequests {
  readonly #ends = new Set<() => void>()
  #ended = false

  private constructor () {}

  static create (): OpenRequests {
    return new OpenRequests()
  }

  /** @param end gives the request its final answer; called at once if all have been ended @returns a function that removes it */
  add (end: () => void): () => void {
    if (this.#ended) {
      end()
      return () => {}
    }
    this.#ends.add(end)
    return () => this.#ends.delete(end)
  }

  /** @returns the number of requests that were open */
  endAll (): number {
    this.#ended = true
    const ends = [...this.#ends]
    for (const end of ends) end()
    return ends.length
  }
}
