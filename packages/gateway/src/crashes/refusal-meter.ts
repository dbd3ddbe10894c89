/** Measures how many of this host's requests each block refuses. Pure state; times are milliseconds of a clock that also counts suspensions. */

const WINDOW_MS = 10_000
/** Share of all requests, and number of them, from which on a block refuses more than one cause can explain. */
const LARGE_SHARE = 0.1
const MIN_REFUSED = 20

/** A block that refuses a large share of the requests. */
export type LargeBlock = { featureId: string, refused: number, requests: number, sharePercent: number }

export class RefusalMeter {
  /** Refused requests since the block, and in the present window, by feature. */
  readonly #sinceBlock = new Map<string, number>()
  readonly #inWindow = new Map<string, number>()
  #requests = 0
  #windowStartMs = -Infinity
  #largestShare = 0

  private constructor () {}

  static create (): RefusalMeter {
    return new RefusalMeter()
  }

  /** Largest share of the requests that one block refused in the last window. */
  get largestShare (): number {
    return this.#largestShare
  }

  onRequest (): void {
    this.#requests += 1
  }

  onRefused (featureId: string): void {
    this.#sinceBlock.set(featureId, this.refusedSinceBlock(featureId) + 1)
    this.#inWindow.set(featureId, (this.#inWindow.get(featureId) ?? 0) + 1)
  }

  refusedSinceBlock (featureId: string): number {
    return this.#sinceBlock.get(featureId) ?? 0
  }

  /** The block of this feature was made or lifted. */
  onChanged (featureId: string): void {
    this.#sinceBlock.delete(featureId)
  }

  /** At the end of a window, the blocks that refused a large share of its requests. */
  sweep (nowMs: number): LargeBlock[] {
    if (nowMs - this.#windowStartMs < WINDOW_MS) return []
    const requests = this.#requests
    const shares = [...this.#inWindow].map(([featureId, refused]) => ({ featureId, refused, requests, share: refused / Math.max(requests, refused) }))
    this.#largestShare = Math.max(0, ...shares.map(({ share }) => share))
    this.#windowStartMs = nowMs
    this.#requests = 0
    this.#inWindow.clear()
    return shares.filter(({ refused, share }) => refused >= MIN_REFUSED && share >= LARGE_SHARE)
      .map(({ featureId, refused, share }) => ({ featureId, refused, requests, sharePercent: Math.round(share * 100) }))
  }
}
