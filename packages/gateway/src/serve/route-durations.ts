/** The longest time that each route's requests took lately, from their arrival to their end. Times are monotonic milliseconds. */

/** The longest time is that of the present window and the one before it. */
const WINDOW_MS = 30_000

export class RouteDurations {
  #present = new Map<string, number>()
  #previous = new Map<string, number>()
  #windowEndMs = WINDOW_MS

  private constructor () {}

  static create (): RouteDurations {
    return new RouteDurations()
  }

  add (route: string, durationMs: number, nowMs: number): void {
    this.#rotate(nowMs)
    this.#present.set(route, Math.max(durationMs, this.#present.get(route) ?? 0))
  }

  /** Undefined if no request of the route has ended lately. */
  longestMs (route: string, nowMs: number): number | undefined {
    this.#rotate(nowMs)
    const known = [this.#present.get(route), this.#previous.get(route)].filter((durationMs) => durationMs !== undefined)
    return known.length === 0 ? undefined : Math.max(...known)
  }

  #rotate (nowMs: number): void {
    if (nowMs < this.#windowEndMs) return
    this.#previous = nowMs < this.#windowEndMs + WINDOW_MS ? this.#present : new Map()
    this.#present = new Map()
    this.#windowEndMs = nowMs + WINDOW_MS
  }
}
