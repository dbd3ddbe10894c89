import { err, ok, type Result } from 'neverthrow'
import { lookupHosts, type MembershipView } from '@figloom/control'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { ModelRoute, Pool, Route, ServiceRoute, Tables } from '@figloom/tables'
import { zonesOfRegion } from '../cells/cell-hosts.js'
import type { CellSet } from '../cells/cell-set.js'
import type { CellRouter } from '../cells/cell-router.js'
import { LookupService, type LookupAnswer, type LookupRequest } from '../callers/lookup.js'
import { Directory, type CellPeer } from '../requests/directory.js'
import { toTarget } from '../requests/generation.js'

export type HostDirectoryOptions = {
  cells: CellSet
  membership: () => MembershipView
  lookupTtlMs: number
}

/** Directory over the tables in force. */
export class HostDirectory extends Directory {
  #tables: Tables = { routes: [], pools: [] }
  #version = 0
  #models = new Map<string, ModelRoute>()
  /** Routes that a change of their target replaced, kept until a runner serves the new target; the latest first. */
  readonly #previousRoutes = new Map<string, ModelRoute[]>()
  #services = new Map<string, ServiceRoute>()

  private constructor (private readonly options: HostDirectoryOptions) {
    super()
  }

  static create (options: HostDirectoryOptions): HostDirectory {
    return new HostDirectory(options)
  }

  setTables (tables: Tables, version: number): void {
    const previousModels = this.#models
    this.#tables = tables
    this.#version = version
    this.#models = new Map(tables.routes.flatMap((route) => route.kind === 'model' ? [[route.name, route]] : []))
    this.#services = new Map(tables.routes.flatMap((route) => route.kind === 'service' ? [[route.name, route]] : []))
    this.#keepPreviousRoutes(previousModels)
  }

  override get configVersion (): number {
    return this.#version
  }

  override servingModel (name: string): ModelRoute | undefined {
    const route = this.#models.get(name)
    const previous = this.#previousRoutes.get(name)
    if (route === undefined || previous === undefined) return route
    if (!this.#serves(route)) return previous.find((row) => this.#serves(row)) ?? route
    this.#previousRoutes.delete(name)
    return route
  }

  /** Keeps routes whose target was changed, until a runner serves the new target. */
  #keepPreviousRoutes (before: ReadonlyMap<string, ModelRoute>): void {
    for (const [name, row] of before) {
      const route = this.#models.get(name)
      if (route === undefined) this.#previousRoutes.delete(name)
      else if (!sameTarget(route, row)) this.#previousRoutes.set(name, [row, ...this.#previousRoutes.get(name) ?? []].slice(0, MAX_PREVIOUS_ROUTES))
    }
  }

  #serves (route: ModelRoute): boolean {
    return this.routerOf(route.pool)?.serves(toTarget(route)) ?? false
  }

  override get routes (): readonly Route[] {
    return this.#tables.routes
  }

  override findModel (name: string): ModelRoute | undefined {
    return this.#models.get(name)
  }

  override findService (name: string): ServiceRoute | undefined {
    return this.#services.get(name)
  }

  override routerOf (pool: string): CellRouter | undefined {
    const cell = this.options.cells.get(pool)
    return cell?.hasRunnerState === true ? cell.router : undefined
  }

  override peersOf (pool: string): CellPeer[] {
    const row = this.poolOf(pool)
    if (row === undefined) return []
    return this.options.cells.hostsOf(row).filter(({ self }) => !self)
  }

  /** Availability zones in which the region has runners. */
  zonesOf (region: string): Set<string> {
    return zonesOfRegion(this.#tables, region)
  }

  poolOf (pool: string): Pool | undefined {
    return this.#tables.pools.find(({ name }) => name === pool)
  }

  hasRunner (runner: string): boolean {
    return this.#tables.pools.some(({ runners }) => runners.some(({ name }) => name === runner))
  }
}

/** Answers lookups from the directory and this host's view of its peers. */
export class HostLookup extends LookupService {
  private constructor (private readonly directory: HostDirectory, private readonly options: Omit<HostDirectoryOptions, 'cells'>) {
    super()
  }

  static create (directory: HostDirectory, options: Omit<HostDirectoryOptions, 'cells'>): HostLookup {
    return new HostLookup(directory, options)
  }

  override lookup (request: LookupRequest): Result<LookupAnswer, Failure> {
    const { directory } = this
    if (directory.configVersion === 0) return err(createFailure(ResultCode.NotReady, 'no configuration is in force on this host', { retryAfterMs: NOT_READY_RETRY_MS }))
    const route = this.#routeOf(request)
    const isNamed = request.model !== undefined || request.service !== undefined
    if (isNamed && route === undefined) return err(createFailure(ResultCode.NoSuchRoute, 'no route has this name'))
    const pool = route === undefined ? undefined : directory.poolOf(route.pool)
    const caller = {
      ...(request.availabilityZone === undefined ? {} : { callerAvailabilityZone: request.availabilityZone }),
      ...(request.callerKey === undefined ? {} : { callerKey: request.callerKey })
    }
    const view = this.options.membership()
    const cellHosts = pool === undefined ? [] : lookupHosts(view, { ...caller, cell: pool.name, availabilityZones: directory.zonesOf(pool.region) })
    // If no host of the pool's region is available, any other host can forward the request.
    const hosts = cellHosts.length > 0 ? cellHosts : lookupHosts(view, caller)
    const entries = hosts.map(({ host, availabilityZone, url }) => ({ host, availabilityZone, url }))
    return ok({ hosts: entries, ttlMs: this.options.lookupTtlMs, configVersion: directory.configVersion })
  }

  #routeOf ({ model, service }: LookupRequest): Route | undefined {
    if (model !== undefined) return this.directory.findModel(model)
    return service === undefined ? undefined : this.directory.findService(service)
  }
}

const NOT_READY_RETRY_MS = 1000

/** Previous versions kept of a route whose target changes more often than it can be loaded. */
const MAX_PREVIOUS_ROUTES = 4

function sameTarget (a: ModelRoute, b: ModelRoute): boolean {
  return a.model === b.model && a.version === b.version && a.adapter === b.adapter && a.pool === b.pool
}
