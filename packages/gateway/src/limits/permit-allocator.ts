/**
 * Allocates the permits of runners' limits to the hosts. One host does so for a runner, and all hosts that know the same hosts
 * choose the same one. Permits are granted per request rather than as a fixed share per host: one request a second can't be
 * split among eighty hosts, and a caller's request may reach any of them. Load pattern: many hosts at once receive more
 * requests than an overloaded runner accepts. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import { bucketCapacity, TokenBucket } from './token-bucket.js'
import { SlidingWindowCounter } from './sliding-window-counter.js'
import { LIMIT_WINDOW_MS, type PermitReply, type PermitRequest, type RunnerProcess } from './types.js'

/** Lowest rate at which requests are admitted whatever the limit, so that hosts learn from an answer when the limit ends. */
const MIN_RATE_PER_S = 1 / 30
/** Shortest delay before a retry: the permit request itself takes some milliseconds. */
const MIN_RETRY_MS = 20
const MAX_RETRY_MS = 10_000
/** Delay before a retry while the window is full: counts leave the window in steps of about this length. */
const FULL_WINDOW_RETRY_MS = 400

export type GrantOptions = {
  /** Requests a second that this host may admit. */
  requestsPerS: number
  random: () => number
}

type UnpermittedCount = { count: number, untilMs: number }

class RunnerPermitAllocator {
  readonly #bucket: TokenBucket
  readonly #granted = SlidingWindowCounter.create()
  /** Requests that hosts sent before they knew of the limit, by host. */
  readonly #unpermitted = new Map<string, UnpermittedCount>()
  /** When each host last requested permits. */
  readonly #lastRequestMs = new Map<string, number>()

  private constructor (readonly startedUnixMs: number | undefined, nowMs: number) {
    this.#bucket = TokenBucket.create(nowMs)
  }

  static create (startedUnixMs: number | undefined, nowMs: number): RunnerPermitAllocator {
    return new RunnerPermitAllocator(startedUnixMs, nowMs)
  }

  grant ({ host, wanted, unpermitted }: PermitRequest, { requestsPerS, random }: GrantOptions, nowMs: number): Omit<PermitReply, 'limitReports'> {
    this.#unpermitted.set(host, { count: unpermitted, untilMs: nowMs + LIMIT_WINDOW_MS })
    if (wanted > 0) this.#lastRequestMs.set(host, nowMs)
    const ratePerS = Math.max(MIN_RATE_PER_S, requestsPerS)
    const remaining = Math.floor(this.#allowed(ratePerS) - this.#granted.total(nowMs) - this.#totalUnpermitted(nowMs))
    const granted = Math.max(0, Math.min(wanted, this.#bucket.availableTokens(ratePerS, nowMs), remaining))
    this.#bucket.take(granted)
    if (granted > 0) this.#granted.add(granted, nowMs)
    return { granted, retryAfterMs: granted === wanted ? 0 : this.#retryAfterMs(ratePerS, remaining, random, nowMs) }
  }

  /** Whether no host has requested permits for longer than any retry delay. */
  isIdle (nowMs: number): boolean {
    return this.#totalUnpermitted(nowMs) === 0 && [...this.#lastRequestMs.values()].every((requestedMs) => nowMs - requestedMs > MAX_RETRY_MS * 2)
  }

  #allowed (ratePerS: number): number {
    return ratePerS * LIMIT_WINDOW_MS / 1_000 + bucketCapacity(ratePerS)
  }

  #totalUnpermitted (nowMs: number): number {
    return [...this.#unpermitted.values()].reduce((sum, { count, untilMs }) => untilMs > nowMs ? sum + count : sum, 0)
  }

  /**
   * Spreads the hosts' retries at random over the time in which the limit yields one permit for each of them; on average each
   * host retries twice in that time.
   */
  #retryAfterMs (ratePerS: number, remaining: number, random: () => number, nowMs: number): number {
    const hostCount = [...this.#lastRequestMs.values()].filter((requestedMs) => nowMs - requestedMs < LIMIT_WINDOW_MS).length
    const untilFreeMs = remaining < 1 ? FULL_WINDOW_RETRY_MS : this.#bucket.untilTokenMs(ratePerS)
    const spreadMs = random() * Math.max(0, hostCount - 1) * 1_000 / ratePerS
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, untilFreeMs + spreadMs))
  }
}

export class PermitAllocator {
  readonly #allocators = new Map<string, RunnerPermitAllocator>()

  private constructor () {}

  static create (): PermitAllocator {
    return new PermitAllocator()
  }

  grant (request: PermitRequest, terms: GrantOptions, nowMs: number): Omit<PermitReply, 'limitReports'> {
    return this.#allocatorOf(request.runner, nowMs).grant(request, terms, nowMs)
  }

  sweep (nowMs: number): void {
    for (const [id, allocator] of this.#allocators) {
      if (allocator.isIdle(nowMs)) this.#allocators.delete(id)
    }
  }

  #allocatorOf ({ id, startedUnixMs }: RunnerProcess, nowMs: number): RunnerPermitAllocator {
    const known = this.#allocators.get(id)
    // A host whose list is out of date asks for an earlier start and sends to the present one.
    if (known !== undefined && (known.startedUnixMs ?? 0) >= (startedUnixMs ?? 0)) return known
    const allocator = RunnerPermitAllocator.create(startedUnixMs, nowMs)
    this.#allocators.set(id, allocator)
    return allocator
  }
}
