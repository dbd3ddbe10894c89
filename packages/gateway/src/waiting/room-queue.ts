/**
 * The order in which requests that found all runners full wait for room at this host: by rank, then customers that have the least
 * here for what they pay, then the time left. A place that comes free goes to who waits first, not to who arrives next.
 * Load pattern: arrivals in clumps at the few places of a service without an engine, whose places come free within milliseconds. Pure state; times are
 * monotonic milliseconds.
 */

export type RoomWaiter = {
  /** Requests with the same key need the same runners. */
  pool: string
  /** 0 is the most urgent. */
  urgency: number
  /** Absent where callers need no key. */
  customer?: string
  /** When the request has to leave the queue: it would be late, whatever room comes. */
  untilMs: number
  /** Tries the request at the runners. */
  onRoom: () => void
  /** No room came until `untilMs`. */
  onLate: () => void
  /** The queue has no place left for it. */
  onTurnedAway: () => void
}

export type RoomQueueOptions = {
  maxWaiting: number
  /** What a customer has at the runners, for what it pays. */
  useOf: (customer: string) => number
}

export class RoomQueue {
  readonly #waiting = new Set<RoomWaiter>()

  private constructor (private readonly options: RoomQueueOptions) {}

  static create (options: RoomQueueOptions): RoomQueue {
    return new RoomQueue(options)
  }

  get size (): number {
    return this.#waiting.size
  }

  has (waiter: RoomWaiter): boolean {
    return this.#waiting.has(waiter)
  }

  /** False if there is no place for it among those that wait already; otherwise the last of them may lose its place. */
  add (waiter: RoomWaiter): boolean {
    this.#waiting.add(waiter)
    if (this.#waiting.size <= this.options.maxWaiting) return true
    const last = this.#sorted([...this.#waiting]).at(-1)
    if (last === undefined) return true
    this.#waiting.delete(last)
    if (last !== waiter) last.onTurnedAway()
    return last !== waiter
  }

  remove (waiter: RoomWaiter): void {
    this.#waiting.delete(waiter)
  }

  /** Whether a request that arrives has to join behind others that wait for the same runners. */
  isBehind (arrival: Pick<RoomWaiter, 'pool' | 'urgency' | 'customer' | 'untilMs'>): boolean {
    return [...this.#waiting].some((waiter) => waiter.pool === arrival.pool && this.#compare(waiter, arrival) < 0)
  }

  waitingFor (pool: string): number {
    return [...this.#waiting].filter((waiter) => waiter.pool === pool).length
  }

  pools (): Set<string> {
    return new Set([...this.#waiting].map(({ pool }) => pool))
  }

  /** The first of those that wait for a pool. */
  first (pool: string): RoomWaiter | undefined {
    let first: RoomWaiter | undefined
    for (const waiter of this.#waiting) {
      if (waiter.pool === pool && (first === undefined || this.#compare(waiter, first) < 0)) first = waiter
    }
    return first
  }

  /** Requests that have waited for as long as they can. */
  expired (nowMs: number): RoomWaiter[] {
    return [...this.#waiting].filter(({ untilMs }) => untilMs <= nowMs)
  }

  #sorted (waiters: RoomWaiter[]): RoomWaiter[] {
    return waiters.sort((a, b) => this.#compare(a, b))
  }

  #compare (a: Pick<RoomWaiter, 'urgency' | 'customer' | 'untilMs'>, b: Pick<RoomWaiter, 'urgency' | 'customer' | 'untilMs'>): number {
    return a.urgency - b.urgency || this.#useOf(a.customer) - this.#useOf(b.customer) || a.untilMs - b.untilMs
  }

  #useOf (customer: string | undefined): number {
    return customer === undefined ? 0 : this.options.useOf(customer)
  }
}
