/**
 * A bucket of tokens that fills at a rate. It starts empty, since it isn't known what another allocator has just granted. Pure state;
 * times are of the monotonic clock: a wall clock that is set ahead must not fill it.
 */

/**
 * A bucket that wasn't looked at for longer than this fills no further: its host was frozen, and others have taken over meanwhile.
 * Several times the interval of the sweep that fills all buckets.
 */
const MAX_GAP_MS = 600

export class RefillBucket {
  #tokens = 0

  private constructor (private refilledMs: number) {}

  /** @param sinceMs time from which it fills; may lie ahead */
  static create (sinceMs: number): RefillBucket {
    return new RefillBucket(sinceMs)
  }

  /** A bucket that has filled since a time in the past. */
  static createFilled (sinceMs: number, ratePerS: number, capacity: number, nowMs: number): RefillBucket {
    const bucket = new RefillBucket(Math.max(sinceMs, nowMs))
    bucket.#tokens = Math.min(capacity, ratePerS * Math.max(0, nowMs - sinceMs) / 1_000)
    return bucket
  }

  /** Tokens in the bucket; below 0 after a request that is larger than the bucket. */
  get tokens (): number {
    return this.#tokens
  }

  refill (ratePerS: number, capacity: number, nowMs: number): void {
    const elapsedMs = nowMs - this.refilledMs
    if (elapsedMs <= 0) return
    this.refilledMs = nowMs
    this.#tokens = Math.min(capacity, this.#tokens + ratePerS * Math.min(elapsedMs, MAX_GAP_MS) / 1_000)
  }

  take (tokens: number): void {
    this.#tokens -= tokens
  }
}
