/** The cells of this host: started and stopped as tables and hosts change. */
import {
  cellConfigOf, CellHolder, GoneEvidence,
  type CellView, type HostView, type LeaseSettings, type MembershipState, type MembershipView, type RunnerLoadRecord, type Sender, type StoreLimits
} from '@figloom/control'
import type { EngineClient, EngineReport, LogClient } from '@figloom/clients'
import type { Clock, IdSource, Logger } from '@figloom/runtime'
import type { RandomSource } from '@figloom/routing'
import type { Pool, Tables } from '@figloom/tables'
import { Cell, type RunnerBars } from './cell.js'
import { CellHosts } from './cell-hosts.js'
import { CellPlanner } from './cell-planner.js'
import { CellRouter } from './cell-router.js'
import type { DemandMeter } from './demand-meter.js'
import type { RunnerWatch, WatchedRunner } from './runner-watch.js'

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
  /** Part of a runner's limit that batch requests may use. */
  batchShare: number
  lease: LeaseSettings
  limits: StoreLimits
  transitReserveMiB: number
  planEveryMs: number
  horizonMs: number
  /** Whether this host takes part in control. */
  isControlEnabled: boolean
  watch: RunnerWatch
  demand: DemandMeter
  /** State of membership, for drains. */
  membership: () => Readonly<MembershipState>
  /** Called with the names of the cells that this host serves. */
  onCells: (cells: string[]) => void
}

/** Owns this host's cells. */
export class CellSet {
  readonly #cells = new Map<string, Cell>()
  /** Holders of pools that left the tables, until their memory is free. */
  readonly #emptying = new Map<string, CellHolder>()
  readonly #incarnations = new Map<string, { incarnation: string, innerUrl: string }>()
  #tables: Tables = { routes: [], pools: [] }
  readonly #hosts: CellHosts
  readonly #suspected = new Map<string, Set<string>>()
  #toldCells = ''
  readonly #loadsHeard = new Map<string, number>()
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
    for (const cell of this.#cells.values()) this.#tellHosts(cell, isChanged)
    this.#noteRestarts(view)
    this.refreshBars()
  }

  /** Names and URLs of backend servers that the platform's host list calls leaving. */
  setLeavingBackends (names: ReadonlySet<string>): void {
    this.#leavingBackends = names
    this.refreshBars()
  }

  takeReport ({ pool, runner }: WatchedRunner, report: EngineReport, askedMs: number): void {
    const cell = this.#cells.get(pool)
    const { running, queued, kvUsedMiB, ageMs } = report
    cell?.router.onReport(runner.name, { running, queued, kvUsedMiB, ageMs })
    cell?.holder?.post({ type: 'report', runner: runner.name, report, askedMs })
  }

  /** Applies drains and health to every cell's runners. */
  refreshBars (): void {
    for (const cell of this.#cells.values()) {
      const bars = this.#barsOf(cell.pool)
      if (cell.setBars(bars)) this.#tellHolder(cell, bars)
    }
  }

  /** Takes in what peers told of the runners that they read and of what they have in flight there. */
  takePeerLoads (loadsOf: (runner: string) => RunnerLoadRecord[]): void {
    for (const { pool, router } of this.#cells.values()) {
      for (const { name } of pool.runners) {
        for (const load of loadsOf(name)) this.#takePeerLoad(router, load)
      }
    }
  }

  /** Reads this host's own demand. */
  readDemand (): void {
    this.options.demand.read(this.all.map(({ pool, router }) => ({ pool: pool.name, demand: router.takeDemand() })))
  }

  /** Hosts that share a cell with this one. */
  neighbors (): string[] {
    const hosts = this.all.flatMap(({ pool }) => this.hostsOf(pool))
    return [...new Set(hosts.filter(({ self }) => !self).map(({ host }) => host))]
  }

  /** Requests of this host in flight at a runner. */
  inFlightOf (runner: string): number {
    for (const cell of this.#cells.values()) {
      const load = cell.router.ownLoads(this.options.self.host).find((own) => own.runner === runner)
      if (load !== undefined) return load.inFlight
    }
    return 0
  }

