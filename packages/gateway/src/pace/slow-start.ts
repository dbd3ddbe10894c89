/**
 * Limits the requests at a runner that has just started or recovered. The load it answers: all hosts see an idle runner at the same
 * moment and, as what they know of each other's load is up to a second old, would all send to it. The limit counts the requests of
 * all hosts together. As in TCP's slow start, it doubles with each round of answers in time; it also doubles within a fixed time
 * without answers, so that a runner without demand isn't held back, and halves at the first signs of strain. State without I/O;
 * times are monotonic milliseconds.
 */

/** Part of a runner's slots that the limit begins with. */
const INITIAL_SHARE = 0.125
/** Without answers, the limit doubles in this time: long enough for a stream to begin or a plain request to be answered. */
const DOUBLING_MS = 500
/** Part of the limit that is left after a sign of strain. */
const BACK_OFF = 0.5

export type SlowStartOptions = {
  slots: number
  /** When the runner may get its first request. */
  fromMs: number
  /** From 0 to 1, evenly spread over the hosts: those with the lowest ranks send first. */
  rank: number
}

/** Requests at the runner, and the hosts that may send to it. */
export type StartingLoad = {
  hostCount: number
  /** Requests of this host that are at the runner. */
  ownInFlight: number
  /** The same for all hosts, as far as this host knows. */
  totalInFlight: number
}

export class SlowStart {
  /** The limit at `#sinceMs`. */
  #base: number
  #sinceMs: number

  private constructor (private readonly options: SlowStartOptions) {
    this.#base = this.#initialLimit
    this.#sinceMs = options.fromMs
  }

  static create (options: SlowStartOptions): SlowStart {
    return new SlowStart(options)
  }

  /** Requests of all hosts that may be at the runner; infinite once it may use all its slots. */
  limit (nowMs: number): number {
    const limit = this.#base * 2 ** (Math.max(0, nowMs - this.#sinceMs) / DOUBLING_MS)
    return limit >= this.options.slots ? Infinity : limit
  }

  /** The runner answered a request of this host in time, as it presumably did for the other hosts that may send. */
  onAnswer (hostCount: number, nowMs: number): void {
    const limit = this.limit(nowMs)
    if (limit !== Infinity) this.#rebase(limit + Math.min(limit, hostCount), nowMs)
  }

  /** The runner rejected a request, failed or began an answer late. Counts for nothing once the runner has its full share. */
  onStrain (nowMs: number): void {
    const limit = this.limit(nowMs)
    if (limit !== Infinity) this.#rebase(Math.max(this.#initialLimit, limit * BACK_OFF), nowMs)
  }

  /** Whether this host may send a request. While the limit is below the number of hosts, only about that many send, one request each. */
  admits ({ hostCount, ownInFlight, totalInFlight }: StartingLoad, nowMs: number): boolean {
    const limit = this.limit(nowMs)
    if (limit === Infinity) return true
    if (totalInFlight >= limit) return false
    const ownLimit = limit / Math.max(1, hostCount)
    return ownLimit >= 1 ? ownInFlight < ownLimit : ownInFlight === 0 && this.options.rank < ownLimit
  }

  get #initialLimit (): number {
    return Math.max(1, this.options.slots * INITIAL_SHARE)
  }

  #rebase (limit: number, nowMs: number): void {
    this.#base = limit
    this.#sinceMs = Math.max(this.#sinceMs, nowMs)
  }
}
