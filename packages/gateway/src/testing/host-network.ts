/** A simulated network of many hosts on a manual clock, without sockets. */
import { Registry, silentLogger, ManualClock, type Clock } from '@figloom/runtime'
import { RunnerCheck } from '../crashes/types.js'
import type { Customer } from '../config/types.js'
import { InstantSource } from '../lease/instant.js'
import { LimitControl } from '../limits/limit-control.js'
import type { PermitReply, PermitRequest } from '../limits/types.js'
import { QuotaControl } from '../quota/quota-control.js'
import { createQuotaMetrics } from '../quota/quota-log.js'
import type { TokenReply, TokenRequest } from '../quota/types.js'
import { createContactTiming } from '../members/contact-timing.js'
import { Exchanger } from '../members/exchanger.js'
import { MemberTable } from '../members/member-table.js'
import { ReportWriter, type ReportedState } from '../members/report-writer.js'
import { UsageAggregator } from '../members/usage-aggregator.js'
import { HostRegistry, PeerClient, type AdapterReply, type HostAddress, type HostReport } from '../members/types.js'
import { RunnerListSync } from '../runners/runner-list-sync.js'
import { RunnerTable } from '../runners/runner-table.js'

export const CONTACT_MS = 3_000
export const TIMING = createContactTiming(CONTACT_MS)
/** Time within which every host must know that a runner drains. */
export const DRAIN_NOTICE_MS = 3_000
const SUSPENDED_POLL_MS = 50

/** Address of a host by its name. */
export function addressOf (host: string): HostAddress {
  return { host, availabilityZone: 'z', callerAddress: `${host}:80`, peerAddress: `${host}:7380`, capacityCores: 1 }
}

/** A host of the network; it knows the runners that other hosts report and those that a test adds with `knowledge.receive`. */
export type NetworkHost = { exchanger: Exchanger, members: MemberTable, usage: UsageAggregator, state: ReportedState, incarnation: string, clock: Clock, knowledge: RunnerListSync, runners: RunnerTable, limits: LimitControl, quotas: QuotaControl }

/** Passes the calls between hosts directly and counts them. */
export class HostNetwork extends PeerClient {
  readonly hosts = new Map<string, NetworkHost>()
  readonly down = new Set<string>()
  /** Hosts on one side of a network partition: calls between them and all other hosts fail. */
  readonly partitionedHosts = new Set<string>()
  readonly registered: HostAddress[] = []
  calls = 0
  /** Of the hosts that are started from now on. */
  customersByKey: ReadonlyMap<string, Customer> | undefined
  /** Hosts whose process is suspended: calls to them get no answer until they run again. */
  readonly suspended = new Set<string>()
  /** Time that a message takes in one direction. */
  delayMs = () => 0
  random = () => 0.5
  #starts = 0

  private constructor (private readonly clock: ManualClock) {
    super()
  }

  static create (clock = ManualClock.create()): HostNetwork {
    return new HostNetwork(clock)
  }

  override async exchange (peerAddress: string, sent: HostReport, timeoutMs: number): Promise<HostReport> {
    const answer = this.#call(peerAddress, sent.sender.address.host, (host) => host.exchanger.onIncoming(sent))
    if (this.suspended.size === 0 && this.delayMs() === 0) return await answer
    const timeout = this.clock.sleep(timeoutMs).then(() => { throw new Error('call timed out') })
    return await Promise.race([answer, timeout])
  }

