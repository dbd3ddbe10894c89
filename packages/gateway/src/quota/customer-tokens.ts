/**
 * Gets the tokens for one customer's requests at this host: from those that it has, or else from the allocators of the customer's
 * parts, one request for tokens at a time for all that wait. Load pattern: a customer far above its limit sends to every host; once
 * the allocators have said when there will be tokens, its requests are refused here without asking again.
 */
import type { Clock, Timer } from '@figloom/runtime'
import { RefillBucket } from './refill-bucket.js'
import { LEASE_VALID_MS, TokenLease } from './token-lease.js'
import { MAX_PARTS } from './quota-parts.js'
import type { QuotaTerms, TokenRefusal, TokenReply } from './types.js'

/** Most waiting requests for which tokens are wanted at once. */
const MAX_BATCH = 64
/** What an allocator said of a part is out of date after this time. */
const NEWS_MS = 3_000
/** Tokens that this host lets requests use before it asks: what its share of the rate brings in this time, or those of one request. */
const UNSETTLED_MS = 750
/** All hosts may let a request use its tokens at the same moment: that has to be a small part of the customer's quota. */
const AT_ONCE_PART = 0.25
/** Part of its share of the rate that this host lets requests use at any time before it asks, so that those for little don't wait. */
const READY_SHARE = 0.3
/** Most of it that is kept, as what the whole share brings in this time. */
const READY_MS = 200
const WINDOW_S = 8
/** Longest time for which a refusal by an allocator is believed: other hosts may need less by then. */
const MAX_CLOSED_MS = 1_000
/** Delay before the next request to a host that isn't the allocator as far as it knows. */
const ELSEWHERE_MS = 200
const MIN_UNREACHABLE_MS = 500
const MAX_UNREACHABLE_MS = 2_000
const MAX_RETRY_MS = 10_000
/**
 * What this host may use of its share of the parts whose allocators don't answer. Others may get the same tokens from an allocator
 * that this host alone doesn't reach.
 */
const OWN_SHARE = 0.5

export type CustomerTokensParts = {
  clock: Clock
  /** Milliseconds of a clock that also counts suspensions. */
  instantMs: () => number
  /** Rejects if the allocator doesn't answer. */
  ask: (part: number, wanted: { wanted: number[], spent: number }) => Promise<TokenReply>
  terms: () => QuotaTerms
  /** Number of hosts that may use the quota, this one included. */
  sharingHosts: () => number
  /** This host hears of nearly all hosts. */
  isInTouch: () => boolean
  /** Calls `settle` soon. */
  settleLater: () => void
  /** The part to ask first: differs from host to host. */
  firstPart: number
  onUnreachable: (part: number, error: Error) => void
}

/** Tokens for one request; if it isn't run, they may be used until then. */
export type TakenTokens = { isGranted: true, validUntilMs: number } | { isGranted: false, refusal: TokenRefusal }

type Waiting = { tokens: number, untilMs: number, resolve: (taken: TakenTokens) => void }

type PartState = {
  closedUntilMs: number
  /** When the first refused request could have its tokens. */
  opensMs: number
  left: number | undefined
  leftMs: number
  /** Until then requests may use tokens before this host asks, by the clock that also counts suspensions. */
  plentifulUntilMs: number
  hosts: number
  /** Length of the pause after the last call that failed; 0 if it was answered. */
  unreachableMs: number
}

function createPartState (): PartState {
  return { closedUntilMs: -Infinity, opensMs: -Infinity, left: undefined, leftMs: -Infinity, plentifulUntilMs: -Infinity, hosts: 1, unreachableMs: 0 }
}

function granted (validUntilMs: number): TakenTokens {
  return { isGranted: true, validUntilMs }
}

