/** figloomd: starts and stops an entry host's listeners, request handling and control tasks. */
import { randomUUID } from 'node:crypto'
import type { ConfigFollower, Membership, Sender } from '@figloom/control'
import type { HostListClient } from '@figloom/clients'
import { createRegistry, Gauge, type Registry, type Timer } from '@figloom/runtime'
import { parseAddress } from '@figloom/settings'
import { tablesOf, type ConfigState } from '@figloom/tables'
import { createCells } from './assembly/cells.js'
import { createClaims, type Claims } from './assembly/claims.js'
import { createClients } from './assembly/clients.js'
import { createFollower } from './assembly/follower.js'
import { createMembership } from './assembly/membership.js'
import { createRequests } from './assembly/requests.js'
import type { Clients, DaemonAddresses, DaemonContext, DaemonOptions } from './assembly/types.js'
import { createCallersHandler } from './callers/app.js'
import type { CellSet } from './cells/cell-set.js'
import { EntryHostList } from './cells/entry-host-list.js'
import { DemandMeter } from './cells/demand-meter.js'
import type { RunnerPoller } from './cells/runner-poller.js'
import { HostDirectory, HostLookup } from './config/host-directory.js'
import { HttpListener, type ListenerHandler } from './listener/http-listener.js'
import { announceHost } from './operators/announce.js'
import { createOperatorsHandler } from './operators/app.js'
import { HostOperatorView } from './operators/host-operator-view.js'
import { registerInnerService } from './peers/inner-service.js'
import { RELEASE } from './program.js'
import { createRequestMetrics } from './requests/metrics.js'
import type { RequestService } from './requests/request-service.js'

export type { DaemonAddresses, DaemonOptions } from './assembly/types.js'

type Components = {
  context: DaemonContext
  hostList: HostListClient
  membership: Membership
  demand: DemandMeter
  cells: CellSet
  poller: RunnerPoller
  claims: Claims
  follower: ConfigFollower<ConfigState>
  directory: HostDirectory
  requests: RequestService
}

type Listeners = { callers: HttpListener, operators: HttpListener }

const HEAD_TIMEOUT_MS = 10_000
/** Time allowed at shutdown for the log to record that this host releases its leases, in milliseconds. */
const LEASE_RELEASE_TIMEOUT_MS = 3000
/** Time allowed at shutdown for claim gateways to take on the answers of this host's last keyed calls, in milliseconds. */
const ATTEMPT_END_TIMEOUT_MS = 2000
/** Time after a lookup's TTL in which callers may still connect, in milliseconds. */
const LOOKUP_MARGIN_MS = 250

/** The log counts as answering while its last answer to the configuration follower is more recent than this, in milliseconds. */
const LOG_FRESH_MS = 12_000
const TICK_MS = 1000

/** One entry host. */
export class Daemon {
  readonly registry: Registry
  readonly #self: Sender
  readonly #clients: Clients
  #components: Components | undefined
  #listeners: Listeners | undefined
  #timer: Timer | undefined
  #isLeaving = false
  #isClosed = false

  private constructor (private readonly options: DaemonOptions) {
    const { host } = options.settings
    this.registry = createRegistry({ host: host.name, availabilityZone: host.availabilityZone })
    this.#self = { host: host.name, incarnation: createIncarnation(options) }
    this.#clients = createClients(options)
  }

  static create (options: DaemonOptions): Daemon {
    return new Daemon(options)
  }

  /** Listens and starts the control tasks. Rejects if an address is in use. */
  async start (): Promise<DaemonAddresses> {
    const { settings } = this.options
    let callers: ListenerHandler = refuseUntilStarted
    let operators: ListenerHandler = refuseUntilStarted
    const limits = { ...settings.limits, headTimeoutMs: HEAD_TIMEOUT_MS }
    const listeners = {
      callers: HttpListener.create((request, response) => callers(request, response), limits),
      operators: HttpListener.create((request, response) => operators(request, response), { ...limits, maxStreamsPerConnection: settings.limits.maxInFlight })
    }
    this.#listeners = listeners
    const callerUrl = await listen(listeners.callers, settings.host.callerAddress)
    const operatorUrl = await listen(listeners.operators, settings.host.operatorAddress)
    const addresses = { callerUrl: settings.host.callerUrl ?? callerUrl, operatorUrl: settings.host.operatorUrl ?? operatorUrl }
    const components = await this.#createComponents({ ...this.options, self: this.#self, clients: this.#clients, addresses })
    callers = this.#createCallers(components)
    operators = this.#createOperators(components)
    this.#startTasks(components)
    await this.#announce(components, 'live')
    return addresses
  }

