/** A gateway host: its listeners and tasks, and its life from start to stop. */
import { randomUUID } from 'node:crypto'
import { createRegistry, type Clock, type Logger, type Registry, type Timer } from '@figloom/runtime'
import { createClosureMetrics } from './closures/closure-metrics.js'
import { LeavingRunners } from './closures/leaving-runners.js'
import { RunnerClosures } from './closures/runner-closures.js'
import { ConfigPassing } from './config/config-passing.js'
import { ConfigState } from './config/config-state.js'
import type { GatewayConfig } from './config/types.js'
import { RunnerConnections } from './forward/runner-connections.js'
import { CallerCheck } from './front/caller-check.js'
import { createCallerHandler } from './front/handlers.js'
import { HttpServer } from './front/http-server.js'
import { LoopLag } from './front/loop-lag.js'
import { SideListeners } from './front/side-listeners.js'
import { createGauges } from './gauges.js'
import { InstantSource } from './lease/instant.js'
import { LeaseKeeper } from './lease/lease-keeper.js'
import { LimitControl } from './limits/limit-control.js'
import { lookupHosts } from './lookup/lookup.js'
import { Exchanger } from './members/exchanger.js'
import { createContactPace, type ContactPace } from './members/contact-pace.js'
import { HostSight } from './members/host-sight.js'
import { MemberTable } from './members/member-table.js'
import { ConnectPeerCalls } from './members/peer-service.js'
import { ReportWriter, type OwnState } from './members/report-writer.js'
import { SharedView } from './members/shared-view.js'
import type { DemandRate, ExpectedLoad, HostReport } from './members/types.js'
import { KnownLoads } from './orders/known-loads.js'
import { AdapterRequests } from './orders/adapter-requests.js'
import { OrderDesk } from './orders/order-desk.js'
import { SharedBudget } from './retry/shared-budget.js'
import { RunnerKnowledge } from './runners/runner-knowledge.js'
import { RunnerTable } from './runners/runner-table.js'
import { DemandMeter } from './serve/demand-meter.js'
import { createOverlongCounter, createRequestMetrics } from './serve/metrics.js'
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
/** A stream that begins later than this after a request to stop might be cut by the end of the process. */
const LAST_STREAM_MS = 2_800
/** Source of runners' states in the log where no other host passed them on. */
const OWN_READ = 'the platform'
/** A host that started knows by then whom its seeds know. */
const SETTLE_MS = 700

export type GatewayParts = {
  settings: GatewaySettings
  platform: Platform
  clock: Clock
  log: Logger
  random: () => number
}

export class Gateway {
  readonly #registry: Registry
  readonly #config = ConfigState.create()
  readonly #leavingRunners = LeavingRunners.create()
  readonly #runners = RunnerTable.create(this.#leavingRunners)
  readonly #instants: InstantSource
  readonly #knowledge: RunnerKnowledge
  readonly #limits: LimitControl
  readonly #closures: RunnerClosures
  readonly #connections: RunnerConnections
  readonly #demand = DemandMeter.create()
  readonly #lag: LoopLag
  readonly #peers = ConnectPeerCalls.create()
  readonly #configPassing: ConfigPassing
  readonly #incarnation = randomUUID()
  readonly #startedMs: number
  readonly #pace: ContactPace
  readonly #members: MemberTable
  readonly #sight: HostSight
  readonly #shared: SharedView
  readonly #reports: ReportWriter
  readonly #exchanger: Exchanger
  readonly #lease: LeaseKeeper
  readonly #desk: OrderDesk
  readonly #context: ServeContext
  readonly #front: HttpServer
  readonly #sideListeners: SideListeners
  #settings: GatewaySettings
  #inFlight = 0
  #leaving = false
  #leavingSinceMs: number | undefined
  #sweepTimer: Timer | undefined

