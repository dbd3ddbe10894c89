/** figloomd: the listeners, the request path and the control tasks of an entry host, and its life from start to stop. */
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
import type { Clients, DaemonAddresses, DaemonFrame, DaemonOptions } from './assembly/types.js'
import { createCallersHandler } from './callers/app.js'
import type { CellSet } from './cells/cell-set.js'
import { ObservedHostList } from './cells/observed-host-list.js'
import { DemandMeter } from './cells/demand-meter.js'
import type { RunnerWatch } from './cells/runner-watch.js'
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

type Parts = {
  frame: DaemonFrame
  hostList: HostListClient
  membership: Membership
  demand: DemandMeter
  cells: CellSet
  watch: RunnerWatch
  claims: Claims
  follower: ConfigFollower<ConfigState>
  directory: HostDirectory
  requests: RequestService
}

type Listeners = { callers: HttpListener, operators: HttpListener }

const HEAD_TIMEOUT_MS = 10_000
/** Limit for the log to take this host's last word on its leases, in milliseconds. */
const RETIRE_TIMEOUT_MS = 3000
/** Limit for claim gateways to take on the answers of this host's last calls, in milliseconds. */
const DELIVERY_TIMEOUT_MS = 2000
/** Time beyond a lookup's time to live in which callers may still come, in milliseconds. */
const LOOKUP_MARGIN_MS = 250

/** Age of the log's last answer to the configuration follower below which the log counts as answering, in milliseconds. */
const LOG_FRESH_MS = 12_000
const TICK_MS = 1000