  /**
   * Graceful shutdown: removes the host from lookups, continues to serve until earlier lookup answers have expired,
   * finishes the requests in flight, and stops.
   */
  async shutDown (): Promise<void> {
    const { settings, clock, logger } = this.options
    const components = this.#components
    if (components === undefined || this.#isLeaving) return
    this.#isLeaving = true
    logger.info('leaving', { inFlight: components.requests.inFlight })
    components.membership.leave()
    await this.#announce(components, 'leaving')
    await Promise.all([clock.sleep(settings.lookup.ttlMs + LOOKUP_MARGIN_MS), components.cells.retire(LEASE_RELEASE_TIMEOUT_MS)])
    this.#isClosed = true
    await this.#waitAtMost(components.requests.idle(), settings.shutdown.graceMs)
    await this.#waitAtMost(components.claims.keys.delivered(), ATTEMPT_END_TIMEOUT_MS)
    await this.#waitAtMost(this.#closeListeners(), settings.shutdown.graceMs)
    logger.info('stopped', { inFlight: components.requests.inFlight })
    await this.stop()
  }

  /** Resolves when every answer has been read by its caller. */
  async #closeListeners (): Promise<void> {
    await Promise.all([this.#listeners?.callers.close(), this.#listeners?.operators.close()])
  }

  async #waitAtMost (work: Promise<void>, limitMs: number): Promise<void> {
    const waited = new AbortController()
    await Promise.race([work, this.options.clock.sleep(limitMs, waited.signal)])
    waited.abort()
  }

  /** Stops immediately; aborts the requests in flight. */
  async stop (): Promise<void> {
    this.#isClosed = true
    this.#timer?.cancel()
    const components = this.#components
    if (components !== undefined) {
      for (const task of [components.poller, components.membership, components.follower, components.claims.keys, components.cells]) task.stop()
      components.claims.streams.close()
    }
    this.#listeners?.callers.destroy()
    this.#listeners?.operators.destroy()
    await this.#clients.backends.destroy()
  }

  async #createComponents (context: DaemonContext): Promise<Components> {
    const { settings, clients } = context
    const metrics = createRequestMetrics(this.registry)
    const hostList = EntryHostList.create(clients.hostList, (names) => this.#components?.cells.setLeavingBackends(names))
    const demand = DemandMeter.create(context.clock)
    const membership = createMembership(context, hostList, demand, () => this.#components?.cells.neighbors() ?? [])
    const { cells, poller } = createCells(context, membership, demand)
    const claims = createClaims(context, membership, () => this.#components?.directory.zonesOf(settings.host.region) ?? new Set())
    const follower = createFollower(context, membership, hostList)
    const directory = HostDirectory.create({ cells, membership: () => membership.view(), lookupTtlMs: settings.lookup.ttlMs })
    const requests = await createRequests(context, { directory, keys: claims.keys, metrics, isClosed: () => this.#isClosed })
    const components = { context, hostList, membership, demand, cells, poller, claims, follower, directory, requests }
    this.#components = components
    return components
  }

  #startTasks ({ membership, follower, cells, poller, claims, directory }: Components): void {
    membership.subscribe((view) => {
      cells.setMembership(view)
      poller.applyPeerLoads((runner) => membership.loadsOf(runner))
      cells.applyPeerLoads((runner) => membership.loadsOf(runner))
      claims.followGatewayStreams()
    })
    follower.subscribe((state, version) => {
      const tables = tablesOf(state)
      directory.setTables(tables, version)
      cells.setTables(tables)
      membership.update({ configVersion: version })
    })
    this.#tick()
    this.#registerGauges()
    membership.start()
    follower.start()
    poller.start()
  }

  /** Once a second, notifies membership if the log answered the follower's reads recently, and samples the demand. */
  #tick (): void {
    this.#timer = this.options.clock.setTimer(TICK_MS, () => this.#tick())
    const { logAgeMs = Infinity } = this.#components?.follower.report() ?? {}
    if (logAgeMs < LOG_FRESH_MS) this.#components?.membership.recordLogAnswer()
    this.#components?.cells.sampleDemand()
  }

  #registerGauges (): void {
    const registers = [this.registry]
    const components = () => this.#components
    const version = new Gauge({
      name: 'figloom_config_version', help: 'Offset of the configuration in force', registers, collect () { version.set(components()?.follower.report().version ?? 0) }
    })
    const ready = new Gauge({
      name: 'figloom_ready', help: 'Whether the host has a configuration in force', registers, collect () { ready.set(components()?.follower.report().ready === true ? 1 : 0) }
    })
  }

  #createCallers ({ directory, membership, requests }: Components): ListenerHandler {
    const { settings, clock, ids } = this.options
    const lookup = HostLookup.create(directory, { membership: () => membership.view(), lookupTtlMs: settings.lookup.ttlMs })
    return createCallersHandler({
      clock, ids, host: settings.host.name, directory, lookup, requests, maxBodyBytes: settings.limits.maxBodyBytes
    })
  }

  #createOperators (components: Components): ListenerHandler {
    const { settings, clock } = this.options
    const { membership, requests, claims, demand, follower, cells, directory } = components
    const isReady = () => follower.report().ready && directory.configVersion > 0 && !this.#isLeaving
    const operators = HostOperatorView.create({
      cells,
      directory,
      membership,
      follower,
      clients: this.#clients.inner,
      release: settings.host.release ?? RELEASE,
      availabilityZone: settings.host.availabilityZone,
      isReady,
      leave: () => membership.leave()
    })
    return createOperatorsHandler({
      registry: this.registry,
      isReady,
      registerInner: (router) => registerInnerService(router, {
        clock, requests, membership, claims: claims.streams, demand, operators, snapshot: (newerThan) => follower.snapshot(newerThan)
      })
    })
  }

  async #announce ({ context }: Components, state: 'live' | 'leaving'): Promise<void> {
    const { settings, logger } = this.options
    if (settings.platform.announceToHostList) await announceHost(settings, context.addresses, state, logger)
  }
}

/** Creates an id that sorts after those of this host's earlier processes. */
function createIncarnation ({ clock }: DaemonOptions): string {
  return `${clock.now().getTime().toString(36).padStart(9, '0')}-${randomUUID().slice(0, 8)}`
}

/** Listens on `host:port` and returns the URL. */
async function listen (listener: HttpListener, address: string): Promise<string> {
  const parsed = parseAddress(address)
  if (parsed === undefined) throw new Error(`listen address ${address} is not of the form host:port`)
  const bound = await listener.listen(parsed.host, parsed.port)
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address
  return `http://${host}:${bound.port}`
}

const refuseUntilStarted: ListenerHandler = (_request, response) => {
  response.writeHead(503, { 'retry-after': '1' })
  response.end()
}
