/** A bucket that fills at a runner's limit: how many requests may start now, and when the next one may. Pure state. */

/** What the bucket holds at the most: that much of a second's requests may start at once. */
const DEPTH_S = 0.5
/** Requests that may start at once however low the limit is, so that none is lost between two askings. */
const MIN_DEPTH = 2

/** Most requests that may start at once under a limit. */
export function bucketDepth (requestsPerS: number): number {
  return Math.max(MIN_DEPTH, requestsPerS * DEPTH_S)
}

export class RateBucket {
  #level = 0

  private constructor (private lastMs: number) {}

  /** It begins empty: what others let start just before isn't known here. */
  static create (nowMs: number): RateBucket {
    return new RateBucket(nowMs)
  }

  /** Whole requests that may start now. */
  level (requestsPerS: number, nowMs: number): number {
    const added = requestsPerS * Math.max(0, nowMs - this.lastMs) / 1_000
    this.#level = Math.min(bucketDepth(requestsPerS), this.#level + added)
    this.lastMs = nowMs
    return Math.floor(this.#level)
  }

  take (count: number): void {
    this.#level -= count
  }

  /** Time until one request may start. */
  untilOneMs (requestsPerS: number): number {
    return Math.max(0, 1 - this.#level) / requestsPerS * 1_000
  }
}
