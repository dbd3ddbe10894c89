/** Times of one answer: until its first event, and between its events. Pure state; times are monotonic milliseconds. */

/** Pauses that are kept for the median; a runner's pace shows in the first ones. */
const MAX_PAUSES = 32
/** Fewer pauses than this show little of a runner's pace. */
const MIN_PAUSES = 4

export class AnswerTimes {
  #firstMs: number | undefined
  #lastMs = 0
  readonly #pausesMs: number[] = []

  static create (): AnswerTimes {
    return new AnswerTimes()
  }

  /** Time of the first event; undefined until then. */
  get firstMs (): number | undefined {
    return this.#firstMs
  }

  /** @param count complete events that were received since the last call */
  onEvents (count: number, nowMs: number): void {
    if (this.#firstMs === undefined) this.#firstMs = nowMs
    else this.#addPauses(count, (nowMs - this.#lastMs) / count)
    this.#lastMs = nowMs
  }

  /**
   * The usual pause between two events; undefined if there were too few. The median leaves out the pauses in which the runner
   * read the prompts of other requests, so it depends little on the load.
   */
  get medianPauseMs (): number | undefined {
    if (this.#pausesMs.length < MIN_PAUSES) return undefined
    const sorted = [...this.#pausesMs].sort((a, b) => a - b)
    return sorted[Math.floor(sorted.length / 2)]
  }

  #addPauses (count: number, pauseMs: number): void {
    for (let added = 0; added < count && this.#pausesMs.length < MAX_PAUSES; added += 1) this.#pausesMs.push(pauseMs)
  }
}
