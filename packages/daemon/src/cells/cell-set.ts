/** The cells that this host serves; adds and removes cells as tables and hosts change. */
import {
  cellConfigOf, CellHolder, GoneEvidence,
  type CellView, type HostView, type LeaseSettings, type MembershipState, type MembershipView, type RunnerLoadRecord, type Sender, type StoreLimits
} from '@figloom/control'
import type { EngineClient, EngineReport, LogClient } from '@figloom/clients'
import type { Clock, IdSource, Logger } from '@figloom/runtime'
import type { RandomSource } from '@figloom/routing'
import type { Pool, Tables } from '@figloom/tables'
import { Cell, type RunnerExclusions } from './cell.js'
import { CellHosts } from './cell-hosts.js'
import { CellPlanner } from './cell-planner.js'
import { CellRouter } from './cell-router.js'
import type { DemandMeter } from './demand-meter.js'
import type { RunnerPoller, PolledRunner } from './runner-poller.js'

export type CellSetOptions = {
  clock: Clock
  ids: IdSource
  logger: Logger
  random: RandomSource
  log: LogClient
  engines: EngineClient
  self: Sender
  region: string
  availabilityZone: string
  /** Share of a runner's limit that batch requests may use, from 0 to 1. */
  batchShare: number
  lease: LeaseSettings
  limits: StoreLimits
  transitReserveMiB: number
  planEveryMs: number
  horizonMs: number
  /** Whether this host takes part in controlling cells, so that it may hold their leases. */
  isControlEnabled: boolean
  poller: RunnerPoller
  demand: DemandMeter
  /** Membership state, which includes the runners that operators drain. */
  membership: () => Readonly<MembershipState>
  /** Called with the names of the cells that this host serves, whenever they change. */
  onServedCells: (cells: string[]) => void
}

export class CellSet {
  readonly #cells = new Map<string, Cell>()
  /** Holders for pools that were removed from the tables, kept until all their models are unloaded. */
  readonly #removedPoolHolders = new Map<string, CellHolder>()
  readonly #incarnations = new Map<string, { incarnation: string, innerUrl: string }>()
  #tables: Tables = { routes: [], pools: [] }
  readonly #hosts: CellHosts
  readonly #suspected = new Map<string, Set<string>>()
  #reportedCells = ''
  readonly #lastPeerLoadMs = new Map<string, number>()
  #leavingBackends: ReadonlySet<string> = new Set()

  private constructor (private readonly options: CellSetOptions) {
    this.#hosts = CellHosts.create(options.region)
  }

  static create (options: CellSetOptions): CellSet {
    return new CellSet(options)
  }

  get (pool: string): Cell | undefined {
    return this.#cells.get(pool)
  }

