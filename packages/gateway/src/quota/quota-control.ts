/**
 * Enforces customers' quotas over all hosts: gets tokens for this host's requests, and allocates them to the hosts for the parts of
 * quotas that this host is responsible for. Nothing happens as long as no customer has a quota.
 */
import { createFailure, ResultCode, type Clock, type Failure, type Logger, type Timer } from '@figloom/runtime'
import { err, ok, type Result } from 'neverthrow'
import { hashOf } from '../choose/rendezvous.js'
import type { ConfigState } from '../config/config-state.js'
import { QuotaUnit, type Customer, type Quota, type Route } from '../config/types.js'
import type { CallerFacts } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { MemberTable } from '../members/member-table.js'
import type { HostAddress, HostSummary, PeerClient } from '../members/types.js'
import { CustomerTokens } from './customer-tokens.js'
import { QuotaAllocator } from './quota-allocator.js'
import { QuotaHosts, type AllocatorHost, type PartAllocator } from './quota-hosts.js'
import { QuotaLog, type QuotaMetrics } from './quota-log.js'
import { MAX_PARTS, partCountOf } from './quota-parts.js'
import { TokenCalls } from './token-calls.js'
import { QuotaUse } from './quota-use.js'
import { LOST_RETENTION_MS, SharingHosts } from './sharing-hosts.js'
import type { QuotaBound, QuotaTerms, TokenReply, TokenRequest } from './types.js'

/** Tokens that requests used before their host asked are settled with an allocator after this time. */
const SETTLE_MS = 1_000
/** Most requests count for fewer tokens. */
const LARGE_REQUEST_TOKENS = 2_000
/** A request waits for tokens that are known to come for at most this part of its target latency, and at most so long. */
const WAIT_PART = 1 / 8
const MAX_WAIT_MS = 150
/** The list of hosts is looked through this often at most. */
const HOSTS_TTL_MS = 200
/** A host that has run for this long has heard of those that this one was told of at its start, if they are up. */
const START_MS = 30_000
/** By then a host that has just started has heard of the others. */
const DISCOVERY_MS = 3_000
const IN_TOUCH_SHARE = 0.8
/** A host that hears of a smaller part of the hosts that it was told of at its start is cut off from the others. */
const MOST_NAMED_SHARE = 0.5
/** What a host keeps of a customer is forgotten if it isn't used for this long. */
const IDLE_MS = 60_000

export type QuotaControlParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  metrics: QuotaMetrics
  self: HostAddress
  members: Pick<MemberTable, 'live' | 'namedHostCount'>
  /** Hosts that this one is told of at its start. */
  seedCount: number
  calls: Pick<PeerClient, 'takeTokens'>
  /** This host is stopping, or has much to do for all hosts: another one allocates, if there is any. */
  isBusy: () => boolean
  config: Pick<ConfigState, 'version' | 'customersByKey'>
  bound: QuotaBound
}

/** What of a request its quota counts. */
export type CountedRequest = { customer: Customer, quota: Quota, facts: CallerFacts, route: Route }

type KnownCustomer = { quota: Quota, tokens: CustomerTokens }
type HostsView = { atMs: number, others: AllocatorHost[], sharing: number, share: number }

const ELSEWHERE: TokenReply = { granted: 0, left: 0, retryAfterMs: 0, isPlentiful: false, hosts: 1, isElsewhere: true }

export class QuotaControl {
  readonly #allocator = QuotaAllocator.create()
  readonly #hosts: QuotaHosts
  readonly #sharing = SharingHosts.create()
  readonly #calls: TokenCalls
  readonly #log: QuotaLog
  readonly #customers = new Map<string, KnownCustomer>()
  readonly #startedMs: number
  /** Most hosts, this one included, that it was told of at its start. */
  #mostNamed = 0
  #settleTimer: Timer | undefined
  #inForce: { version: number, quotas: ReadonlyMap<string, Quota> } | undefined
  #view: HostsView | undefined