/** One entry host. */
export class Daemon {
  readonly registry: Registry
  readonly #self: Sender
  readonly #clients: Clients
  #parts: Parts | undefined
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
    let callers: ListenerHandler = refuseEarly
    let operators: ListenerHandler = refuseEarly
    const limits = { ...settings.limits, headTimeoutMs: HEAD_TIMEOUT_MS }
    const listeners = {
      callers: HttpListener.create((request, response) => callers(request, response), limits),
      operators: HttpListener.create((request, response) => operators(request, response), { ...limits, maxStreamsPerConnection: settings.limits.maxInFlight })
    }
    this.#listeners = listeners
    const callerUrl = await listen(listeners.callers, settings.host.callerAddress)
    const operatorUrl = await listen(listeners.operators, settings.host.operatorAddress)
    const addresses = { callerUrl: settings.host.callerUrl ?? callerUrl, operatorUrl: settings.host.operatorUrl ?? operatorUrl }
    const parts = await this.#compose({ ...this.options, self: this.#self, clients: this.#clients, addresses })
    callers = this.#createCallers(parts)
    operators = this.#createOperators(parts)
    this.#startTasks(parts)
    await this.#announce(parts, 'live')
    return addresses
  }

  /**
   * Graceful shutdown: lookups stop naming the host, it serves on until the answers to earlier lookups have run out,
   * finishes what is in flight, and stops.
   */
  async shutDown (): Promise<void> {
    const { settings, clock, logger } = this.options
    const parts = this.#parts
    if (parts === undefined || this.#isLeaving) return
    this.#isLeaving = true
    logger.info('leaving', { inFlight: parts.requests.inFlight })
    parts.membership.leave()
    await this.#announce(parts, 'leaving')
    await Promise.all([clock.sleep(settings.lookup.ttlMs + LOOKUP_MARGIN_MS), parts.cells.retire(RETIRE_TIMEOUT_MS)])
    this.#isClosed = true
    await this.#atMost(parts.requests.idle(), settings.shutdown.graceMs)
    await this.#atMost(parts.claims.keys.delivered(), DELIVERY_TIMEOUT_MS)
    await this.#atMost(this.#closeListeners(), settings.shutdown.graceMs)
    logger.info('stopped', { inFlight: parts.requests.inFlight })
    await this.stop()
  }

  /** Resolves when every answer has been taken by its reader. */
  async #closeListeners (): Promise<void> {
    await Promise.all([this.#listeners?.callers.close(), this.#listeners?.operators.close()])
  }

  async #atMost (work: Promise<void>, limitMs: number): Promise<void> {
    const waited = new AbortController()
    await Promise.race([work, this.options.clock.sleep(limitMs, waited.signal)])
    waited.abort()
  }

  /** Stops at once; requests in flight are cut. */
  async stop (): Promise<void> {
    this.#isClosed = true
    this.#timer?.cancel()
    const parts = this.#parts
    if (parts !== undefined) {
      for (const part of [parts.watch, parts.membership, parts.follower, parts.claims.keys, parts.cells]) part.stop()
      parts.claims.streams.close()
    }
    this.#listeners?.callers.destroy()
    this.#listeners?.operators.destroy()
    await this.#clients.backends.destroy()
  }

  async #compose (frame: DaemonFrame): Promise<Parts> {
    const { settings, clients } = frame
    const metrics = createRequestMetrics(this.registry)
    const hostList = ObservedHostList.create(clients.hostList, (names) => this.#parts?.cells.setLeavingBackends(names))
    const demand = DemandMeter.create(frame.clock)
    const membership = createMembership(frame, hostList, demand, () => this.#parts?.cells.neighbors() ?? [])
    const { cells, watch } = createCells(frame, membership, demand)
    const claims = createClaims(frame, membership, () => this.#parts?.directory.zonesOf(settings.host.region) ?? new Set())
    const follower = createFollower(frame, membership, hostList)
    const directory = HostDirectory.create({ cells, membership: () => membership.view(), lookupTtlMs: settings.lookup.ttlMs })
    const requests = await createRequests(frame, { directory, keys: claims.keys, metrics, isClosed: () => this.#isClosed })
    const parts = { frame, hostList, membership, demand, cells, watch, claims, follower, directory, requests }
    this.#parts = parts
    return parts
  }

  #startTasks ({ membership, follower, cells, watch, claims, directory }: Parts): void {
    membership.subscribe((view) => {
      cells.setMembership(view)
      watch.takePeerLoads((runner) => membership.loadsOf(runner))
      cells.takePeerLoads((runner) => membership.loadsOf(runner))
      claims.followGateways()
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
    watch.start()
  }

  /** Once a second: tells membership while the follower's reads of the log are answered, and reads the demand. */
  #tick (): void {
    this.#timer = this.options.clock.setTimer(TICK_MS, () => this.#tick())
    const { logAgeMs = Infinity } = this.#parts?.follower.report() ?? {}
    if (logAgeMs < LOG_FRESH_MS) this.#parts?.membership.logAnswered()
    this.#parts?.cells.readDemand()
  }

  #registerGauges (): void {
    const registers = [this.registry]
    const parts = () => this.#parts
    const version = new Gauge({
      name: 'figloom_config_version', help: 'Offset of the configuration in force', registers, collect () { version.set(parts()?.follower.report().version ?? 0) }
    })
    const ready = new Gauge({
      name: 'figloom_ready', help: 'Whether the host has a configuration in force', registers, collect () { ready.set(parts()?.follower.report().ready === true ? 1 : 0) }
    })
  }

  #createCallers ({ directory, membership, requests }: Parts): ListenerHandler {
    const { settings, clock, ids } = this.options
    const lookup = HostLookup.create(directory, { membership: () => membership.view(), lookupTtlMs: settings.lookup.ttlMs })
    return createCallersHandler({
      clock, ids, host: settings.host.name, directory, lookup, requests, maxBodyBytes: settings.limits.maxBodyBytes
    })
  }

  #createOperators (parts: Parts): ListenerHandler {
    const { settings, clock } = this.options
    const { membership, requests, claims, demand, follower, cells, directory } = parts
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

  async #announce ({ frame }: Parts, state: 'live' | 'leaving'): Promise<void> {
    const { settings, logger } = this.options
    if (settings.platform.announceToHostList) await announceHost(settings, frame.addresses, state, logger)
  }
}

/** Later processes of a host sort behind earlier ones. */
function createIncarnation ({ clock }: DaemonOptions): string {
  return `${clock.now().getTime().toString(36).padStart(9, '0')}-${randomUUID().slice(0, 8)}`
}

/** Listens on `host:port` and returns the URL. */
async function listen (listener: HttpListener, address: string): Promise<string> {
  const parsed = parseAddress(address)
  if (parsed === undefined) throw new Error(`${address} is not host:port`)
  const bound = await listener.listen(parsed.host, parsed.port)
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address
  return `http://${host}:${bound.port}`
}

const refuseEarly: ListenerHandler = (_request, response) => {
  response.writeHead(503, { 'retry-after': '1' })
  response.end()
}
