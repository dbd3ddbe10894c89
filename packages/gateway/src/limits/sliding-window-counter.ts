/** Counts events within the last `LIMIT_WINDOW_MS`, with the precision of one time bucket. Pure state; times are milliseconds. */
import { LIMIT_WINDOW_MS } from './types.js'

const BUCKETS = 16
const BUCKET_MS = LIMIT_WINDOW_MS / BUCKETS

type Bucket = { index: number, count: number }

export class SlidingWindowCounter {
  #buckets: Bucket[] = []

  private constructor () {}

  static create (): SlidingWindowCounter {
    return new SlidingWindowCounter()
  }

  add (count: number, nowMs: number): void {
    const index = Math.floor(nowMs / BUCKET_MS)
    const last = this.#buckets.at(-1)
    if (last !== undefined && last.index === index) last.count += count
    else this.#buckets.push({ index, count })
  }

  total (nowMs: number): number {
    this.#prune(nowMs)
    return this.#buckets.reduce((sum, { count }) => sum + count, 0)
  }

  /** A bucket is dropped once all of it is older than the window. */
  #prune (nowMs: number): void {
    const index = Math.floor(nowMs / BUCKET_MS)
    this.#buckets = this.#buckets.filter((bucket) => bucket.index + BUCKETS >= index)
  }
}
