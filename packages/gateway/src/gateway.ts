/** A gateway host: its listeners and background tasks, and its lifecycle from start to stop. */
import { randomUUID } from 'node:crypto'
import { createRegistry, type Clock, type Logger, type Registry, type Timer } from '@figloom/runtime'
import { createGateMetrics } from './gates/gate-metrics.js'
import { LeavingRunners } from './gates/leaving-runners.js'
import { RunnerGates } from './gates/runner-gates.js'
import { createCrashMetrics } from './crashes/crash-metrics.js'
import { CrashMonitor } from './crashes/crash-monitor.js'
import { OpenStreams } from './streams/open-streams.js'
import { StreamOrigins } from './streams/stream-origins.js'
import { VersionHistory } from './streams/version-history.js'
import { PeerWitness } from './crashes/peer-witness.js'
import { RunnerChecks } from './crashes/runner-checks.js'
import { TcpProbe } from './crashes/tcp-probe.js'
import { RunnerCheck, type ListenerProbe } from './crashes/types.js'
import { ConfigFetcher } from './config/config-fetcher.js'
import { ConfigFreshness } from './config/config-freshness.js'
import { ConfigState } from './config/config-state.js'
import type { GatewayConfig } from './config/types.js'
import { RunnerConnections } from './forward/runner-connections.js'
import { CallerCheck } from './front/caller-check.js'
import { shareOfCallers } from './front/connection-room.js'
import { createCallerHandler } from './front/handlers.js'
import { HttpServer } from './front/http-server.js'
import { LimitedCallers, ListenerName } from './front/limited-callers.js'
import { ListenerOpener } from './front/listener-opener.js'
import { LoopLag } from './front/loop-lag.js'
import { ServingRecord } from './front/serving-record.js'
import { SideListeners } from './front/side-listeners.js'
import { createGauges } from './gauges.js'
import { InstantSource } from './lease/instant.js'
import { LeaseKeeper } from './lease/lease-keeper.js'
import { LimitControl } from './limits/limit-control.js'
import { QuotaControl } from './quota/quota-control.js'
import { createQuotaMetrics } from './quota/quota-log.js'
import { createMemoryBudgets, type MemoryBudgets } from './memory/memory-budgets.js'
import { lookupHosts } from './lookup/lookup.js'
import { Exchanger } from './members/exchanger.js'
import { createContactTiming, type ContactTiming } from './members/contact-timing.js'
import { HostObservation } from './members/host-observation.js'
import { MemberTable } from './members/member-table.js'
import { ConnectPeerClient } from './members/peer-service.js'
import { ReportWriter, type ReportedState } from './members/report-writer.js'
import { UsageAggregator } from './members/usage-aggregator.js'
import type { DemandRate, ExpectedLoad, HostReport } from './members/types.js'
import { KnownLoads } from './orders/known-loads.js'
import { AdapterRequests } from './orders/adapter-requests.js'
import { OrderDispatcher } from './orders/order-dispatcher.js'
import { PassingHosts } from './paths/passing-hosts.js'
import { createPathMetrics } from './paths/path-metrics.js'
import { PathMonitor } from './paths/path-monitor.js'
import { createPassOnMetrics, type PassOnMetrics } from './pass-on/metrics.js'
import { PassOnClient } from './pass-on/pass-on-client.js'
import { PassOnServer } from './pass-on/pass-on-server.js'
import type { RunnerPaths } from './paths/types.js'
import { SharedBudget } from './retry/shared-budget.js'
import { createPlatformCallCounter } from './platform-calls.js'
import { RunnerListSync } from './runners/runner-list-sync.js'
import { RunnerTable } from './runners/runner-table.js'
import { DemandMeter } from './serve/demand-meter.js'
import { createOverlongCounter, createRequestMetrics, createUnexpectedCloseCounter } from './serve/metrics.js'
import { OpenRequests } from './serve/open-requests.js'
import { RouteDurations } from './serve/route-durations.js'
import { serveRequest } from './serve/serve-request.js'
import type { ServeContext } from './serve/types.js'
import type { GatewaySettings, Platform } from './types.js'
import { Waiting } from './waiting/waiting.js'

