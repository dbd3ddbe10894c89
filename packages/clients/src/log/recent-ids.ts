/**
 * Record ids of the latest offsets of a stream, to tell repeats.
 *
 * A record is a repeat if its id stands at one of the `spanOffsets` offsets before it. That depends on the log alone, so
 * two readers agree on it as soon as each has read `spanOffsets` offsets or read from the stream's start. It finds every
 * repeat if the span is at least the stream's append rate × the time from an append's first attempt to the moment when
 * its last attempt can still take effect (deadline plus the longest delay of a request on its way): 300 appends a second
 * and 30 s need 9,000.
 */
export class RecentIds {
  /** Ids with their latest offsets, in order of offset. */
  readonly #offsets = new Map<string, number>()

  private constructor (readonly spanOffsets: number) {}

  static create (spanOffsets: number): RecentIds {
    return new RecentIds(spanOffsets)
  }

  /** Notes the record at the next offset; returns true if it is a repeat. Call it once for each offset, in order. */
  isRepeat (offset: number, recordId: string): boolean {
    this.#dropBefore(offset - this.spanOffsets)
    const known = this.#offsets.delete(recordId)
    this.#offsets.set(recordId, offset)
    return known
  }

  /** Ids held, at most one more than the span. */
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
