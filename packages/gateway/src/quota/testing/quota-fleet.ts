/** Simulates many hosts on a manual clock whose callers use customers' quotas, and records which requests are admitted. */
import { ManualClock, Registry, silentLogger } from '@figloom/runtime'
import { QuotaUnit, RouteKind, type Customer, type Quota, type Route } from '../../config/types.js'
import { InstantSource } from '../../lease/instant.js'
import type { Member } from '../../members/member-table.js'
import { createRoute } from '../../testing/gateway-fixture.js'
import { addressOf } from '../../testing/host-network.js'
import { createRandom } from '../../testing/seeded-random.js'
import { QuotaControl } from '../quota-control.js'
import { createQuotaMetrics } from '../quota-log.js'
import type { TokenReply, TokenRequest } from '../types.js'
import { HostClock } from './host-clock.js'

const STEP_MS = 10
const SWEEP_MS = 200
const EXCHANGE_MS = 500
/** A host that wasn't heard of for this long counts as down. */
const SILENT_MS = 2_000
/** Reports come through relays and are up to this old. */
const MAX_REPORT_AGE_MS = 1_000
export const WINDOW_MS = 8_000
export const SLACK = 11_000
const OVERAGE = 0.1

/** A customer of the simulation. */
export type FleetCustomer = { customer: Customer, quota: Quota, /** Tokens a second that its callers ask for. */ demandPerS: number, tokens: number }

export type FleetHost = {
  name: string
  clock: HostClock
  control: QuotaControl
  /** Base time at which each other host was up, by name, as this host knows. */
  heardMs: Map<string, number>
  /** Other hosts that the registry listed when this one started. */
  named: Set<string>
  /** Hosts reach each other only within a group. */
  group: number
  up: boolean
  leaving: boolean
  starts: number
}

export type FleetRecord = { customer: string, tokens: number, atMs: number, host: string }

export type FleetOptions = { hosts: number, seed: number, customers: FleetCustomer[] }

export function createFleetCustomer (name: string, ratePerS: number, burst: number, demandPerS: number, tokens = 1_460): FleetCustomer {
  const quota = { unit: QuotaUnit.Tokens, ratePerS, burst, defaultTokens: 200 }
  return { customer: { name, quota }, quota, demandPerS, tokens }
}

export class QuotaFleet {
  readonly clock = ManualClock.create()
  readonly hosts: FleetHost[] = []
  readonly admitted: FleetRecord[] = []
  readonly refused: (FleetRecord & { retryAfterMs: number })[] = []
  calls = 0
  readonly config: { version: number, customersByKey: Map<string, Customer> }
  readonly random: () => number
  readonly #route: Route = createRoute({ kind: RouteKind.Stream, targetLatencyMs: 400 })
  readonly #due = new Map<string, number>()
  /** Requests that came to frozen hosts. */
  #held: { host: FleetHost, starts: number, customer: FleetCustomer }[] = []

  private constructor (readonly options: FleetOptions) {
    this.random = createRandom(options.seed)
    this.config = { version: 1, customersByKey: new Map(options.customers.map(({ customer }) => [customer.name, customer])) }
    for (let index = 0; index < options.hosts; index += 1) this.add()
  }

  static create (options: FleetOptions): QuotaFleet {
    return new QuotaFleet(options)
  }

  get customers (): FleetCustomer[] {
    return this.options.customers
  }