  get all (): Cell[] {
    return [...this.#cells.values()]
  }

  setTables (tables: Tables): void {
    this.#tables = tables
    this.#hosts.setTables(tables)
    this.#reconcile()
  }

  setMembership (view: MembershipView): void {
    const isChanged = this.#hosts.setView(view)
    if (isChanged) this.#reconcile()
    for (const cell of this.#cells.values()) this.#updateHolderHosts(cell, isChanged)
    this.#detectRestarts(view)
    this.refreshExclusions()
  }

  /** `names` are the names and URLs of the backend servers that the platform's host list marks as leaving. */
  setLeavingBackends (names: ReadonlySet<string>): void {
    this.#leavingBackends = names
    this.refreshExclusions()
  }

  onEngineReport ({ pool, runner }: PolledRunner, report: EngineReport, requestedMs: number): void {
    const cell = this.#cells.get(pool)
    const { running, queued, kvUsedMiB, ageMs } = report
    cell?.router.onReport(runner.name, { running, queued, kvUsedMiB, ageMs })
    cell?.holder?.post({ type: 'report', runner: runner.name, report, requestedMs })
  }

  /** Recomputes which runners get no new work, from drains, health and the host list, and passes changes on. */
  refreshExclusions (): void {
    for (const cell of this.#cells.values()) {
      const exclusions = this.#exclusionsOf(cell.pool)
      if (cell.setExclusions(exclusions)) this.#updateHolderRunners(cell, exclusions)
    }
  }

  /** Applies what peers reported: the load of runners that they polled, and their own requests in flight there. */
  applyPeerLoads (loadsOf: (runner: string) => RunnerLoadRecord[]): void {
    for (const { pool, router } of this.#cells.values()) {
      for (const { name } of pool.runners) {
        for (const load of loadsOf(name)) this.#applyPeerLoad(router, load)
      }
    }
  }

  /** Records the requests that this host's cells received since the last call. */
  sampleDemand (): void {
    this.options.demand.recordRequests(this.all.map(({ pool, router }) => ({ pool: pool.name, demand: router.takeDemand() })))
  }

  /** Hosts that share a cell with this one. */
  neighbors (): string[] {
    const hosts = this.all.flatMap(({ pool }) => this.hostsOf(pool))
    return [...new Set(hosts.filter(({ self }) => !self).map(({ host }) => host))]
  }

  /** Number of this host's requests in flight at a runner. */
  inFlightOf (runner: string): number {
    for (const cell of this.#cells.values()) {
      const load = cell.router.ownLoads(this.options.self.host).find((own) => own.runner === runner)
      if (load !== undefined) return load.inFlight
    }
    return 0
  }

  /** Releases all leases and stops giving orders; resolves once the log has recorded this, or after `timeoutMs`. */
  async retire (timeoutMs: number): Promise<void> {
    const holders = [...this.all.flatMap(({ holder }) => holder ?? []), ...this.#removedPoolHolders.values()]
    const retired = holders.map((holder) => new Promise<void>((resolve) => holder.post({ type: 'retire', onRetired: resolve })))
    const waited = new AbortController()
    await Promise.race([Promise.all(retired), this.options.clock.sleep(timeoutMs, waited.signal)])
    waited.abort()
  }

  stop (): void {
    for (const cell of this.#cells.values()) cell.stop()
    for (const holder of this.#removedPoolHolders.values()) holder.stop()
    this.#cells.clear()
    this.#removedPoolHolders.clear()
  }

  /** Hosts that may serve the pool's cell, in order of preference. */
  hostsOf (pool: Pool): HostView[] {
    return this.#hosts.hostsOf(pool)
  }

  #applyPeerLoad (router: CellRouter, load: RunnerLoadRecord): void {
    const { runner, from, receivedMs, inFlightFromSender, reportAgeMs, running, queued, kvUsedMib } = load
    const key = `${from}/${runner}`
    if (this.#lastPeerLoadMs.get(key) === receivedMs) return
    this.#lastPeerLoadMs.set(key, receivedMs)
    router.onPeerLoad({ host: from, runner, inFlight: inFlightFromSender, pendingTokens: 0 })
    if (reportAgeMs !== undefined) router.onReport(runner, { running, queued, kvUsedMiB: kvUsedMib, ageMs: reportAgeMs })
  }

  #reconcile (): void {
    const servedPools = this.#tables.pools.filter((pool) => pool.region === this.options.region && this.#servesHere(pool))
    const names = new Set(servedPools.map(({ name }) => name))
    for (const [name, cell] of this.#cells) if (!names.has(name)) this.#removeCell(name, cell)
    let changed = false
    for (const pool of servedPools) changed = this.#upsert(pool) || changed
    this.options.poller.setRunners(servedPools.flatMap((pool) => this.#toPolledRunners(pool)))
    this.#reportServedCells([...names])
    if (changed) this.refreshExclusions()
  }

  /** Reports only changes, since membership notifies its subscribers of each update, changed or not. */
  #reportServedCells (names: string[]): void {
    const joined = names.join('\n')
    if (joined === this.#reportedCells) return
    this.#reportedCells = joined
    this.options.onServedCells(names)
  }

  #servesHere (pool: Pool): boolean {
    return !this.#hosts.hasView || this.hostsOf(pool).some(({ self }) => self)
  }

  /** Adds or updates the pool's cell; returns true if the cell is new. */
  #upsert (pool: Pool): boolean {
    const routes = this.#tables.routes.filter((route) => route.pool === pool.name)
    const known = this.#cells.get(pool.name)
    if (known === undefined) this.#cells.set(pool.name, this.#createCell(pool))
    else if (known.pool !== pool || !sameRoutes(known, routes)) known.setTables(pool, routes)
    const cell = this.#cells.get(pool.name)
    cell?.holder?.post({ type: 'config', config: this.#configOf(pool.name) })
    if (known === undefined && cell !== undefined && this.#hosts.hasView) this.#updateHolderHosts(cell, true)
    return known === undefined
  }

  #createCell (pool: Pool): Cell {
    const { clock, random, availabilityZone, batchShare, isControlEnabled } = this.options
    const router = CellRouter.create({ clock, random, availabilityZone, batchShare })
    const routes = this.#tables.routes.filter((route) => route.pool === pool.name)
    const removedPoolHolder = this.#removedPoolHolders.get(pool.name)
    this.#removedPoolHolders.delete(pool.name)
    const holder = removedPoolHolder ?? (pool.models.length > 0 && isControlEnabled ? this.#createHolder(pool.name) : undefined)
    const cell = Cell.create({ pool, routes, router, holder })
    cell.updateRouter()
    if (removedPoolHolder === undefined) holder?.start()
    return cell
  }

  #createHolder (name: string): CellHolder {
    const { clock, ids, logger, log, engines, self, lease, planEveryMs, horizonMs, demand } = this.options
    const planner = CellPlanner.create({
      clock,
      planEveryMs,
      horizonMs,
      takeDemand: () => demand.takeSamples(name),
      tables: () => {
        const cell = this.#cells.get(name)
        return cell === undefined ? undefined : { pool: cell.pool, routes: cell.routes, config: this.#configOf(name) }
      }
    })
    return CellHolder.create({
      cell: name, self, log, engines, clock, ids, logger, planner, lease, onView: (view) => this.#onView(name, view)
    })
  }

  #configOf (pool: string) {
    return cellConfigOf(this.#tables, pool, this.options.limits, this.options.transitReserveMiB)
  }

  #toPolledRunners (pool: Pool): PolledRunner[] {
    const hosts = this.hostsOf(pool).map(({ host }) => host)
    return pool.runners.map((runner) => ({ pool: pool.name, runner, hosts, isService: pool.models.length === 0 }))
  }

  #exclusionsOf (pool: Pool): RunnerExclusions {
    const reasons = new Map<string, string>()
    for (const { name, url } of pool.runners) {
      const isLeaving = this.#leavingBackends.has(name) || this.#leavingBackends.has(url)
      const reason = isLeaving ? 'leaving' : this.options.poller.exclusionReason(name, this.options.membership())
      if (reason !== undefined) reasons.set(name, reason)
    }
    return reasons
  }

  #updateHolderRunners ({ holder, pool }: Cell, reasons: RunnerExclusions): void {
    if (holder === undefined) return
    for (const { name } of pool.runners) {
      const reason = reasons.get(name)
      const isDraining = reason === 'draining' || reason === 'leaving'
      holder.post({ type: 'draining', runner: name, draining: isDraining })
      holder.post({ type: 'health', runner: name, healthy: reason === undefined || isDraining })
    }
  }

  /** Passes the holder the hosts that may hold the lease, and which hosts are suspected of having failed. */
  #updateHolderHosts ({ holder, pool }: Cell, isChanged: boolean): void {
    if (holder === undefined) return
    const known = this.#suspected.get(pool.name)
    if (isChanged || known === undefined) holder.post({ type: 'hosts', hosts: this.hostsOf(pool).map(({ host }) => host) })
    const suspected = this.#hosts.suspectedHosts()
    for (const host of suspected) if (known?.has(host) !== true) holder.post({ type: 'suspect', host, suspected: true })
    for (const host of known ?? []) if (!suspected.has(host)) holder.post({ type: 'suspect', host, suspected: false })
    this.#suspected.set(pool.name, suspected)
  }

  /** Detects restarted hosts: a new process that listens on the same inner address proves that the earlier one has ended. */
  #detectRestarts (view: MembershipView): void {
    for (const { host, incarnation, innerUrl, self } of view.hosts) {
      if (self || incarnation === '') continue
      const known = this.#incarnations.get(host)
      this.#incarnations.set(host, { incarnation, innerUrl })
      if (known === undefined || known.incarnation === incarnation || known.innerUrl !== innerUrl) continue
      const sender = { host, incarnation: known.incarnation }
      for (const { holder } of this.#cells.values()) holder?.post({ type: 'sender-gone', sender, evidence: GoneEvidence.HostRestarted })
    }
  }

  #removeCell (name: string, cell: Cell): void {
    this.#cells.delete(name)
    this.#suspected.delete(name)
    const { holder } = cell
    cell.router.stop()
    if (holder === undefined) return
    if (this.#tables.pools.some((pool) => pool.name === name)) return retireHolder(holder)
    this.#removedPoolHolders.set(name, holder)
    holder.post({ type: 'config', config: this.#configOf(name) })
  }

  /** Handles a new view of a cell; retires the holder of a removed pool once all its models are unloaded. */
  #onView (name: string, view: CellView): void {
    this.#cells.get(name)?.setView(view)
    const removedPoolHolder = this.#removedPoolHolders.get(name)
    if (removedPoolHolder === undefined || view.runners.length > 0 || view.retiring.length > 0 || view.unsettled.length > 0) return
    this.#removedPoolHolders.delete(name)
    retireHolder(removedPoolHolder)
  }
}

/** Releases the lease, and stops the holder once the log has recorded the release. */
function retireHolder (holder: CellHolder): void {
  holder.post({ type: 'retire', onRetired: () => holder.stop() })
}

function sameRoutes (cell: Cell, routes: Tables['routes']): boolean {
  return cell.routes.length === routes.length && cell.routes.every((route, index) => route === routes[index])
}