/** Time for which callers may use the answer of a lookup. */
const LOOKUP_TTL_MS = 1_000
/** Some callers use the answer of a lookup for up to this multiple of its time to live. */
const MAX_LOOKUP_TTL_FACTOR = 3
/** The process exits this long before the end of the grace period. */
const EXIT_MARGIN_MS = 300
/** Time for the final answers of requests that are still open at the end of the grace period to reach their callers. */
const LAST_ANSWERS_MS = 100
/** The listener closes this long before the end of the grace period at the latest, for the answers to what was accepted last. */
const AFTER_LISTENING_MS = 500
const SWEEP_MS = 200
/** A process that this one replaces ends within its grace; on top of that is time for the kill and the release of its addresses. */
const LISTEN_MARGIN_MS = 4_000
/** After a request to stop, all requests are accepted for this long; later only those that end before the process does. */
const OPEN_TO_ALL_MS = 2_800
/** Log value for the source of a runner's state that this host read itself rather than received from another host. */
const OWN_READ_SOURCE = 'the platform'
/** After the platform came back from an older copy, hosts announce themselves again over this time, to stay within its rate of writes. */
const MIN_ANNOUNCE_SPREAD_MS = 1_000
const ANNOUNCE_SPREAD_MS_PER_HOST = 5
/** By this time after its start, a host knows the hosts that its seeds know. */
const SETTLE_MS = 700

export type GatewayParts = {
  settings: GatewaySettings
  platform: Platform
  clock: Clock
  log: Logger
  random: () => number
  /** Checks whether a runner accepts connections; by TCP unless given. */
  probe?: ListenerProbe
  /** Paths to the runners; what this host and the others observe decides unless given. */
  paths?: RunnerPaths
}

export class Gateway {
  readonly #registry: Registry
  readonly #config = ConfigState.create()
  readonly #leavingRunners = LeavingRunners.create()
  readonly #runners: RunnerTable
  readonly #instants: InstantSource
  readonly #runnerList: RunnerListSync
  readonly #limits: LimitControl
  readonly #quotas: QuotaControl
  readonly #closures: RunnerGates
  readonly #probe: ListenerProbe
  readonly #runnerChecks: RunnerChecks
  readonly #crashes: CrashMonitor
  readonly #versions: VersionHistory
  readonly #origins: StreamOrigins
  readonly #memory: MemoryBudgets
  readonly #connections: RunnerConnections
  readonly #paths: RunnerPaths
  readonly #passOnMetrics: PassOnMetrics
  readonly #passOnClient: PassOnClient
  readonly #passOnServer: PassOnServer
  readonly #demand = DemandMeter.create()
  readonly #waiting: Waiting
  readonly #loopLag: LoopLag
  readonly #peerCalls = ConnectPeerClient.create()
  readonly #configPassing: ConfigFetcher
  readonly #configFreshness: ConfigFreshness
  readonly #incarnation = randomUUID()
  readonly #startedMs: number
  readonly #contactTiming: ContactTiming
  readonly #members: MemberTable
  readonly #hostObservation: HostObservation
  readonly #usage: UsageAggregator
  readonly #reportWriter: ReportWriter
  readonly #exchanger: Exchanger
  readonly #lease: LeaseKeeper
  readonly #orderDispatcher: OrderDispatcher
  readonly #context: ServeContext
  readonly #serving: ServingRecord
  readonly #limitedCallers: LimitedCallers
  readonly #front: HttpServer
  readonly #sideListeners: SideListeners
  readonly #openRequests = OpenRequests.create()
  readonly #openStreams = OpenStreams.create()
  #settings: GatewaySettings
  #inFlight = 0
  /** Whether all listeners are open. */
  #acceptsCallers = false
  /** Of these, the requests that came while callers could still know this host from a lookup; the process waits for them first. */
  #listedInFlight = 0
  #isUnlisted = false
  /** The process is about to end: new requests are refused. */
  #refusesAll = false
  #leaving = false
  #leavingSinceMs: number | undefined
  #stopped: Promise<void> | undefined
  /** When the process ends at the latest; undefined as long as it isn't leaving. */
  #endMs: number | undefined
  #sweepTimer: Timer | undefined