  private constructor (private readonly parts: QuotaControlParts) {
    const { clock, log, metrics, self, isBusy } = parts
    this.#startedMs = clock.monotonicMs()
    this.#hosts = QuotaHosts.create({
      self: self.host,
      capacityCores: self.capacityCores,
      startedMs: this.#startedMs,
      others: () => this.#hostsView().others,
      isBusy,
      nowMs: () => clock.monotonicMs()
    })
    this.#calls = TokenCalls.create(parts.calls)
    this.#log = QuotaLog.create(clock, log, metrics)
  }

  static create (parts: QuotaControlParts): QuotaControl {
    return new QuotaControl(parts)
  }

  /** Takes the tokens of a request, or refuses it. */
  async admit ({ customer, quota, facts, route }: CountedRequest): Promise<Result<QuotaUse, Failure>> {
    const tokens = countOf(quota, facts)
    const known = this.#customerOf(customer.name, quota)
    const taken = await known.take(tokens, Math.min(MAX_WAIT_MS, route.targetLatencyMs * WAIT_PART))
    if (taken.isGranted) {
      this.#log.onAdmitted(customer.name)
      return ok(QuotaUse.create(() => known.giveBack(tokens, taken.validUntilMs)))
    }
    this.#log.onRefused(customer.name, this.#termsOf(customer.name, quota), tokens, taken.refusal)
    return err(createFailure(ResultCode.QuotaExceeded, `customer ${customer.name} is over its quota of ${quota.ratePerS} ${quota.unit} a second`, { retryAfterMs: taken.refusal.retryAfterMs }))
  }

  /** Handles requests for tokens from another host. */
  onTokenRequests (requests: readonly TokenRequest[]): TokenReply[] {
    return requests.map((request) => this.#onTokenRequest(request))
  }

  #onTokenRequest (request: TokenRequest): TokenReply {
    const allocator = this.#hosts.allocators(request.customer)[request.part]
    if (allocator === undefined || !this.#hosts.isSelf(allocator.host)) return ELSEWHERE
    return this.#grant(request, allocator)
  }

  /** Names of the hosts that allocate the parts of a customer's quota. */
  allocators (customer: string): string[] {
    return this.#hosts.allocators(customer).map(({ host }) => host.id)
  }

  sweep (): void {
    if (this.#quotasInForce().size === 0 && this.#allocator.size === 0) return
    this.#hosts.observe()
    const nowMs = this.parts.clock.monotonicMs()
    this.#allocator.sweep((customer, part) => this.#isAllocatedHere(customer, part), { share: this.#hostsView().share, bound: this.parts.bound }, nowMs)
    for (const [name, { tokens }] of this.#customers) {
      if (nowMs - tokens.lastUsedMs > IDLE_MS) this.#customers.delete(name)
      else tokens.sweep()
    }
    this.#log.retain((name) => this.#customers.has(name))
  }

  #customerOf (name: string, quota: Quota): CustomerTokens {
    const known = this.#customers.get(name)
    if (known !== undefined) {
      known.quota = quota
      return known.tokens
    }
    const created: KnownCustomer = { quota, tokens: this.#createTokens(name, () => this.#termsOf(name, created.quota)) }
    this.#customers.set(name, created)
    return created.tokens
  }

  #createTokens (name: string, terms: () => QuotaTerms): CustomerTokens {
    const { clock, instants, self } = this.parts
    return CustomerTokens.create({
      clock,
      instantMs: () => instants.nowMs(),
      ask: (part, { wanted, spent }) => this.#ask({ host: self.host, customer: name, part, terms: terms(), wanted, spent }),
      terms,
      sharingHosts: () => this.#hostsView().sharing,
      isInTouch: () => this.#isInTouch(),
      settleLater: () => this.#settleLater(),
      firstPart: hashOf(self.host) % MAX_PARTS,
      onUnreachable: (part, error) => this.#log.onUnreachable(name, this.#hosts.allocators(name)[part]?.host.id ?? '', error)
    })
  }

  async #ask (request: TokenRequest): Promise<TokenReply> {
    const allocator = this.#hosts.allocators(request.customer)[request.part]
    if (allocator === undefined || this.#hosts.isSelf(allocator.host)) return allocator === undefined ? ELSEWHERE : this.#grant(request, allocator)
    const reply = await this.#calls.ask(allocator.host.peerAddress ?? '', request)
    this.#log.onCall(reply.isElsewhere ? 'not the allocator' : 'answered')
    return reply
  }

  /** Settles for all customers together, so that one call carries what one allocator has to know of them. */
  #settleLater (): void {
    this.#settleTimer ??= this.parts.clock.setTimer(SETTLE_MS, () => {
      this.#settleTimer = undefined
      for (const { tokens } of this.#customers.values()) tokens.settle()
    })
  }

  #grant (request: TokenRequest, { sinceMs }: PartAllocator): TokenReply {
    const { bound, clock } = this.parts
    return this.#allocator.grant(request, { sinceMs, share: this.#hostsView().share, bound }, clock.monotonicMs())
  }

  /** Quotas by the name of their customer, in the configuration in force; looked up once for each version. */
  #quotasInForce (): ReadonlyMap<string, Quota> {
    const { version, customersByKey } = this.parts.config
    if (this.#inForce?.version === version) return this.#inForce.quotas
    const quotas = new Map<string, Quota>()
    for (const { name, quota } of customersByKey?.values() ?? []) {
      if (quota !== undefined) quotas.set(name, quota)
    }
    this.#inForce = { version, quotas }
    return quotas
  }

  /** Whether this host has been up for a while and hears of nearly all hosts that may use the quotas. */
  #isInTouch (): boolean {
    const { clock } = this.parts
    return clock.monotonicMs() - this.#startedMs > DISCOVERY_MS && this.#hostsView().share > IN_TOUCH_SHARE
  }

  #isAllocatedHere (customer: string, part: number): boolean {
    const allocator = this.#hosts.allocators(customer)[part]
    return allocator !== undefined && this.#hosts.isSelf(allocator.host)
  }

  /** @param known the quota with which the customer's last request was accepted, in case that the customer is no longer configured */
  #termsOf (name: string, known: Quota): QuotaTerms {
    const inForce = this.#quotasInForce().get(name)
    const { unit, ratePerS, burst } = inForce ?? known
    const parts = partCountOf({ ratePerS, burst }, this.parts.bound, unit === QuotaUnit.Tokens ? LARGE_REQUEST_TOKENS : 1)
    return { ratePerS, burst, parts, version: inForce === undefined ? 0 : this.parts.config.version }
  }

  /** Number of hosts that may use the quotas, this one included, and the part of the quotas that may be allocated here. */
  #shares (summaries: readonly HostSummary[], nowMs: number): { sharing: number, share: number } {
    const { members, seedCount } = this.parts
    const live = summaries.length + 1
    const heard = this.#sharing.observe(summaries, nowMs) + 1
    const upMs = nowMs - this.#startedMs
    if (upMs >= START_MS) {
      // The hosts that it was told of and has never heard of may be down, unless this one is itself cut off from most of them.
      const isCutOff = upMs < LOST_RETENTION_MS && live < this.#mostNamed * MOST_NAMED_SHARE
      const sharing = isCutOff ? Math.max(heard, this.#mostNamed) : heard
      return { sharing, share: Math.min(1, live / sharing) }
    }
    // A process that has just started doesn't know which of the hosts that it was told of are up beyond its reach. These may not
    // know of this host yet, and count on all of the share that they had.
    this.#mostNamed = Math.max(this.#mostNamed, seedCount, members.namedHostCount(nowMs))
    const sharing = Math.max(heard, this.#mostNamed)
    return { sharing, share: Math.min(1, live / sharing) ** 2 }
  }

  #hostsView (): HostsView {
    const { clock, members } = this.parts
    const nowMs = clock.monotonicMs()
    if (this.#view !== undefined && nowMs - this.#view.atMs < HOSTS_TTL_MS) return this.#view
    const live = members.live(nowMs).map(({ summary }) => summary)
    const others = live.filter(({ leaving, holdsLease }) => !leaving && !holdsLease).map(({ address }) => ({ id: address.host, peerAddress: address.peerAddress, capacityCores: address.capacityCores }))
    this.#view = { atMs: nowMs, others, ...this.#shares(live, nowMs) }
    return this.#view
  }
}

/** Units for which a request counts. */
function countOf ({ unit, defaultTokens }: Quota, { promptTokens, maxOutputTokens }: CallerFacts): number {
  if (unit === QuotaUnit.Requests) return 1
  const tokens = promptTokens + maxOutputTokens
  return tokens > 0 ? tokens : defaultTokens
}
