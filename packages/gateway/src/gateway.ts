/** A gateway host: its listeners and tasks, and its life from start to stop. */
import { randomUUID } from 'node:crypto'
import { createRegistry, Gauge, type Clock, type Logger, type Registry, type Timer } from '@figloom/runtime'
import { ConfigState } from './config/config-state.js'
import { RunnerConnections } from './forward/runner-connections.js'
import { createCallerHandler, createPathHandler, createPeerHandler } from './front/handlers.js'
import { HttpServer } from './front/http-server.js'
import { InstantSource } from './lease/instant.js'
import { LeaseKeeper } from './lease/lease-keeper.js'
import { lookupHosts } from './lookup/lookup.js'
import { Exchanger } from './members/exchanger.js'
import { createContactPace, type ContactPace } from './members/contact-pace.js'
import { MemberTable, type Member } from './members/member-table.js'
import { ALL_RELAYS_UP_TO } from './members/relay-plan.js'
import { ConnectPeerCalls, type PeerHandler } from './members/peer-service.js'
import { ReportWriter, type OwnState } from './members/report-writer.js'
import { SharedView } from './members/shared-view.js'
import type { DemandRate, ExpectedLoad, HostReport } from './members/types.js'
import { KnownLoads } from './orders/known-loads.js'
import { AdapterRequests } from './orders/adapter-requests.js'
import { OrderDesk } from './orders/order-desk.js'
import { SharedBudget } from './retry/shared-budget.js'
import type { RunnerEntry } from './runners/types.js'
import { RelayedRunners } from './runners/relayed-runners.js'
import { RunnerTable } from './runners/runner-table.js'
import { DemandMeter } from './serve/demand-meter.js'
import { createRequestMetrics } from './serve/metrics.js'
import { serveRequest } from './serve/serve-request.js'
import type { ServeContext } from './serve/types.js'
import type { GatewaySettings, Platform } from './types.js'

/** Callers keep a lookup's answer this long, some of them three times as long. */
const LOOKUP_TTL_MS = 1_000
/** Callers that keep answers longest. */
const LOOKUP_KEPT_FACTOR = 3
/** Time before the end of the grace period by which the process is gone. */
const EXIT_MARGIN_MS = 300
const SWEEP_MS = 200
/** A relay's read of the configuration is recent for this long: a read that waits, and the exchange that tells of it. */
const CONFIG_READ_LATELY_MS = 2_000
/** A host that started knows by then whom its seeds know. */
const SETTLE_MS = 700

export type GatewayParts = {
  settings: GatewaySettings
  platform: Platform
  clock: Clock
  log: Logger
  random: () => number
}

type DirectMember = Member & Required<Pick<Member, 'direct'>>

export class Gateway {
  readonly #registry: Registry
  readonly #config = ConfigState.create()
  readonly #runners = RunnerTable.create()
  readonly #relayedRunners = RelayedRunners.create()
  readonly #connections = RunnerConnections.create()
  readonly #demand = DemandMeter.create()
  readonly #peers = ConnectPeerCalls.create()
  readonly #incarnation = randomUUID()
  readonly #startedMs: number
  readonly #pace: ContactPace
  readonly #members: MemberTable
  readonly #shared: SharedView
  readonly #reports: ReportWriter
  readonly #exchanger: Exchanger
  readonly #lease: LeaseKeeper
  readonly #desk: OrderDesk
  readonly #context: ServeContext
  readonly #front: HttpServer
  readonly #others: HttpServer[] = []
  #settings: GatewaySettings
  #inFlight = 0
  #leaving = false
  #sweepTimer: Timer | undefined