  private constructor (private readonly parts: GatewayParts) {
    const { settings, clock, log } = parts
    this.#settings = settings
    this.#runners = RunnerTable.create(this.#leavingRunners, settings.self.host)
    this.#registry = createRegistry({ host: settings.self.host, availabilityZone: settings.self.availabilityZone })
    this.#startedMs = clock.monotonicMs()
    this.#waiting = Waiting.create(clock, this.#registry)
    this.#loopLag = LoopLag.create(clock, log)
    this.#instants = InstantSource.create(clock)
    this.#runnerList = RunnerListSync.create({ clock, instants: this.#instants, log, table: this.#runners, drainNoticeMs: settings.drainNoticeMs, contactMs: settings.contactMs })
    this.#configPassing = ConfigFetcher.create({
      clock,
      log,
      config: this.#config,
      peers: this.#peerCalls,
      decode: (encoded) => parts.platform.watch.decodeConfig(encoded),
      onConfig: (config, encoded) => this.#onConfig(config, encoded)
    })
    this.#configFreshness = ConfigFreshness.create({
      clock,
      readAgoMs: () => parts.platform.watch.configReadAgoMs(),
      receivesFromPeers: () => this.#hostObservation.receivesConfigFromPeers(),
      isBehindPeers: () => this.#configPassing.isBehind,
      read: () => parts.platform.watch.readConfig()
    })
    this.#contactTiming = createContactTiming(settings.contactMs)
    this.#members = MemberTable.create(settings.self.host, this.#contactTiming)
    this.#limits = LimitControl.create({
      clock,
      instants: this.#instants,
      log,
      self: settings.self,
      incarnation: this.#incarnation,
      members: this.#members,
      calls: this.#peerCalls,
      isLeaving: () => this.#leaving,
      runnerLoad: (runnerId) => this.#runners.loadOf(runnerId),
      random: parts.random
    })
    this.#quotas = QuotaControl.create({
      clock,
      instants: this.#instants,
      log,
      metrics: createQuotaMetrics(this.#registry),
      self: settings.self,
      members: this.#members,
      calls: this.#peerCalls,
      isBusy: () => this.#leaving || this.#lease.holds,
      config: this.#config,
      seedCount: settings.seedPeerAddresses.length,
      bound: settings.quotaBound
    })
    this.#closures = RunnerGates.create({
      clock,
      instants: this.#instants,
      log,
      metrics: createGateMetrics(this.#registry),
      host: settings.self.host,
      limits: this.#limits,
      leaving: this.#leavingRunners
    })
    this.#probe = parts.probe ?? TcpProbe.create()
    this.#runnerChecks = RunnerChecks.create({ probe: this.#probe, listed: () => this.#runners.all().map(({ entry }) => entry), hasEnded: (runner) => this.#crashes.hasEnded(runner), random: parts.random })
    this.#crashes = this.#createCrashMonitor()
    const { streamLog } = parts.platform
    this.#versions = VersionHistory.create({ clock, log, runners: this.#runners, streamLog })
    this.#origins = StreamOrigins.create({ clock, log, history: this.#versions, streamLog, hostCount: () => this.#members.live(this.#nowMs()).length + 1 })
    this.#memory = createMemoryBudgets({ memoryMb: settings.memoryMb, log, registry: this.#registry })
    const overlong = createOverlongCounter(this.#registry)
    this.#connections = RunnerConnections.create((runner, reason) => {
      overlong.inc()
      log.warn('runner sends without end; its connection is closed', { runner, reason })
    })
    this.#paths = parts.paths ?? this.#createPathMonitor()
    this.#passOnMetrics = createPassOnMetrics(this.#registry)
    this.#passOnClient = PassOnClient.create({
      clock,
      metrics: this.#passOnMetrics,
      memory: this.#memory.hop,
      isLive: (host) => this.#members.live(this.#nowMs()).some(({ summary }) => summary.address.host === host)
    })
    this.#passOnServer = this.#createPassOnServer()
    this.#hostObservation = HostObservation.create(clock, this.#members, this.#contactTiming)
    this.#usage = UsageAggregator.create(this.#contactTiming.relayReportTtlMs)
    this.#reportWriter = ReportWriter.create({
      clock,
      self: settings.self,
      incarnation: this.#incarnation,
      members: this.#members,
      usage: this.#usage,
      state: () => this.#ownState(),
      runnersPosition: () => this.#runnerList.position,
      runnersSince: (position) => this.#runnerList.updateSince(position),
      crashes: this.#crashes,
      storeEra: () => parts.platform.eras.current
    })
    this.#exchanger = this.#createExchanger()
    this.#lease = this.#createLease()
    this.#orderDispatcher = OrderDispatcher.create({
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
      hasEnded: (runner) => this.#crashes.hasEnded(runner),
      takesOrders: (runner) => this.#closures.acceptsOrders(runner),
      onReport: (runner) => this.#paths.onReached(runner),
      onNoReport: (runner, reason) => this.#paths.onConnectFailed(runner, reason),
      isMixed: (service) => this.#versions.isMixed(service)
    })
    this.#context = this.#createContext()
    this.#serving = ServingRecord.create(clock)
    this.#limitedCallers = LimitedCallers.create(clock, log, this.#registry)
    this.#front = this.#createFront()
    this.#sideListeners = this.#createListeners()
    createPlatformCallCounter(this.#registry, parts.platform.calls)
    createGauges(this.#registry, {
      inFlight: () => this.#inFlight,
      configVersion: () => this.#config.version,
      runners: () => this.#runners.all().length,
      slowStarts: () => this.#runners.startingSlowly(this.#nowMs()).length,
      runnerPaces: () => this.#runners.all().map(({ entry }) => this.#runners.paces.paceOf(entry.id, this.#nowMs())),
      liveHosts: () => this.#members.live(this.#nowMs()).length,
      relay: () => this.#exchanger.relay,
      holdsLease: () => this.#lease.holds,
      cutOff: () => this.#paths.isCutOff,
      brokenPaths: () => this.#paths.brokenCount,
      runnerLimits: () => this.#limits.inForce(),
      rejectionLimits: () => this.#limits.rejectionLimitsInForce(),
      blockedParts: () => this.#crashes.blockedParts,
      blockedRequests: () => this.#crashes.blockedRequests,
      largestBlockShare: () => this.#crashes.largestBlockShare,
      storeEra: () => parts.platform.eras.current,
      storeRewinds: () => parts.platform.eras.rises
    })
  }

  static create (parts: GatewayParts): Gateway {
    return new Gateway(parts)
  }

  /** Opens the listeners and starts the background tasks. */
  async start (): Promise<void> {
    const { settings, platform, log } = this.parts
    platform.watch.start({
      onConfig: (config, encoded) => this.#onConfig(config, encoded),
      onRunnerUpdate: (update) => this.#runnerList.receive(update, OWN_READ_SOURCE),
      onRunnerReadFailed: (startedAgoMs) => this.#runnerList.onReadFailed(startedAgoMs),
      onRunnerHistoryReset: () => this.#runnerList.reset(),
      receivesConfigFromPeers: () => !this.#exchanger.relay && this.#hostObservation.receivesConfigFromPeers(),
      receivesRunnersFromPeers: () => this.#readsThroughPeers(),
      runnersPosition: () => this.#runnerList.position
    })
    platform.eras.onRise(() => this.#onNewEra())
    platform.orders.onSignals((runner, signals) => this.#closures.onAnswer({ runner, requestId: '', signals }))
    this.#loopLag.start()
    await this.#openListeners()
    this.#exchanger.start()
    this.#lease.start()
    this.#orderDispatcher.start()
    this.#crashes.start()
    this.#paths.start()
    this.#origins.start()
    this.#sweep()
    log.info('gateway started', { callerListener: settings.callerListener, peerListener: settings.peerListener, incarnation: this.#incarnation })
  }

  /** The one for callers comes last, so none is accepted before the others are open. Rejects with a ListenError. */
  async #openListeners (): Promise<void> {
    const { settings, clock, log } = this.parts
    const withinMs = settings.graceMs + LISTEN_MARGIN_MS
    const opener = ListenerOpener.create({ clock, log, withinMs, isStopped: () => this.#leaving })
    await this.#sideListeners.open(opener)
    await opener.open(() => this.#front.listen(settings.callerListener))
    this.#acceptsCallers = true
  }

  /** Stops without cutting off answers in progress; resolves when the process may exit. Another call waits for the same end. */
  stop (): Promise<void> {
    this.#stopped ??= this.#stop()
    return this.#stopped
  }

  async #stop (): Promise<void> {
    this.#leaving = true
    this.#leavingSinceMs = this.#nowMs()
    const { clock, log } = this.parts
    const endMs = this.#leavingSinceMs + this.#settings.graceMs - EXIT_MARGIN_MS
    this.#endMs = endMs
    log.info('gateway is leaving', { inFlight: this.#inFlight, forHosts: this.#passOnServer.inFlight })
    await Promise.allSettled([this.#exchanger.reportToRelays(), this.#lease.release()])
    this.#orderDispatcher.stop()
    await clock.sleep(LOOKUP_TTL_MS * MAX_LOOKUP_TTL_FACTOR + this.#hostObservation.propagationMs)
    this.#isUnlisted = true
    const listenEndMs = endMs - AFTER_LISTENING_MS
    while (this.#listedInFlight + this.#passOnServer.inFlight > 0 && this.#nowMs() < listenEndMs) await clock.sleep(50)
    this.#refusesAll = true
    await this.#front.closeListener(Math.max(0, listenEndMs - this.#nowMs()))
    while (this.#inFlight + this.#passOnServer.inFlight > 0 && this.#nowMs() < endMs) await clock.sleep(50)
    log.info('gateway stopped', { inFlight: this.#inFlight, forHosts: this.#passOnServer.inFlight })
    this.#openRequests.endAll()
    await Promise.all([this.#front.closeConnections(LAST_ANSWERS_MS), this.#sideListeners.close(LAST_ANSWERS_MS)])
    await this.#destroy()
  }

  /** Applies changed settings; changes to listeners and to the host's name take effect at the next start. */
  reload (settings: GatewaySettings): void {
    this.#settings = { ...this.parts.settings, graceMs: settings.graceMs, maxLookupTtlMs: settings.maxLookupTtlMs, budget: settings.budget }
    this.#context.budget.setLimits(settings.budget)
    this.parts.log.info('settings reloaded', { graceMs: settings.graceMs, budgetRatio: settings.budget.ratio, budgetSlack: settings.budget.slack })
  }

  /** False if requests of callers came lately and none of them has been answered for a while. */
  get isServing (): boolean {
    return this.#serving.isServing
  }

  get ready (): boolean {
    return this.#acceptsCallers && this.#config.hasConfig && !this.#leaving && this.#runners.all().length > 0
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }

  #onConfig (config: GatewayConfig, encoded: Uint8Array): void {
    const before = this.#config.version
    if (!this.#config.adopt(config, encoded)) return
    this.#configPassing.onAdopted()
    this.#front.setLimits(config.limits)
    this.parts.log.info('configuration in force', { version: config.version, before, routes: config.routes.length, customers: countCustomers(config) })
  }

  #createListeners (): SideListeners {
    const { settings, platform } = this.parts
    return SideListeners.create({
      settings,
      wire: platform.lookupWire,
      registry: this.#registry,
      clock: this.parts.clock,
      log: this.parts.log,
      memory: this.#memory,
      limited: this.#limitedCallers,
      ready: () => this.ready,
      lookup: () => this.#lookupAddresses(),
      lookupTtlMs: () => Math.min(LOOKUP_TTL_MS, this.#settings.maxLookupTtlMs),
      peers: {
        onReport: (report) => this.#exchanger.onIncoming(report),
        onAdapterRequest: (request) => this.#orderDispatcher.ensureAdapter(request),
        onPermitRequest: (request) => this.#limits.onPermitRequest(request),
        onTokenRequests: (requests) => this.#quotas.onTokenRequests(requests),
        onConfigRequest: () => this.#config.encoded,
        onCheckRequest: (address) => this.#checkRunner(address),
        onPassOn: (request, signal) => this.#passOnServer.serve(request, signal)
      }
    })
  }

  /** A host that is cut off from runners still tells which of them it reaches. */
  async #checkRunner (address: string): Promise<RunnerCheck> {
    const check = await this.#runnerChecks.check(address)
    return check !== RunnerCheck.Accepted && this.#paths.isCutOff ? RunnerCheck.Unknown : check
  }

  #createFront (): HttpServer {
    const { clock, log } = this.parts
    const unexpectedCloses = createUnexpectedCloseCounter(this.#registry)
    const handler = createCallerHandler(async (request, response) => {
      const listed = this.#isUnlisted ? 0 : 1
      this.#inFlight += 1
      this.#serving.onRequest(response)
      this.#listedInFlight += listed
      await serveRequest(this.#context, request, response).finally(() => {
        this.#inFlight -= 1
        this.#listedInFlight -= listed
      })
    })
    return HttpServer.create(handler, clock, {
      share: shareOfCallers(this.parts.settings.maxDescriptors),
      memory: this.#memory.requests,
      onForRoom: (event) => this.#limitedCallers.onRoom(ListenerName.Callers, event),
      onWait: (reason, callerAddress) => this.#limitedCallers.onWait(ListenerName.Callers, reason, callerAddress),
      onUnexpectedClose: ({ openRequests, idleMs, statedIdleMs, unread }) => {
        const kind = unread ? 'answer not read' : openRequests > 0 ? 'answer unfinished' : 'sooner than stated'
        unexpectedCloses.inc({ kind })
        if (kind === 'sooner than stated') log.warn('connection of a caller closed sooner than its last answer stated', { idleMs: Math.round(idleMs), statedIdleMs, leaving: this.#leaving })
      }
    })
  }

  #lookupAddresses (): string[] {
    const ownAddress = this.ready ? this.#settings.self.callerAddress : undefined
    return lookupHosts({ members: this.#members, self: this.#settings.self.host, ownAddress, isCutOff: this.#paths.isCutOff, nowMs: this.#nowMs() })
  }

  #createExchanger (): Exchanger {
    const { settings, clock, log, platform } = this.parts
    return Exchanger.create({
      clock,
      instants: this.#instants,
      log,
      members: this.#members,
      calls: this.#peerCalls,
      registry: platform.registry,
      self: settings.self,
      seedPeerAddresses: settings.seedPeerAddresses,
      timing: this.#contactTiming,
      holdsLease: () => this.#lease.holds,
      report: (peer) => this.#reportWriter.write(peer),
      onReport: (report, writtenAgoMs) => this.#onReport(report, writtenAgoMs)
    })
  }

  #createCrashMonitor (): CrashMonitor {
    const { settings, clock, log, platform, random } = this.parts
    return CrashMonitor.create({
      clock,
      instants: this.#instants,
      log,
      metrics: createCrashMetrics(this.#registry),
      probe: this.#probe,
      witness: this.#createWitness(),
      listed: () => this.#runners.all().map(({ entry }) => entry),
      onPathBroken: (runner) => this.#paths.onConnectFailed(runner, 'refused here, and reached by another host'),
      crashLog: platform.crashLog,
      host: settings.self.host,
      incarnation: this.#incarnation,
      startedMs: this.#instants.nowMs(),
      random,
      mayTry: () => this.#lease.holds,
      readsThroughPeers: () => this.#readsThroughPeers(),
      hasLivePeers: () => this.#members.live(this.#nowMs()).length > 0,
      onUrgent: () => {
        this.#exchanger.reportToRelays().catch((error: Error) => log.error('ends of runners were not reported at once', { reason: error.message }))
      }
    })
  }

  #createWitness (): PeerWitness {
    const { settings, clock, random } = this.parts
    return PeerWitness.create({
      clock,
      calls: this.#peerCalls,
      checks: this.#runnerChecks,
      availabilityZone: settings.self.availabilityZone,
      hosts: () => this.#members.live(this.#nowMs()).map(({ summary }) => summary),
      isCutOff: ({ cutOff }) => cutOff,
      random
    })
  }

  #createPathMonitor (): PathMonitor {
    const { settings, clock, log, random } = this.parts
    const hosts = PassingHosts.create({ clock, self: settings.self, liveHosts: () => this.#members.live(this.#nowMs()).map(({ summary }) => summary), random })
    return PathMonitor.create({
      clock,
      log,
      metrics: createPathMetrics(this.#registry),
      probe: this.#probe,
      calls: this.#peerCalls,
      hosts,
      placeOf: ({ id }) => this.#runners.get(id)?.entry,
      random,
      onCutOffChanged: () => {
        this.#exchanger.reportToRelays().catch((error: Error) => log.error('paths to runners were not reported at once', { reason: error.message }))
      },
      onBroken: ({ id }) => this.#connections.drop(id)
    })
  }

  /** Relays read the platform's records for the hosts that report to them. */
  #readsThroughPeers (): boolean {
    return !this.#exchanger.relay && this.#runnerList.ageMs() < this.#runnerList.freshMs
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
      holderIsLive: () => this.#hostObservation.hasRecentHolderReport,
      lastOrderAgoMs: (fencingToken) => this.#hostObservation.lastOrderAgoMs(fencingToken),
      hasRestartedPeer: () => this.#members.hasRestartedHost(this.#nowMs()),
      era: () => platform.eras.current,
      mayClaim: () => this.#config.hasConfig && !this.#leaving && this.#exchanger.ranked && this.#nowMs() - this.#startedMs > SETTLE_MS && !this.#mustYieldLease(),
      mustYield: () => this.#mustYieldLease(),
      onYielded: () => {
        this.#exchanger.reportToRelays().catch((error: Error) => log.error('the end of the order lease was not reported at once', { reason: error.message }))
      }
    })
  }

  /** A host that is cut off from runners leaves the lease to one that isn't. Relays alone claim it. */
  #mustYieldLease (): boolean {
    return this.#paths.isCutOff && this.#members.connected(this.#nowMs()).some(({ summary }) => summary.relay)
  }

  #createPassOnServer (): PassOnServer {
    return PassOnServer.create({
      clock: this.parts.clock,
      log: this.parts.log,
      metrics: this.#passOnMetrics,
      codec: this.parts.platform.codec,
      runners: this.#runners,
      closures: this.#closures,
      connections: this.#connections,
      paths: this.#paths,
      memory: this.#memory.hop,
      isLeaving: () => this.#leaving
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
      quotas: this.#quotas,
      closures: this.#closures,
      crashes: this.#crashes,
      versions: this.#versions,
      origins: this.#origins,
      openStreams: this.#openStreams,
      connections: this.#connections,
      paths: this.#paths,
      passOn: this.#passOnClient,
      budget: SharedBudget.create(settings.budget),
      memory: this.#memory,
      demand: this.#demand,
      durations: RouteDurations.create(),
      openRequests: this.#openRequests,
      adapters: AdapterRequests.create({
        clock,
        log,
        runners: this.#runners,
        dispatcher: this.#orderDispatcher,
        peers: this.#peerCalls,
        mayOrder: () => this.#lease.orderToken() !== undefined,
        holderAddress: () => this.#hostObservation.holderAddress()
      }),
      loads: KnownLoads.create(() => this.#expectedLoads()),
      waiting: this.#waiting,
      lag: this.#loopLag,
      callerCheck: CallerCheck.create(this.#loopLag),
      host: {
        availabilityZone: settings.self.availabilityZone,
        hostCount: () => this.#members.sharingHostCount(this.#nowMs()),
        hostWithStaleLoads: () => this.#hostObservation.isFullMesh ? undefined : settings.self.host,
        runnersAgeMs: () => this.#runnerList.ageMs(),
        isConfigFresh: () => this.#configFreshness.check(),
        isLeaving: () => this.#leaving,
        endsInMs: () => this.#endsInMs()
      },
      random
    }
  }

  #endsInMs (): number | undefined {
    if (this.#refusesAll) return 0
    const nowMs = this.#nowMs()
    if (this.#leavingSinceMs === undefined || this.#endMs === undefined || nowMs - this.#leavingSinceMs <= OPEN_TO_ALL_MS) return undefined
    return this.#endMs - nowMs
  }

  #onReport (report: HostReport, writtenAgoMs: number): void {
    const nowMs = this.#nowMs()
    if (report.storeEra > 0) this.parts.platform.eras.observe(report.storeEra, report.sender.address.host)
    const reportsHere = this.#members.groupReports(nowMs).some(({ sender }) => sender.address.host === report.sender.address.host)
    this.#usage.applyReport(report, reportsHere, nowMs)
    this.#runners.setOtherHostsInFlight(this.#usage.othersUses())
    if (report.configVersion > this.#config.version) this.parts.platform.watch.readConfig()
    this.#configPassing.onVersion(report.configVersion, report.sender.address.peerAddress)
    this.#applyRunnerUpdate(report, writtenAgoMs)
    // The sending host gives up after this timeout, so its report was in flight for no longer.
    const transitMs = Math.min(writtenAgoMs, this.#contactTiming.timeoutMs)
    this.#limits.receive(report.limitReports, transitMs)
    this.#limits.receiveRejectionLimits(report.rejectionLimitReports, transitMs)
    this.#closures.receive(report.leavingReports, transitMs)
    if (report.crashes !== undefined) this.#crashes.receive(report.sender.address.host, report.crashes)
  }

  /** The platform came back from an older copy, which may lack what this host wrote there. */
  #onNewEra (): void {
    const hosts = this.#members.live(this.#nowMs()).length + 1
    this.#exchanger.announceAgain(Math.max(MIN_ANNOUNCE_SPREAD_MS, hosts * ANNOUNCE_SPREAD_MS_PER_HOST), this.parts.random)
    this.#crashes.onNewEra()
    this.#versions.onNewEra()
    this.#origins.onNewEra()
  }

  /** Applies the update of the list of runners that a relay forwards. */
  #applyRunnerUpdate ({ sender, runners }: HostReport, writtenAgoMs: number): void {
    if (runners === undefined) return
    const ageMs = runners.ageMs === undefined ? undefined : runners.ageMs + writtenAgoMs
    this.#runnerList.receive({ ...runners, ageMs }, sender.address.host)
  }

  /** Loads in progress, as far as this host knows. */
  #expectedLoads (): ExpectedLoad[] {
    return this.#lease.orderToken() === undefined ? this.#hostObservation.expectedLoads() : this.#orderDispatcher.expectedLoads()
  }

  #ownState (): ReportedState {
    const lease = this.#lease.status()
    const usedRunners = this.#runners.all().filter(({ inFlight }) => inFlight > 0)
    return {
      ready: this.ready,
      leaving: this.#leaving,
      relay: this.#exchanger.relay,
      cutOff: this.#paths.isCutOff,
      configVersion: this.#config.version,
      configReadAgoMs: this.parts.platform.watch.configReadAgoMs(),
      runnerUses: new Map(usedRunners.map(({ entry, inFlight }) => [entry.id, inFlight])),
      paces: () => this.#runners.paces.ownReports(this.#nowMs()),
      demand: this.#ownDemand(),
      lease: { heldBySender: lease.held, fencingToken: lease.fencingToken, lastOrderAgoMs: lease.lastOrderAgoMs },
      expectedLoads: this.#expectedLoads(),
      limitReports: this.#limits.reports(),
      rejectionLimitReports: this.#limits.rejectionLimitReports(),
      leavingReports: this.#closures.leavingReports()
    }
  }

  #allDemand (): DemandRate[] {
    return [...this.#ownDemand(), ...this.#usage.othersDemand()]
  }

  /** Requests by model, and the streams of services with several versions of the software. */
  #ownDemand (): DemandRate[] {
    const streams = this.#openStreams.counts((service) => this.#versions.isMixed(service))
    return [...this.#demand.rates(this.#nowMs()), ...streams.map((count) => ({ ...count, requestsPerS: 0, slowRequestsPerS: 0, holdMs: 0 }))]
  }

  #sweep (): void {
    this.#usage.sweep(this.#nowMs())
    this.#runners.paces.setOthers(this.#usage.othersPaces())
    this.#runnerList.sweep()
    this.#limits.sweep()
    this.#quotas.sweep()
    this.#closures.sweep()
    this.#crashes.sweep()
    this.#versions.observeMixed()
    this.#origins.sweep()
    this.#waiting.sweep()
    const listed = this.#runners.all().map(({ entry }) => entry)
    const listedIds = new Set(listed.map(({ id }) => id))
    this.#connections.retain(listedIds)
    this.#runners.paces.retain(listedIds)
    this.#paths.retain(new Set(listed.map(({ address }) => address)))
    this.#sweepTimer = this.parts.clock.setTimer(SWEEP_MS, () => this.#sweep())
  }

  async #destroy (): Promise<void> {
    this.#exchanger.stop()
    this.#crashes.stop()
    this.#paths.stop()
    this.#versions.stop()
    this.#origins.stop()
    this.#sweepTimer?.cancel()
    this.#loopLag.stop()
    this.parts.platform.watch.stop()
    this.#front.destroy()
    this.#sideListeners.destroy()
    this.#passOnClient.destroy()
    await this.#connections.destroy()
  }
}

/** Undefined if the configuration has no customers. */
function countCustomers ({ customersByKey }: GatewayConfig): number | undefined {
  return customersByKey === undefined ? undefined : new Set(customersByKey.values()).size
}