  private constructor (private readonly parts: GatewayParts) {
    const { settings, clock, log } = parts
    this.#settings = settings
    this.#registry = createRegistry({ host: settings.self.host, availabilityZone: settings.self.availabilityZone })
    this.#startedMs = clock.monotonicMs()
    this.#lag = LoopLag.create(clock)
    this.#instants = InstantSource.create(clock)
    this.#knowledge = RunnerKnowledge.create({ clock, instants: this.#instants, log, table: this.#runners, drainNoticeMs: settings.drainNoticeMs, contactMs: settings.contactMs })
    this.#configPassing = ConfigPassing.create({
      clock,
      log,
      config: this.#config,
      peers: this.#peers,
      decode: (encoded) => parts.platform.watch.decodeConfig(encoded),
      onConfig: (config, encoded) => this.#onConfig(config, encoded)
    })
    this.#pace = createContactPace(settings.contactMs)
    this.#members = MemberTable.create(settings.self.host, this.#pace)
    this.#limits = LimitControl.create({
      clock,
      instants: this.#instants,
      log,
      self: settings.self,
      incarnation: this.#incarnation,
      members: this.#members,
      calls: this.#peers,
      isLeaving: () => this.#leaving,
      random: parts.random
    })
    this.#closures = RunnerClosures.create({
      clock,
      instants: this.#instants,
      log,
      metrics: createClosureMetrics(this.#registry),
      host: settings.self.host,
      limits: this.#limits,
      leaving: this.#leavingRunners
    })
    const overlong = createOverlongCounter(this.#registry)
    this.#connections = RunnerConnections.create((runner, reason) => {
      overlong.inc()
      log.warn('runner sends without end; its connection is closed', { runner, reason })
    })
    this.#sight = HostSight.create(clock, this.#members, this.#pace)
    this.#shared = SharedView.create(this.#pace.relayTrustMs)
    this.#reports = ReportWriter.create({
      clock,
      self: settings.self,
      incarnation: this.#incarnation,
      members: this.#members,
      shared: this.#shared,
      state: () => this.#ownState(),
      runnersPosition: () => this.#knowledge.position,
      runnersSince: (position) => this.#knowledge.newsSince(position)
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
      demand: () => this.#allDemand(),
      limitPerS: (runner) => this.#limits.limitOf(runner)?.requestsPerS,
      takesOrders: (runner) => this.#closures.takesOrders(runner)
    })
    this.#context = this.#createContext()
    this.#front = HttpServer.create(createCallerHandler(async (request, response) => {
      this.#inFlight += 1
      await serveRequest(this.#context, request, response).finally(() => { this.#inFlight -= 1 })
    }))
    this.#sideListeners = this.#createListeners()
    createGauges(this.#registry, {
      inFlight: () => this.#inFlight,
      configVersion: () => this.#config.version,
      runners: () => this.#runners.all().length,
      liveHosts: () => this.#members.live(this.#nowMs()).length,
      relay: () => this.#exchanger.relay,
      holdsLease: () => this.#lease.holds,
      runnerLimits: () => this.#limits.inForce()
    })
  }

  static create (parts: GatewayParts): Gateway {
    return new Gateway(parts)
  }

  /** Opens the listeners and starts the tasks. */
  async start (): Promise<void> {
    const { settings, platform, log } = this.parts
    platform.watch.start({
      onConfig: (config, encoded) => this.#onConfig(config, encoded),
      onRunners: (news) => this.#knowledge.hear(news, OWN_READ),
      onRunnersUnread: (startedAgoMs) => this.#knowledge.onReadFailed(startedAgoMs),
      onRunnersAnew: () => this.#knowledge.reset(),
      hearsOfConfig: () => !this.#exchanger.relay && this.#sight.hearsOfConfig(),
      hearsOfRunners: () => !this.#exchanger.relay && this.#knowledge.ageMs() < this.#knowledge.freshMs,
      runnersPosition: () => this.#knowledge.position
    })
    platform.orders.onWords((runner, words) => this.#closures.onAnswer({ runner, requestId: '', words }))
    this.#lag.start()
    await this.#sideListeners.open()
    await this.#front.listen(settings.callerListener)
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
    this.#leavingSinceMs = this.#nowMs()
    const { clock, log } = this.parts
    const endMs = this.#nowMs() + this.#settings.graceMs - EXIT_MARGIN_MS
    log.info('gateway is leaving', { inFlight: this.#inFlight })
    await Promise.allSettled([this.#exchanger.tellRelays(), this.#lease.release()])
    this.#desk.stop()
    await clock.sleep(LOOKUP_TTL_MS * LOOKUP_KEPT_FACTOR + this.#sight.spreadMs)
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

  #onConfig (config: GatewayConfig, encoded: Uint8Array): void {
    const before = this.#config.version
    if (!this.#config.adopt(config, encoded)) return
    this.#configPassing.onAdopted()
    this.#front.setLimits(config.limits)
    this.parts.log.info('configuration in force', { version: config.version, before, routes: config.routes.length })
  }

  #createListeners (): SideListeners {
    const { settings, platform } = this.parts
    return SideListeners.create({
      settings,
      wire: platform.lookupWire,
      registry: this.#registry,
      clock: this.parts.clock,
      ready: () => this.ready,
      lookup: () => this.#lookupAddresses(),
      lookupTtlMs: () => Math.min(LOOKUP_TTL_MS, this.#settings.maxLookupTtlMs),
      peers: {
        onReport: (report) => this.#exchanger.onIncoming(report),
        onAdapterRequest: (request) => this.#desk.ensureAdapter(request),
        onPermitRequest: (request) => this.#limits.onPermitRequest(request),
        onConfigRequest: () => this.#config.encoded
      }
    })
  }

  #lookupAddresses (): string[] {
    const ownAddress = this.ready ? this.#settings.self.callerAddress : undefined
    return lookupHosts({ members: this.#members, self: this.#settings.self.host, ownAddress, nowMs: this.#nowMs() })
  }

  #createExchanger (): Exchanger {
    const { settings, clock, log, platform } = this.parts
    return Exchanger.create({
      clock,
      instants: this.#instants,
      log,
      members: this.#members,
      calls: this.#peers,
      registry: platform.registry,
      self: settings.self,
      seedPeerAddresses: settings.seedPeerAddresses,
      pace: this.#pace,
      holdsLease: () => this.#lease.holds,
      report: (peer) => this.#reports.write(peer),
      onReport: (report, writtenAgoMs) => this.#onReport(report, writtenAgoMs)
    })
  }

  #createLease (): LeaseKeeper {
    const { settings, clock, log, platform } = this.parts
    return LeaseKeeper.create({
      clock,
      instants: this.#instants,
      log,
      leaseLog: platform.leaseLog,
      host: settings.self.host,
      incarnation: this.#incarnation,
      orderGapMs: settings.orderGapMs,
      holderIsLive: () => this.#sight.hearsHolder,
      lastOrderUnder: (fencingToken) => this.#sight.lastOrderUnder(fencingToken),
      hasRestartedPeer: () => this.#members.hasRestartedHost(this.#nowMs()),
      mayHold: () => this.#config.known && !this.#leaving && this.#exchanger.ranked && this.#nowMs() - this.#startedMs > SETTLE_MS
    })
  }

  #createContext (): ServeContext {
    const { settings, clock, log, platform, random } = this.parts
    return {
      clock,
      instants: this.#instants,
      log,
      metrics: createRequestMetrics(this.#registry),
      codec: platform.codec,
      config: this.#config,
      runners: this.#runners,
      limits: this.#limits,
      closures: this.#closures,
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
        holderAddress: () => this.#sight.holderAddress()
      }),
      loads: KnownLoads.create(() => this.#expectedLoads()),
      lag: this.#lag,
      callerCheck: CallerCheck.create(this.#lag),
      host: {
        availabilityZone: settings.self.availabilityZone,
        hostCount: () => this.#members.sharingCount(this.#nowMs()),
        hostOfOldLoads: () => this.#sight.meetsAll ? undefined : settings.self.host,
        runnersAgeMs: () => this.#knowledge.ageMs(),
        isLeaving: () => this.#leaving,
        isClosedToStreams: () => this.#leavingSinceMs !== undefined && this.#nowMs() - this.#leavingSinceMs > LAST_STREAM_MS
      },
      random
    }
  }

  #onReport (report: HostReport, writtenAgoMs: number): void {
    const nowMs = this.#nowMs()
    const reportsHere = this.#members.group(nowMs).some(({ sender }) => sender.address.host === report.sender.address.host)
    this.#shared.hear(report, reportsHere, nowMs)
    this.#runners.setOtherHostsInFlight(this.#shared.othersUses())
    if (report.configVersion > this.#config.version) this.parts.platform.watch.readConfig()
    this.#configPassing.onVersion(report.configVersion, report.sender.address.peerAddress)
    this.#takeRunners(report, writtenAgoMs)
    // A call of another host is given up by it after the timeout.
    const transitMs = Math.min(writtenAgoMs, this.#pace.timeoutMs)
    this.#limits.hear(report.limitReports, transitMs)
    this.#closures.hear(report.leavingReports, transitMs)
  }

  /** Takes over what a relay passes on of runners. */
  #takeRunners ({ sender, runners }: HostReport, writtenAgoMs: number): void {
    if (runners === undefined) return
    const ageMs = runners.ageMs === undefined ? undefined : runners.ageMs + writtenAgoMs
    this.#knowledge.hear({ ...runners, ageMs }, sender.address.host)
  }

  /** Loads under way, as far as this host knows. */
  #expectedLoads (): ExpectedLoad[] {
    return this.#lease.orderToken() === undefined ? this.#sight.expectedLoads() : this.#desk.expectedLoads()
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
      runnerUses: new Map(uses.map(({ entry, inFlight }) => [entry.id, inFlight])),
      demand: this.#demand.rates(this.#nowMs()),
      lease: { heldBySender: lease.held, fencingToken: lease.fencingToken, lastOrderAgoMs: lease.lastOrderAgoMs },
      expectedLoads: this.#expectedLoads(),
      limitReports: this.#limits.reports(),
      leavingReports: this.#closures.leavingReports()
    }
  }

  #allDemand (): DemandRate[] {
    return [...this.#demand.rates(this.#nowMs()), ...this.#shared.othersDemand()]
  }

  #sweep (): void {
    this.#shared.sweep(this.#nowMs())
    this.#knowledge.sweep()
    this.#limits.sweep()
    this.#closures.sweep()
    this.#connections.retain(new Set(this.#runners.all().map(({ entry }) => entry.id)))
    this.#sweepTimer = this.parts.clock.setTimer(SWEEP_MS, () => this.#sweep())
  }

  async #destroy (): Promise<void> {
    this.#exchanger.stop()
    this.#sweepTimer?.cancel()
    this.#lag.stop()
    this.parts.platform.watch.stop()
    this.#front.destroy()
    this.#sideListeners.destroy()
    await this.#connections.destroy()
  }
}
