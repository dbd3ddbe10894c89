/**
 * Allocates tokens of customers' quotas to the hosts, for the parts that this host is responsible for. Load pattern: a customer
 * sends many times its usual rate to all hosts at once, while hosts come, go and freeze. Tokens are granted for requests rather
 * than as a fixed share a host: a small customer's limit is a request or two a second, and its caller may use any host. Pure
 * state; times are of the monotonic clock.
 */
import { RefillBucket } from './refill-bucket.js'
import { limitsOf, type BucketLimits } from './quota-parts.js'
import type { QuotaBound, QuotaTerms, TokenReply, TokenRequest } from './types.js'

/** Hosts may use tokens before they ask as long as a bucket is fuller than this. */
const PLENTIFUL_LEVEL = 0.7
/** What hosts have used before they asked takes the bucket no further below 0 than it fills in this time. */
const MAX_DEBT_S = 8
const MAX_RETRY_MS = 10_000
/** The request for tokens itself takes some milliseconds. */
const MIN_RETRY_MS = 20
/**
 * While hosts are cut off from one another, each part of them has its own buckets, which together must hold no more than one. A
 * bucket has room for one request beyond its share, if what the share brings in this time is enough for it.
 */
const MAX_FILL_S = 3
/** A host that hasn't asked for longer isn't counted among those that ask. */
const ASKED_RECENTLY_MS = 1_000
/** A part for which nobody has asked for this long is forgotten; a customer that comes back finds it as full as one that is new. */
const IDLE_MS = 60_000

export type ShareOptions = {
  /** Part of the quota that may be allocated here: hosts that this one doesn't reach may allocate it too. */
  share: number
  bound: QuotaBound
}

/** The bucket fills up to `room`; a request that is larger than `capacity` needs no more than that. */
type PartLimits = BucketLimits & { room: number }

export type AllocationOptions = ShareOptions & {
  /** Since when this host allocates the part; may lie ahead. */
  sinceMs: number
}

function partLimitsOf (terms: QuotaTerms, { share, bound }: ShareOptions, largest: number): PartLimits {
  const whole = limitsOf(terms, bound)
  const ratePerS = whole.ratePerS / terms.parts * share
  const capacity = whole.capacity / terms.parts
  return { ratePerS, capacity, room: Math.min(capacity, Math.max(capacity * share, Math.min(largest, ratePerS * MAX_FILL_S))) }
}

function keyOf (customer: string, part: number): string {
  return `${part} ${customer}`
}

class AllocatedPart {
  readonly #bucket: RefillBucket
  /** When each host last asked. */
  readonly #askedMs = new Map<string, number>()
  /** Tokens of requests that were told to come back later, in order. */
  #promised = 0
  #promisedMs: number
  /** Tokens of the largest request so far. */
  #largest = 0
  #lastAskedMs: number

  private constructor (readonly customer: string, readonly part: number, private terms: QuotaTerms, options: AllocationOptions, nowMs: number) {
    const { ratePerS, room } = partLimitsOf(terms, options, 0)
    this.#bucket = RefillBucket.createFilled(options.sinceMs, ratePerS, room, nowMs)
    this.#promisedMs = nowMs
    this.#lastAskedMs = nowMs
  }

  static create (customer: string, part: number, terms: QuotaTerms, options: AllocationOptions, nowMs: number): AllocatedPart {
    return new AllocatedPart(customer, part, terms, options, nowMs)
  }

  grant ({ host, terms, wanted, spent }: TokenRequest, options: AllocationOptions, nowMs: number): TokenReply {
    if (terms.version > this.terms.version) this.terms = terms
    this.#lastAskedMs = nowMs
    this.#askedMs.set(host, nowMs)
    this.#largest = Math.max(this.#largest, ...wanted)
    const limits = this.refill(options, nowMs)
    this.#bucket.take(Math.min(spent, Math.max(0, this.#bucket.tokens + limits.ratePerS * MAX_DEBT_S)))
    const granted = this.#grantInOrder(wanted, limits.capacity)
    const isWhole = granted === wanted.length
    return {
      granted,
      isPlentiful: this.#bucket.tokens >= limits.capacity * PLENTIFUL_LEVEL,
      left: Math.max(0, this.#bucket.tokens),
      retryAfterMs: isWhole ? 0 : this.#promise(wanted.slice(granted), limits, nowMs),
      hosts: this.#countHosts(nowMs),
      isElsewhere: false
    }
  }

  refill (options: ShareOptions, nowMs: number): PartLimits {
    const limits = partLimitsOf(this.terms, options, this.#largest)
    // What is in the bucket when contact is lost stays there.
    this.#bucket.refill(limits.ratePerS, Math.max(limits.room, Math.min(limits.capacity, this.#bucket.tokens)), nowMs)
    return limits
  }

  isIdle (nowMs: number): boolean {
    return nowMs - this.#lastAskedMs > IDLE_MS
  }

  /** A request that is larger than the bucket is granted when the bucket is full, and leaves it below 0. */
  #grantInOrder (wanted: readonly number[], capacity: number): number {
    let granted = 0
    for (const tokens of wanted) {
      if (this.#bucket.tokens < Math.min(tokens, capacity)) break
      this.#bucket.take(tokens)
      granted += 1
    }
    return granted
  }

  /** Queues the refused requests behind those that were refused before, and tells when the first of them could have its tokens. */
  #promise (refused: readonly number[], { ratePerS, capacity }: BucketLimits, nowMs: number): number {
    const perMs = ratePerS / 1_000
    this.#promised = Math.max(0, this.#promised - (nowMs - this.#promisedMs) * perMs)
    this.#promisedMs = nowMs
    const first = Math.min(refused[0] ?? 0, capacity)
    const delayMs = (first + this.#promised - this.#bucket.tokens) / perMs
    this.#promised = Math.min(perMs * MAX_RETRY_MS, this.#promised + refused.reduce((sum, tokens) => sum + tokens, 0))
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, delayMs))
  }

  #countHosts (nowMs: number): number {
    for (const [host, askedMs] of this.#askedMs) {
      if (nowMs - askedMs > ASKED_RECENTLY_MS) this.#askedMs.delete(host)
    }
    return this.#askedMs.size
  }
}

export class QuotaAllocator {
  readonly #parts = new Map<string, AllocatedPart>()

  private constructor () {}

  static create (): QuotaAllocator {
    return new QuotaAllocator()
  }

  /** Number of parts that are allocated here. */
  get size (): number {
    return this.#parts.size
  }

  grant (request: TokenRequest, options: AllocationOptions, nowMs: number): TokenReply {
    return this.#partOf(request, options, nowMs).grant(request, options, nowMs)
  }

  /** Fills the buckets, and forgets the parts that nobody uses or that another host allocates now: what is left of them is void. */
  sweep (isAllocated: (customer: string, part: number) => boolean, options: ShareOptions, nowMs: number): void {
    for (const [key, known] of this.#parts) {
      if (known.isIdle(nowMs) || !isAllocated(known.customer, known.part)) this.#parts.delete(key)
      else known.refill(options, nowMs)
    }
  }

  #partOf ({ customer, part, terms }: TokenRequest, options: AllocationOptions, nowMs: number): AllocatedPart {
    const key = keyOf(customer, part)
    const known = this.#parts.get(key)
    if (known !== undefined) return known
    const created = AllocatedPart.create(customer, part, terms, options, nowMs)
    this.#parts.set(key, created)
    return created
  }
}