  /** Gives up all leases; resolves when the log has this host's word, or after `timeoutMs`. */
  async retire (timeoutMs: number): Promise<void> {
    const holders = [...this.all.flatMap(({ holder }) => holder ?? []), ...this.#emptying.values()]
    const retired = holders.map((holder) => new Promise<void>((resolve) => holder.post({ type: 'retire', onRetired: resolve })))
    const waited = new AbortController()
    await Promise.race([Promise.all(retired), this.options.clock.sleep(timeoutMs, waited.signal)])
    waited.abort()
  }

  stop (): void {
    for (const cell of this.#cells.values()) cell.stop()
    for (const holder of this.#emptying.values()) holder.stop()
    this.#cells.clear()
    this.#emptying.clear()
  }

  /** Hosts of the pool's cell that may serve it, the best first. */
  hostsOf (pool: Pool): HostView[] {
    return this.#hosts.of(pool)
  }

  #takePeerLoad (router: CellRouter, load: RunnerLoadRecord): void {
    const { runner, from, heardMs, inFlightFromSender, reportAgeMs, running, queued, kvUsedMib } = load
    const key = `${from}/${runner}`
    if (this.#loadsHeard.get(key) === heardMs) return
    this.#loadsHeard.set(key, heardMs)
    router.onNeighbour({ host: from, runner, inFlight: inFlightFromSender, pendingTokens: 0 })
    if (reportAgeMs !== undefined) router.onReport(runner, { running, queued, kvUsedMiB: kvUsedMib, ageMs: reportAgeMs })
  }

  #reconcile (): void {
    const wanted = this.#tables.pools.filter((pool) => pool.region === this.options.region && this.#servesHere(pool))
    const names = new Set(wanted.map(({ name }) => name))
    for (const [name, cell] of this.#cells) if (!names.has(name)) this.#drop(name, cell)
    let changed = false
    for (const pool of wanted) changed = this.#upsert(pool) || changed
    this.options.watch.setRunners(wanted.flatMap((pool) => this.#watched(pool)))
    this.#tellCells([...names])
    if (changed) this.refreshBars()
  }

  /** Only on a change: membership tells its listeners of every update. */
  #tellCells (names: string[]): void {
    const joined = names.join('\n')
    if (joined === this.#toldCells) return
    this.#toldCells = joined
    this.options.onCells(names)
  }

  #servesHere (pool: Pool): boolean {
    return !this.#hosts.isKnown || this.hostsOf(pool).some(({ self }) => self)
  }

  /** True if the cell is new. */
  #upsert (pool: Pool): boolean {
    const routes = this.#tables.routes.filter((route) => route.pool === pool.name)
    const known = this.#cells.get(pool.name)
    if (known === undefined) this.#cells.set(pool.name, this.#createCell(pool))
    else if (known.pool !== pool || !sameRoutes(known, routes)) known.setTables(pool, routes)
    const cell = this.#cells.get(pool.name)
    cell?.holder?.post({ type: 'config', config: this.#configOf(pool.name) })
    if (known === undefined && cell !== undefined && this.#hosts.isKnown) this.#tellHosts(cell, true)
    return known === undefined
  }

  #createCell (pool: Pool): Cell {
    const { clock, random, availabilityZone, batchShare, isControlEnabled } = this.options
    const router = CellRouter.create({ clock, random, availabilityZone, batchShare })
    const routes = this.#tables.routes.filter((route) => route.pool === pool.name)
    const emptying = this.#emptying.get(pool.name)
    this.#emptying.delete(pool.name)
    const holder = emptying ?? (pool.models.length > 0 && isControlEnabled ? this.#createHolder(pool.name) : undefined)
    const cell = Cell.create({ pool, routes, router, holder })
    cell.refresh()
    if (emptying === undefined) holder?.start()
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

  #watched (pool: Pool): WatchedRunner[] {
    const hosts = this.hostsOf(pool).map(({ host }) => host)
    return pool.runners.map((runner) => ({ pool: pool.name, runner, hosts, isService: pool.models.length === 0 }))
  }

  #barsOf (pool: Pool): RunnerBars {
    const bars = new Map<string, string>()
    for (const { name, url } of pool.runners) {
      const isLeaving = this.#leavingBackends.has(name) || this.#leavingBackends.has(url)
      const bar = isLeaving ? 'leaving' : this.options.watch.barOf(name, this.options.membership())
      if (bar !== undefined) bars.set(name, bar)
    }
    return bars
  }

  #tellHolder ({ holder, pool }: Cell, bars: RunnerBars): void {
    if (holder === undefined) return
    for (const { name } of pool.runners) {
      const bar = bars.get(name)
      const isDraining = bar === 'draining' || bar === 'leaving'
      holder.post({ type: 'draining', runner: name, draining: isDraining })
      holder.post({ type: 'health', runner: name, healthy: bar === undefined || isDraining })
    }
  }

  /** Tells the holder which hosts may hold the lease, and which of them are silent. */
  #tellHosts ({ holder, pool }: Cell, isChanged: boolean): void {
    if (holder === undefined) return
    const known = this.#suspected.get(pool.name)
    if (isChanged || known === undefined) holder.post({ type: 'hosts', hosts: this.hostsOf(pool).map(({ host }) => host) })
    const suspected = this.#hosts.suspected()
    for (const host of suspected) if (known?.has(host) !== true) holder.post({ type: 'suspect', host, suspected: true })
    for (const host of known ?? []) if (!suspected.has(host)) holder.post({ type: 'suspect', host, suspected: false })
    this.#suspected.set(pool.name, suspected)
  }

  /** A later process that bound the same inner address proves that the earlier one has ended. */
  #noteRestarts (view: MembershipView): void {
    for (const { host, incarnation, innerUrl, self } of view.hosts) {
      if (self || incarnation === '') continue
      const known = this.#incarnations.get(host)
      this.#incarnations.set(host, { incarnation, innerUrl })
      if (known === undefined || known.incarnation === incarnation || known.innerUrl !== innerUrl) continue
      const sender = { host, incarnation: known.incarnation }
      for (const { holder } of this.#cells.values()) holder?.post({ type: 'sender-gone', sender, evidence: GoneEvidence.HostRestarted })
    }
  }

  #drop (name: string, cell: Cell): void {
    this.#cells.delete(name)
    this.#suspected.delete(name)
    const { holder } = cell
    cell.router.stop()
    if (holder === undefined) return
    if (this.#tables.pools.some((pool) => pool.name === name)) return retireHolder(holder)
    this.#emptying.set(name, holder)
    holder.post({ type: 'config', config: this.#configOf(name) })
  }

  /** A pool that left the tables is controlled until its memory is confirmed free. */
  #onView (name: string, view: CellView): void {
    this.#cells.get(name)?.setView(view)
    const emptying = this.#emptying.get(name)
    if (emptying === undefined || view.runners.length > 0 || view.retiring.length > 0 || view.unsettled.length > 0) return
    this.#emptying.delete(name)
    retireHolder(emptying)
  }
}

/** Gives up the lease, then stops once the log has this host's word. */
function retireHolder (holder: CellHolder): void {
  holder.post({ type: 'retire', onRetired: () => holder.stop() })
}

function sameRoutes (cell: Cell, routes: Tables['routes']): boolean {
  return cell.routes.length === routes.length && cell.routes.every((route, index) => route === routes[index])
}
