/** A token bucket that refills at a runner's limit: how many requests may start now, and when the next one may. Pure state. */

/** The bucket holds the tokens of this many seconds at the limit; all of them may be used at once. */
const CAPACITY_S = 0.5
/** Smallest capacity, however low the limit is, so that no token is lost between two permit requests. */
const MIN_CAPACITY = 2

/** Number of requests that may start at once under a limit. */
export function bucketCapacity (requestsPerS: number): number {
  return Math.max(MIN_CAPACITY, requestsPerS * CAPACITY_S)
}

export class TokenBucket {
  #tokens = 0

  private constructor (private refilledMs: number) {}

  /** Starts empty: it isn't known how many requests another allocator has just admitted. */
  static create (nowMs: number): TokenBucket {
    return new TokenBucket(nowMs)
  }

  /** Whole requests that may start now. */
  availableTokens (requestsPerS: number, nowMs: number): number {
    const added = requestsPerS * Math.max(0, nowMs - this.refilledMs) / 1_000
    this.#tokens = Math.min(bucketCapacity(requestsPerS), this.#tokens + added)
    this.refilledMs = nowMs
    return Math.floor(this.#tokens)
  }

  take (count: number): void {
    this.#tokens -= count
  }

  /** Time until one request may start. */
  untilTokenMs (requestsPerS: number): number {
    return Math.max(0, 1 - this.#tokens) / requestsPerS * 1_000
  }
}