export class CustomerTokens {
  readonly #lease = TokenLease.create()
  readonly #states: PartState[]
  /** This host's share of the parts whose allocators don't answer. */
  readonly #ownShare: RefillBucket
  /** Tokens that requests may use before this host asks, though there aren't plenty. */
  readonly #ready: RefillBucket
  #waiting: Waiting[] = []
  /** Tokens that were used before this host asked for them. */
  #unsettled = 0
  #asking = false
  #timer: Timer | undefined
  /** Tokens of requests that were refused here since an allocator was last asked. */
  #refusedTokens = 0
  #lastUsedMs: number

  private constructor (private readonly parts: CustomerTokensParts) {
    const nowMs = parts.clock.monotonicMs()
    this.#states = Array.from({ length: MAX_PARTS }, createPartState)
    this.#ownShare = RefillBucket.create(nowMs)
    this.#ready = RefillBucket.create(nowMs)
    this.#lastUsedMs = nowMs
  }

  static create (parts: CustomerTokensParts): CustomerTokens {
    return new CustomerTokens(parts)
  }

  get lastUsedMs (): number {
    return this.#lastUsedMs
  }

  /** @param waitMs longest time for which a request waits for tokens that are known to come */
  take (tokens: number, waitMs: number): Promise<TakenTokens> {
    const nowMs = this.#nowMs()
    this.#lastUsedMs = nowMs
    this.#refill(nowMs)
    const validUntilMs = this.#lease.take(tokens, this.parts.instantMs())
    if (validUntilMs !== undefined) return Promise.resolve(granted(validUntilMs))
    if (this.#mayUseAtOnce(tokens)) return Promise.resolve(this.#useAtOnce(tokens))
    if (this.#openPart(tokens, nowMs) === undefined && this.#opensInMs(nowMs) > waitMs) return Promise.resolve(this.#withoutAllocators(tokens, nowMs))
    return new Promise((resolve) => {
      this.#waiting.push({ tokens, untilMs: nowMs + waitMs, resolve })
      this.#pump()
    })
  }

  /** Takes the tokens of a request back that wasn't run. */
  giveBack (tokens: number, validUntilMs: number): void {
    if (validUntilMs < this.parts.instantMs()) return
    this.#lease.add(tokens, validUntilMs)
    this.#serveWaiting()
  }

  /** Called regularly. */
  sweep (): void {
    this.#refill(this.#nowMs())
  }

  #pump (): void {
    if (this.#asking) return
    this.#serveWaiting()
    const first = this.#waiting[0]
    if (first === undefined) return this.#unsettled > 0 ? this.parts.settleLater() : undefined
    const nowMs = this.#nowMs()
    const part = this.#openPart(first.tokens, nowMs)
    if (part !== undefined) return this.#ask(part)
    const opensInMs = this.#opensInMs(nowMs)
    const isLate = ({ untilMs }: Waiting) => untilMs < nowMs + opensInMs
    const late = this.#waiting.filter(isLate)
    this.#waiting = this.#waiting.filter((waiting) => !isLate(waiting))
    for (const { tokens, resolve } of late) resolve(this.#withoutAllocators(tokens, nowMs))
    if (this.#waiting.length === 0) return
    this.#timer?.cancel()
    this.#timer = this.parts.clock.setTimer(Math.max(1, Math.ceil(opensInMs)), () => this.#pump())
  }

  #ask (part: number): void {
    const batch = this.#waiting.slice(0, MAX_BATCH)
    const wanted = batch.map(({ tokens }) => tokens)
    const spent = this.#unsettled
    const validUntilMs = this.parts.instantMs() + LEASE_VALID_MS
    this.#asking = true
    this.#unsettled = 0
    this.#refusedTokens = 0
    this.parts.ask(part, { wanted, spent }).then((reply) => {
      if (reply.isElsewhere) this.#unsettled += spent
      this.#onReply(part, wanted, reply, validUntilMs)
    }, (error: Error) => {
      // The allocator may have counted them; then they count twice.
      this.#unsettled += spent
      this.#onFailed(part, error)
    })
  }

  #onReply (part: number, wanted: readonly number[], reply: TokenReply, validUntilMs: number): void {
    const nowMs = this.#nowMs()
    this.#lease.add(wanted.slice(0, reply.granted).reduce((sum, tokens) => sum + tokens, 0), validUntilMs)
    const isWhole = !reply.isElsewhere && reply.granted >= wanted.length
    const retryAfterMs = reply.isElsewhere ? ELSEWHERE_MS : reply.retryAfterMs
    const before = this.#states[part]
    // The answer to a settlement doesn't tell whether there are tokens for a request.
    const isSettled = wanted.length === 0 && !reply.isElsewhere && !reply.isPlentiful && before !== undefined
    this.#states[part] = {
      closedUntilMs: isSettled ? before.closedUntilMs : isWhole ? -Infinity : nowMs + Math.min(MAX_CLOSED_MS, retryAfterMs),
      opensMs: isSettled ? before.opensMs : isWhole ? -Infinity : nowMs + retryAfterMs,
      left: reply.isElsewhere ? undefined : reply.left,
      leftMs: nowMs,
      plentifulUntilMs: reply.isPlentiful ? validUntilMs - LEASE_VALID_MS + NEWS_MS : -Infinity,
      hosts: reply.hosts,
      unreachableMs: 0
    }
    this.#asking = false
    this.#pump()
  }

  #onFailed (part: number, error: Error): void {
    const nowMs = this.#nowMs()
    const unreachableMs = Math.min(MAX_UNREACHABLE_MS, Math.max(MIN_UNREACHABLE_MS, (this.#states[part]?.unreachableMs ?? 0) * 2))
    this.#states[part] = { ...createPartState(), closedUntilMs: nowMs + unreachableMs, opensMs: nowMs + unreachableMs, unreachableMs }
    this.#asking = false
    this.parts.onUnreachable(part, error)
    this.#pump()
  }

  /** The first request that has no tokens must not hold up those that need fewer. */
  #serveWaiting (): void {
    const instantMs = this.parts.instantMs()
    this.#waiting = this.#waiting.filter(({ tokens, resolve }) => {
      const validUntilMs = this.#lease.take(tokens, instantMs)
      if (validUntilMs === undefined) return true
      resolve(granted(validUntilMs))
      return false
    })
  }