  add (): FleetHost {
    const name = `h${this.hosts.length}`
    const clock = HostClock.create(this.clock)
    const host: FleetHost = { name, clock, control: this.#createControl(name, clock, () => host), heardMs: new Map(), named: new Set(this.hosts.map((other) => other.name)), group: 0, up: true, leaving: false, starts: 1 }
    this.hosts.push(host)
    return host
  }

  kill (host: FleetHost): void {
    host.up = false
    host.clock.thaw()
  }

  /** Starts a killed host again: it has forgotten everything. */
  restart (host: FleetHost): void {
    host.up = true
    host.leaving = false
    host.starts += 1
    host.heardMs.clear()
    host.named = new Set(this.hosts.filter((other) => other !== host).map((other) => other.name))
    host.control = this.#createControl(host.name, host.clock, () => host)
  }

  /** Sets another limit, which binds at all hosts at once. */
  setLimit (fleetCustomer: FleetCustomer, ratePerS: number, burst: number): void {
    this.config.version += 1
    fleetCustomer.quota = { ...fleetCustomer.quota, ratePerS, burst }
    fleetCustomer.customer = { ...fleetCustomer.customer, quota: fleetCustomer.quota }
    this.config.customersByKey.set(fleetCustomer.customer.name, fleetCustomer.customer)
  }

  /** Advances the clock while callers send requests, if they do. */
  async run (durationMs: number, withCallers = true): Promise<void> {
    for (const endMs = this.#nowMs() + durationMs; this.#nowMs() < endMs;) {
      if (this.#nowMs() % EXCHANGE_MS === 0) this.#exchange()
      if (this.#nowMs() % SWEEP_MS === 0) this.hosts.filter((host) => this.#runs(host)).forEach(({ control }) => control.sweep())
      this.#deliverHeld()
      if (withCallers) this.customers.forEach((customer) => this.#sendDue(customer))
      await this.clock.advance(STEP_MS)
    }
  }

  /** The most tokens admitted in any window that ends between the two times, over what the bound allows. */
  worstShare ({ customer, quota }: FleetCustomer, fromMs = 0, toMs = Infinity): number {
    const records = this.admitted.filter((record) => record.customer === customer.name && record.atMs <= toMs)
    const bound = (quota.ratePerS * WINDOW_MS / 1_000 + quota.burst) * (1 + OVERAGE) + SLACK
    let first = 0
    let sum = 0
    let most = 0
    for (const { atMs, tokens } of records) {
      sum += tokens
      for (; (records[first]?.atMs ?? Infinity) < atMs - WINDOW_MS; first += 1) sum -= records[first]?.tokens ?? 0
      if (atMs >= fromMs) most = Math.max(most, sum)
    }
    return most / bound
  }

  refusedOf ({ customer }: FleetCustomer, fromMs = 0): number {
    return this.refused.filter((record) => record.customer === customer.name && record.atMs >= fromMs).length
  }

  admittedTokens ({ customer }: FleetCustomer, fromMs: number, toMs: number): number {
    return this.admitted.filter((record) => record.customer === customer.name && record.atMs >= fromMs && record.atMs < toMs).reduce((sum, { tokens }) => sum + tokens, 0)
  }

  /** The host that allocates a part of a customer's quota, as another host sees it. */
  allocatorsOf ({ customer }: FleetCustomer, asked: FleetHost): FleetHost[] {
    return asked.control.allocators(customer.name).flatMap((name) => this.hosts.filter((host) => host.name === name))
  }

  /** Sends a request to a host. */
  send (fleetCustomer: FleetCustomer, host: FleetHost): void {
    if (!host.up) return
    if (host.clock.frozen) {
      this.#held.push({ host, starts: host.starts, customer: fleetCustomer })
      return
    }
    const { customer, quota, tokens } = fleetCustomer
    const facts = { promptTokens: tokens, maxOutputTokens: 0, promptParts: [] }
    const { starts } = host
    host.control.admit({ customer, quota, facts, route: this.#route }).then((result) => {
      if (!host.up || host.starts !== starts) return
      const record = { customer: customer.name, tokens, atMs: this.#nowMs(), host: host.name }
      if (result.isOk()) {
        result.value.onSent()
        this.admitted.push(record)
      } else this.refused.push({ ...record, retryAfterMs: result.error.retryAfterMs ?? 0 })
    })
  }

  #sendDue (customer: FleetCustomer): void {
    const usable = this.hosts.filter(({ up, leaving }) => up && !leaving)
    if (usable.length === 0) return
    const due = (this.#due.get(customer.customer.name) ?? this.random()) + customer.demandPerS / customer.tokens * STEP_MS / 1_000
    for (let count = 0; count < Math.floor(due); count += 1) {
      const host = usable[Math.floor(this.random() * usable.length)]
      if (host !== undefined) this.send(customer, host)
    }
    this.#due.set(customer.customer.name, due - Math.floor(due))
  }

  #deliverHeld (): void {
    const held = this.#held
    this.#held = []
    for (const { host, starts, customer } of held) {
      if (host.starts === starts) this.send(customer, host)
    }
  }

  #exchange (): void {
    const running = this.hosts.filter((host) => this.#runs(host))
    for (const host of running) {
      for (const other of running) {
        if (other === host || other.group !== host.group) continue
        const ageMs = this.random() * MAX_REPORT_AGE_MS
        host.heardMs.set(other.name, Math.max(host.heardMs.get(other.name) ?? -Infinity, this.#nowMs() - ageMs))
      }
    }
  }

  #runs (host: FleetHost): boolean {
    return host.up && !host.clock.frozen
  }

  #createControl (name: string, clock: HostClock, self: () => FleetHost): QuotaControl {
    return QuotaControl.create({
      clock,
      instants: InstantSource.create(clock),
      log: silentLogger,
      metrics: createQuotaMetrics(new Registry()),
      self: addressOf(name),
      members: {
        live: () => this.#live(self()),
        namedHostCount: () => 1 + new Set([...self().named, ...self().heardMs.keys()]).size
      },
      calls: { takeTokens: (peerAddress, requests, timeoutMs) => this.#call(self(), peerAddress, requests, timeoutMs) },
      isBusy: () => self().leaving,
      config: this.config,
      seedCount: 0,
      bound: { windowMs: WINDOW_MS, overage: OVERAGE, slack: SLACK }
    })
  }

  #live (host: FleetHost): Member[] {
    return this.hosts.filter(({ name }) => this.#nowMs() - (host.heardMs.get(name) ?? -Infinity) < SILENT_MS).map(({ name, leaving }) => ({
      summary: { address: addressOf(name), incarnation: '', ready: true, leaving, relay: false, holdsLease: false, hearsay: false, cutOff: false }
    }))
  }

  async #call (from: FleetHost, peerAddress: string, requests: readonly TokenRequest[], timeoutMs: number): Promise<TokenReply[]> {
    this.calls += 1
    const timeout = new Promise<never>((_resolve, reject) => { from.clock.setTimer(timeoutMs, () => reject(new Error('call timed out'))) })
    return await Promise.race([this.#deliver(from, peerAddress, requests), timeout])
  }

  /** A frozen host answers when it has thawed. */
  async #deliver (from: FleetHost, peerAddress: string, requests: readonly TokenRequest[]): Promise<TokenReply[]> {
    const to = this.hosts.find(({ name }) => addressOf(name).peerAddress === peerAddress)
    await this.clock.sleep(1 + this.random() * 4)
    if (to === undefined || !to.up) throw new Error('connection refused')
    if (to.group !== from.group) return await new Promise(() => {})
    while (to.clock.frozen) await this.clock.sleep(STEP_MS)
    const replies = to.control.onTokenRequests(requests)
    await this.clock.sleep(1 + this.random() * 4)
    while (from.clock.frozen) await this.clock.sleep(STEP_MS)
    return replies
  }

  #nowMs (): number {
    return this.clock.monotonicMs()
  }
}