  private constructor (private readonly parts: GatewayParts) {
    const { settings, clock, log } = parts
    this.#settings = settings
    this.#registry = createRegistry({ host: settings.self.host, availabilityZone: settings.self.availabilityZone })
    this.#startedMs = clock.monotonicMs()
    this.#pace = createContactPace(settings.contactMs)
    this.#members = MemberTable.create(settings.self.host, this.#pace)
    this.#shared = SharedView.create(this.#pace.relayTrustMs)
    this.#reports = ReportWriter.create({
      clock,
      self: settings.self,
      incarnation: this.#incarnation,
      members: this.#members,
      shared: this.#shared,
      state: () => this.#ownState(),
      runners: () => this.#runners.all().map(({ entry }) => entry),
      runnersSeen: (host) => this.#relayedRunners.seen(host)
    })
    this.#exchanger = this.#createExchanger()
    this.#lease = this.#createLease()
    this.#desk = OrderDesk.create({
      clock,
      log,
      config: this.#config,
      runners: this.#runners,
      orders: parts.platform.orders,
      host: settings.self.host,
      orderToken: () => this.#lease.orderToken(),
      onOrder: () => this.#lease.onOrder(),
      demand: () => this.#allDemand()
    })
    this.#context = this.#createContext()
    this.#front = HttpServer.create(createCallerHandler(async (request, response) => {
      this.#inFlight += 1
      await serveRequest(this.#context, request, response).finally(() => { this.#inFlight -= 1 })
    }))
    this.#createGauges()
  }

  static create (parts: GatewayParts): Gateway {
    return new Gateway(parts)
  }

  /** Opens the listeners and starts the tasks. */
  async start (): Promise<void> {
    const { settings, platform, log } = this.parts
    platform.watch.start({
      onConfig: (config) => this.#onConfig(config),
      onRunner: (entry) => this.#onRunner(entry),
      onRunnerGone: (id, graceMs) => this.#onRunnerGone(id, graceMs),
      onRunnerList: (ids, graceMs) => this.#runners.retain(ids, this.#nowMs(), graceMs),
      onRunnersRead: () => this.#relayedRunners.onOwnRead(this.#nowMs()),
      hearsOfConfig: () => this.#hearsOfConfig(),
      runnersAgeMs: () => this.#exchanger.relay ? Infinity : this.#relayedRunners.ageMs(this.#nowMs())
    })
    await this.#openListeners()
    this.#exchanger.start()
    this.#lease.start()
    this.#desk.start()
    this.#sweep()
    log.info('gateway started', { callerListener: settings.callerListener, peerListener: settings.peerListener, incarnation: this.#incarnation })
  }

  /** Stops without cutting answers under way; resolves when the process may end. */
  async stop (): Promise<void> {
    if (this.#leaving) return
    this.#leaving = true
    const { clock, log } = this.parts
    const endMs = this.#nowMs() + this.#settings.graceMs - EXIT_MARGIN_MS
    log.info('gateway is leaving', { inFlight: this.#inFlight })
    await Promise.allSettled([this.#exchanger.tellRelays(), this.#lease.release()])
    this.#desk.stop()
    await clock.sleep(LOOKUP_TTL_MS * LOOKUP_KEPT_FACTOR + this.#spreadMs())
    this.#front.stopAccepting()
    while (this.#inFlight > 0 && this.#nowMs() < endMs) {
      await clock.sleep(50)
      this.#front.closeIdle()
    }
    log.info('gateway stopped', { inFlight: this.#inFlight })
    await this.#destroy()
  }

  /** Takes over settings that changed; listeners and the host's name stay as they are until the next start. */
  reload (settings: GatewaySettings): void {
    this.#settings = { ...this.parts.settings, graceMs: settings.graceMs, maxLookupTtlMs: settings.maxLookupTtlMs, budget: settings.budget }
    this.#context.budget.setLimits(settings.budget)
    this.parts.log.info('settings reloaded', { graceMs: settings.graceMs, budgetRatio: settings.budget.ratio, budgetSlack: settings.budget.slack })
  }

  get ready (): boolean {
    return this.#config.known && !this.#leaving && this.#runners.all().length > 0
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }

  #onConfig (config: Parameters<ConfigState['adopt']>[0]): void {
    const before = this.#config.version
    if (!this.#config.adopt(config)) return
    this.#front.setLimits(config.limits)
    this.parts.log.info('configuration in force', { version: config.version, before, routes: config.routes.length })
  }

  #onRunner (entry: RunnerEntry): void {
    const known = this.#runners.get(entry.id)?.entry
    this.#runners.upsert(entry)
    if (known?.draining === entry.draining && known.startedUnixMs === entry.startedUnixMs) return
    const { id, service, address, draining, remainingMs } = entry
    this.parts.log.info(draining ? 'runner drains' : 'runner listed', { runner: id, service, address, remainingMs })
  }

  #onRunnerGone (id: string, graceMs: number): void {
    this.parts.log.info('runner left the list', { runner: id, graceMs: Math.round(graceMs) })
    this.#runners.remove(id, this.#nowMs(), graceMs)
  }

  async #openListeners (): Promise<void> {
    const { settings, platform } = this.parts
    const { lookupWire } = platform
    await this.#listen(createPeerHandler(this.#peerHandler(), this.#registry), settings.peerListener)
    const readiness = createPathHandler(lookupWire.readinessPath, () => textAnswer(this.ready))
    if (settings.readinessListener !== undefined) await this.#listen(readiness, settings.readinessListener)
    const lookup = createPathHandler(lookupWire.lookupPath, () => this.#answerLookup())
    if (settings.lookupListener !== undefined) await this.#listen(lookup, settings.lookupListener)
    await this.#front.listen(settings.callerListener)
  }

  async #listen (handler: Parameters<typeof HttpServer.create>[0], address: string): Promise<void> {
    const server = HttpServer.create(handler)
    this.#others.push(server)
    await server.listen(address)
  }

  #answerLookup () {
    const { platform } = this.parts
    const ownAddress = this.ready ? this.#settings.self.callerAddress : undefined
    const addresses = lookupHosts({ members: this.#members, self: this.#settings.self.host, ownAddress, nowMs: this.#nowMs() })
    if (addresses.length === 0) return textAnswer(false)
    const ttlMs = Math.min(LOOKUP_TTL_MS, this.#settings.maxLookupTtlMs)
    return { status: 200, body: platform.lookupWire.formatLookup(addresses, ttlMs), contentType: 'application/json' }
  }

  #peerHandler (): PeerHandler {
    return {
      onReport: (report) => this.#exchanger.onIncoming(report),
      onAdapterRequest: (request) => this.#desk.ensureAdapter(request)
    }
  }

  #createExchanger (): Exchanger {
    const { settings, clock, log, platform } = this.parts
    return Exchanger.create({
      clock,
      log,
      members: this.#members,
      calls: this.#peers,
      registry: platform.registry,
      self: settings.self,
      seedPeerAddresses: settings.seedPeerAddresses,
      pace: this.#pace,
      holdsLease: () => this.#lease.holds,
      report: (peer) => this.#reports.write(peer),
      onReport: (report, writtenMs) => this.#onReport(report, writtenMs)
    })
  }

  #createLease (): LeaseKeeper {
    const { settings, clock, log, platform } = this.parts
    return LeaseKeeper.create({
      clock,
      instants: InstantSource.create(clock),
      log,
      leaseLog: platform.leaseLog,
      host: settings.self.host,
      incarnation: this.#incarnation,
      orderGapMs: settings.orderGapMs,
      holderIsLive: () => this.#holderReport() !== undefined,
      lastOrderUnder: (fencingToken) => this.#lastOrderUnder(fencingToken),
      hasRestartedPeer: () => this.#members.hasRestartedHost(this.#nowMs()),
      mayHold: () => this.#config.known && !this.#leaving && this.#exchanger.ranked && this.#nowMs() - this.#startedMs > SETTLE_MS
    })
  }

  #createContext (): ServeContext {
    const { settings, clock, log, platform, random } = this.parts
    return {
      clock,
      log,
      metrics: createRequestMetrics(this.#registry),
      codec: platform.codec,
      config: this.#config,
      runners: this.#runners,
      connections: this.#connections,
      budget: SharedBudget.create(settings.budget),
      demand: this.#demand,
      adapters: AdapterRequests.create({
        clock,
        log,
        runners: this.#runners,
        desk: this.#desk,
        peers: this.#peers,
        mayOrder: () => this.#lease.orderToken() !== undefined,
        holderAddress: () => this.#holder()?.summary.address.peerAddress
      }),
      loads: KnownLoads.create(() => this.#expectedLoads()),
      host: {
        availabilityZone: settings.self.availabilityZone,
        hostCount: () => this.#members.sharingCount(this.#nowMs()),
        hostOfOldLoads: () => this.#meetsAll() ? undefined : settings.self.host,
        isLeaving: () => this.#leaving
      },
      random
    }
  }

  #onReport (report: HostReport, writtenMs: number): void {
    const nowMs = this.#nowMs()
    const reportsHere = this.#members.group(nowMs).some(({ sender }) => sender.address.host === report.sender.address.host)
    this.#shared.hear(report, reportsHere, nowMs)
    this.#runners.setOthersUses(this.#shared.othersUses())
    if (report.configVersion > this.#config.version) this.parts.platform.watch.readConfig()
    if (!this.#exchanger.relay) this.#takeRunners(report, writtenMs)
  }

  /** Takes over the list of runners by the word of the relay that this host reports to. */
  #takeRunners ({ sender, runners, runnersReadAgoMs }: HostReport, writtenMs: number): void {
    if (runners === undefined || runnersReadAgoMs === undefined) return
    const change = this.#relayedRunners.hear({ relay: sender.address.host, update: runners, readMs: writtenMs - runnersReadAgoMs })
    if (change === undefined) return
    for (const entry of change.entries) this.#onRunner(entry)
    for (const id of change.removed) this.#onRunnerGone(id, 0)
    if (change.complete) this.#runners.retain(new Set(change.entries.map(({ id }) => id)), this.#nowMs(), 0)
  }

  /** Loads under way by the word of the holder of the lease, or of the relay that passed it on last. */
  #expectedLoads (): ExpectedLoad[] {
    if (this.#lease.orderToken() !== undefined) return this.#desk.expectedLoads()
    const holder = this.#holderReport()
    if (holder !== undefined) return holder.expectedLoads
    const relayed = this.#directMembers().filter(({ direct }) => direct.report.speaksForAll)
    const latest = relayed.reduce<DirectMember | undefined>((best, member) => (best?.direct.heardMs ?? -Infinity) < member.direct.heardMs ? member : best, undefined)
    return latest?.direct.report.expectedLoads ?? []
  }

  /** The hosts are so few that each is in direct contact with all others. */
  #meetsAll (): boolean {
    return this.#members.live(this.#nowMs()).length < ALL_RELAYS_UP_TO
  }

  /** Until all others leave this host out of their lookups. */
  #spreadMs (): number {
    return this.#meetsAll() ? this.#pace.directSpreadMs : this.#pace.relayedSpreadMs
  }

  /** Relays read the configuration often; what one said of its last read counts while it is young. */
  #hearsOfConfig (): boolean {
    if (this.#exchanger.relay) return false
    const nowMs = this.#nowMs()
    return this.#directMembers().some(({ summary, direct }) => {
      const { configReadAgoMs } = direct.report
      return summary.relay && configReadAgoMs !== undefined && configReadAgoMs + nowMs - direct.heardMs < CONFIG_READ_LATELY_MS
    })
  }

  #directMembers (): DirectMember[] {
    return this.#members.live(this.#nowMs()).filter((member): member is DirectMember => member.direct !== undefined)
  }

  /** A host that says it holds the lease on orders, by its own word or that of a relay. */
  #holder (): Member | undefined {
    return this.#members.live(this.#nowMs()).find(({ summary }) => summary.holdsLease)
  }

  /** Last word of a host that says it holds the lease on orders and that this one hears itself. */
  #holderReport (): HostReport | undefined {
    const nowMs = this.#nowMs()
    const holder = this.#directMembers().find(({ direct }) => direct.report.lease.heldBySender)
    return holder !== undefined && nowMs - holder.direct.heardMs < this.#pace.holderSilentMs ? holder.direct.report : undefined
  }

  /** Time since the last order under a token, by the word of a host that gave that lease up. */
  #lastOrderUnder (fencingToken: number): number | undefined {
    const nowMs = this.#nowMs()
    const direct = this.#directMembers().find(({ direct }) => direct.report.lease.fencingToken === fencingToken)?.direct
    const lease = direct?.report.lease
    if (direct === undefined || lease === undefined || lease.heldBySender || lease.lastOrderAgoMs === undefined) return undefined
    return lease.lastOrderAgoMs + nowMs - direct.heardMs
  }

  #ownState (): OwnState {
    const lease = this.#lease.describe()
    const uses = this.#runners.all().filter(({ inFlight }) => inFlight > 0)
    return {
      ready: this.ready,
      leaving: this.#leaving,
      relay: this.#exchanger.relay,
      configVersion: this.#config.version,
      configReadAgoMs: this.parts.platform.watch.configReadAgoMs(),
      runnersReadAgoMs: this.parts.platform.watch.runnersReadAgoMs(),
      runnerUses: new Map(uses.map(({ entry, inFlight }) => [entry.id, inFlight])),
      demand: this.#demand.rates(this.#nowMs()),
      lease: { heldBySender: lease.held, fencingToken: lease.fencingToken, lastOrderAgoMs: lease.lastOrderAgoMs },
      expectedLoads: this.#expectedLoads()
    }
  }

  #allDemand (): DemandRate[] {
    return [...this.#demand.rates(this.#nowMs()), ...this.#shared.othersDemand()]
  }

  #sweep (): void {
    this.#shared.sweep(this.#nowMs())
    this.#relayedRunners.retain(new Set(this.#directMembers().map(({ summary }) => summary.address.host)))
    for (const id of this.#runners.sweep(this.#nowMs())) this.parts.log.info('runner is gone', { runner: id })
    this.#connections.retain(new Set(this.#runners.all().map(({ entry }) => entry.id)))
    this.#sweepTimer = this.parts.clock.setTimer(SWEEP_MS, () => this.#sweep())
  }

  #createGauges (): void {
    const registers = [this.#registry]
    const count = (name: string, help: string, read: () => number) => new Gauge({ name, help, registers, collect () { this.set(read()) } })
    count('figloom_gateway_in_flight', 'Requests of callers under way at this host.', () => this.#inFlight)
    count('figloom_gateway_config_version', 'Version of the configuration in force.', () => this.#config.version)
    count('figloom_gateway_runners', 'Runners in the list.', () => this.#runners.all().length)
    count('figloom_gateway_live_hosts', 'Other hosts heard of late.', () => this.#members.live(this.#nowMs()).length)
    count('figloom_gateway_relay', '1 while this host passes on the word of others.', () => this.#exchanger.relay ? 1 : 0)
    count('figloom_gateway_holds_lease', '1 while this host holds the lease on orders.', () => this.#lease.holds ? 1 : 0)
  }

  async #destroy (): Promise<void> {
    this.#exchanger.stop()
    this.#sweepTimer?.cancel()
    this.parts.platform.watch.stop()
    this.#front.destroy()
    for (const server of this.#others) server.destroy()
    await this.#connections.destroy()
  }
}

function textAnswer (good: boolean) {
  return { status: good ? 200 : 503, body: good ? 'ready\n' : 'not ready\n', contentType: 'text/plain' }
}