  /**
   * Most customers are far below their limit: their requests don't wait for an allocator's answer. What they use before is settled
   * soon, and is little for each host.
   */
  #mayUseAtOnce (tokens: number): boolean {
    const { terms, sharingHosts, isInTouch } = this.parts
    if (this.#unreachableParts() > 0 && this.#unsettled > 0) return false
    if (this.#takeReady(tokens)) return true
    const { ratePerS, burst } = terms()
    const most = ratePerS / sharingHosts() * UNSETTLED_MS / 1_000
    const isSmall = tokens * sharingHosts() <= (ratePerS * WINDOW_S + burst) * AT_ONCE_PART
    if (this.#unsettled + tokens > most && (this.#unsettled > 0 || !isSmall)) return false
    const nowMs = this.#nowMs()
    const isOld = ({ leftMs }: PartState) => nowMs - leftMs > NEWS_MS
    const isPlentiful = ({ plentifulUntilMs }: PartState) => plentifulUntilMs >= this.parts.instantMs()
    if (this.#plentifulPart() !== undefined) return isInTouch() && this.#present().every((state) => isPlentiful(state) || isOld(state))
    const isUnknown = this.#present().every((state) => state.unreachableMs === 0 && isOld(state))
    return isUnknown && isInTouch() && isSmall
  }

  /** Whether the tokens are little beside this host's share; they are settled with what comes later. */
  #takeReady (tokens: number): boolean {
    if (this.#ready.tokens < tokens || this.#unreachableParts() > 0 || !this.parts.isInTouch()) return false
    this.#ready.take(tokens)
    return true
  }

  #useAtOnce (tokens: number): TakenTokens {
    this.#unsettled += tokens
    this.parts.settleLater()
    return granted(this.parts.instantMs() + LEASE_VALID_MS)
  }

  /** Tells an allocator what was used before this host asked. */
  settle (): void {
    if (this.#unsettled === 0) return
    if (this.#asking) return this.parts.settleLater()
    if (this.#waiting.length > 0) return this.#pump()
    const nowMs = this.#nowMs()
    const reachable = this.#order().filter((part) => this.#states[part]?.unreachableMs === 0)
    const part = this.#plentifulPart() ?? this.#openPart(0, nowMs) ?? reachable[0]
    if (part === undefined) return this.parts.settleLater()
    this.#ask(part)
  }

  /** A part that may have the tokens: not asked in vain a moment ago, or only for more. */
  #openPart (tokens: number, nowMs: number): number | undefined {
    return this.#order().find((part) => {
      const state = this.#states[part]
      return state === undefined || state.closedUntilMs <= nowMs || (state.left !== undefined && state.left >= tokens)
    })
  }

  /** A part of which there were plenty a moment ago. */
  #plentifulPart (): number | undefined {
    const instantMs = this.parts.instantMs()
    return this.#order().find((part) => (this.#states[part]?.plentifulUntilMs ?? -Infinity) >= instantMs)
  }

  /** The parts in the order in which this host asks for them. */
  #order (): number[] {
    const count = this.parts.terms().parts
    const { firstPart } = this.parts
    return Array.from({ length: count }, (_, index) => (firstPart + index) % count)
  }