  /** Delivers a call to a host, and returns its answer to the sender. */
  async #call<Answer> (peerAddress: string, sender: string, onCall: (host: NetworkHost) => Answer): Promise<Answer> {
    const name = peerAddress.split(':')[0] ?? ''
    await this.#transmit(name)
    const host = this.hosts.get(name)
    const isPartitioned = this.partitionedHosts.has(name) !== this.partitionedHosts.has(sender)
    this.calls += 1
    if (host === undefined || this.down.has(name) || this.down.has(sender) || isPartitioned) throw new Error('host is unreachable')
    const answer = onCall(host)
    await this.#transmit(sender)
    return answer
  }

  /** Waits until a message has arrived; a suspended host receives it when it runs again. */
  async #transmit (to: string): Promise<void> {
    const delayMs = this.delayMs()
    if (delayMs > 0) await this.clock.sleep(delayMs)
    while (this.suspended.has(to)) await this.clock.sleep(SUSPENDED_POLL_MS)
  }

  override async takePermits (peerAddress: string, request: PermitRequest, timeoutMs: number): Promise<PermitReply> {
    const answer = this.#call(peerAddress, request.host, (host) => host.limits.onPermitRequest(request))
    if (this.suspended.size === 0 && this.delayMs() === 0) return await answer
    const timeout = this.clock.sleep(timeoutMs).then(() => { throw new Error('call timed out') })
    return await Promise.race([answer, timeout])
  }

  override async takeTokens (peerAddress: string, requests: readonly TokenRequest[], timeoutMs: number): Promise<TokenReply[]> {
    const answer = this.#call(peerAddress, requests[0]?.host ?? '', (host) => host.quotas.onTokenRequests(requests))
    if (this.suspended.size === 0 && this.delayMs() === 0) return await answer
    const timeout = this.clock.sleep(timeoutMs).then(() => { throw new Error('call timed out') })
    return await Promise.race([answer, timeout])
  }

  override async readConfig (): Promise<Uint8Array> {
    return new Uint8Array()
  }

  override async checkRunner (): Promise<RunnerCheck> {
    return RunnerCheck.Unknown
  }

  override async ensureAdapter (): Promise<AdapterReply> {
    return { accepted: false, readyInMs: 0 }
  }

  /** Starts a host; one that may be suspended gets a `clock` of its own. */
  start (name: string, seeds: string[], clock: Clock = this.clock): NetworkHost {
    const instants = InstantSource.create(clock)
    const runners = RunnerTable.create()
    const knowledge = RunnerListSync.create({ clock, instants, log: silentLogger, table: runners, drainNoticeMs: DRAIN_NOTICE_MS, contactMs: CONTACT_MS })
    const members = MemberTable.create(name, TIMING)
    const usage = UsageAggregator.create(TIMING.relayReportTtlMs)
    this.#starts += 1
    const state: ReportedState = {
      ready: true,
      leaving: false,
      relay: true,
      cutOff: false,
      configVersion: 1,
      configReadAgoMs: 0,
      runnerUses: new Map([['runner', 1]]),
      paces: () => [],
      demand: [{ service: 's', model: 'm', requestsPerS: 1, slowRequestsPerS: 1, holdMs: 100 }],
      lease: { heldBySender: false, fencingToken: 0 },
      expectedLoads: [],
      limitReports: [],
      leavingReports: []
    }
    const incarnation = `${name}-${this.#starts}`
    const limits = LimitControl.create({
      clock,
      instants,
      log: silentLogger,
      self: addressOf(name),
      incarnation,
      members,
      calls: this,
      isLeaving: () => state.leaving,
      runnerLoad: (runnerId) => runners.loadOf(runnerId),
      random: this.random
    })
    const quotas = QuotaControl.create({
      clock,
      instants,
      log: silentLogger,
      metrics: createQuotaMetrics(new Registry()),
      self: addressOf(name),
      members,
      calls: this,
      isBusy: () => state.leaving,
      config: { version: state.configVersion, customersByKey: this.customersByKey },
      seedCount: seeds.length,
      bound: { windowMs: 8_000, overage: 0.1, slack: 0 }
    })
    const writer = ReportWriter.create({
      clock,
      self: addressOf(name),
      incarnation,
      members,
      usage,
      state: () => ({ ...state, relay: host.exchanger.relay, limitReports: limits.reports(), rejectionLimitReports: limits.rejectionLimitReports() }),
      runnersPosition: () => knowledge.position,
      runnersSince: (position) => knowledge.updateSince(position),
      crashes: { update: () => undefined, seenOf: () => undefined },
      storeEra: () => 0
    })
    const exchanger = Exchanger.create({
      clock,
      instants,
      log: silentLogger,
      timing: TIMING,
      members,
      calls: this,
      registry: new TestRegistry(this.registered),
      self: addressOf(name),
      seedPeerAddresses: seeds.map((seed) => `${seed}:7380`),
      holdsLease: () => state.lease.heldBySender,
      report: (peer) => writer.write(peer),
      onReport: (received, writtenAgoMs) => {
        const nowMs = clock.monotonicMs()
        const reportsDirectly = members.groupReports(nowMs).some(({ sender }) => sender.address.host === received.sender.address.host)
        usage.applyReport(received, reportsDirectly, nowMs)
        const transitMs = Math.min(writtenAgoMs, TIMING.timeoutMs)
        limits.receive(received.limitReports, transitMs)
        limits.receiveRejectionLimits(received.rejectionLimitReports, transitMs)
        const { runners: update, sender } = received
        if (update !== undefined) knowledge.receive({ ...update, ageMs: update.ageMs === undefined ? undefined : update.ageMs + writtenAgoMs }, sender.address.host)
      }
    })
    const host = { exchanger, members, usage, state, incarnation, clock, knowledge, runners, limits, quotas }
    this.hosts.set(name, host)
    exchanger.start()
    return host
  }

  startMany (count: number): NetworkHost[] {
    return Array.from({ length: count }, (_, index) => this.start(`h${index}`, ['h0', 'h1', 'h2']))
  }

  /** Names of the hosts that a host considers ready. */
  readyAt ({ members }: NetworkHost): string[] {
    return members.ready(this.clock.monotonicMs()).map(({ summary }) => summary.address.host).sort()
  }

  relays (): NetworkHost[] {
    return [...this.hosts.values()].filter(({ exchanger }) => exchanger.relay)
  }

  /** Stops a host abruptly: it announces nothing, and calls from and to it fail. */
  kill (host: NetworkHost): void {
    host.exchanger.stop()
    this.down.add(this.nameOf(host))
  }

  nameOf (host: NetworkHost): string {
    return [...this.hosts].find(([, candidate]) => candidate === host)?.[0] ?? ''
  }
}

class TestRegistry extends HostRegistry {
  constructor (private readonly registered: HostAddress[]) {
    super()
  }

  override async announce (entry: HostAddress): Promise<void> {
    this.registered.push(entry)
  }

  override async list (): Promise<HostAddress[]> {
    return this.registered
  }
}
