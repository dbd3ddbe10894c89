/**
 * Record ids at the latest offsets of a stream, used to detect duplicates.
 *
 * A record is a duplicate if one of the `spanOffsets` offsets before it holds the same id. That depends on the log alone,
 * so two readers agree on it once each has read `spanOffsets` offsets or has read from the start of the stream. Every
 * duplicate is found if the span is at least the stream's append rate × the time from an append's first attempt to the
 * latest time at which its last attempt can take effect (its deadline plus the longest delay of a request in flight):
 * 300 appends per second and 30 s need 9,000 offsets.
 */
export class RecentIds {
  /** Latest offset of each id, sorted by offset. */
  readonly #offsets = new Map<string, number>()

  private constructor (readonly spanOffsets: number) {}

  static create (spanOffsets: number): RecentIds {
    return new RecentIds(spanOffsets)
  }

  /** Records the id at the next offset and returns whether it is a duplicate. Must be called once per offset, in order. */
  isDuplicate (offset: number, recordId: string): boolean {
    this.#dropBefore(offset - this.spanOffsets)
    const known = this.#offsets.delete(recordId)
    this.#offsets.set(recordId, offset)
    return known
  }

  /** Number of ids held, at most one more than the span. */
  get size (): number {
    return this.#offsets.size
  }

  #dropBefore (offset: number): void {
    for (const [recordId, seenAt] of this.#offsets) {
      if (seenAt >= offset) return
      this.#offsets.delete(recordId)
    }
  }
}