  #opensInMs (nowMs: number): number {
    return Math.max(0, Math.min(...this.#present().map(({ closedUntilMs }) => closedUntilMs)) - nowMs)
  }

  /** Uses this host's share of the parts whose allocators don't answer; refused if that isn't enough. */
  #withoutAllocators (tokens: number, nowMs: number): TakenTokens {
    this.#refill(nowMs)
    if (this.#unreachableParts() > 0 && this.#ownShare.tokens >= tokens) {
      this.#ownShare.take(tokens)
      return granted(this.parts.instantMs())
    }
    return { isGranted: false, refusal: this.#refuse(tokens, nowMs) }
  }

  /** Requests that are refused here without asking come back after one another, like those that the allocator refuses. */
  #refuse (tokens: number, nowMs: number): TokenRefusal {
    const { ratePerS } = this.parts.terms()
    const opensMs = Math.min(...this.#present().map((state) => state.opensMs))
    const latest = this.#present().reduce((best, state) => state.left !== undefined && state.leftMs > best.leftMs ? state : best, createPartState())
    const queuedMs = this.#refusedTokens * latest.hosts * 1_000 / ratePerS
    this.#refusedTokens += tokens
    const isKnown = latest.left !== undefined
    return {
      retryAfterMs: Math.min(MAX_RETRY_MS, Math.max(0, opensMs - nowMs) + queuedMs),
      left: latest.left,
      leftAgeMs: isKnown ? nowMs - latest.leftMs : undefined,
      unreachableParts: this.#unreachableParts()
    }
  }

  /** The share of parts without allocators comes only while these don't answer, and nothing of it is kept for another time. */
  #refill (nowMs: number): void {
    const { ratePerS, burst, parts } = this.parts.terms()
    const sharePerS = ratePerS / this.parts.sharingHosts() * OWN_SHARE * this.#unreachableParts() / parts
    this.#ownShare.refill(sharePerS, sharePerS, nowMs)
    const wholePerS = (ratePerS + burst / WINDOW_S) / this.parts.sharingHosts()
    this.#ready.refill(wholePerS * READY_SHARE, wholePerS * READY_MS / 1_000, nowMs)
  }

  #unreachableParts (): number {
    return this.#present().filter(({ unreachableMs }) => unreachableMs > 0).length
  }

  /** States of the parts that there are at present. */
  #present (): PartState[] {
    return this.#states.slice(0, this.parts.terms().parts)
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }
}
