/** One cell on this host: its router, its part in controlling the cell, and the state of the runners that both use. */
import type { CellHolder, CellView } from '@figloom/control'
import { CopyState, type Pool, type Route, type Runner } from '@figloom/tables'
import type { RoutableCopy, RunnerInfo } from '@figloom/routing'
import { SERVICE_VERSION } from '../requests/service-call.js'
import type { CellRouter } from './cell-router.js'

/** Reasons why runners get no new work, by runner name; runners that may get new work have no entry. */
export type RunnerExclusions = ReadonlyMap<string, string>

export type CellOptions = {
  pool: Pool
  routes: readonly Route[]
  router: CellRouter
  /** Absent for a pool of plain services, and if control is disabled on this host. */
  holder: CellHolder | undefined
}

/** The cell of one pool, which this host serves. */
export class Cell {
  #view: CellView | undefined
  #exclusions: RunnerExclusions = new Map()

  private constructor (
    readonly router: CellRouter,
    readonly holder: CellHolder | undefined,
    private tables: { pool: Pool, routes: readonly Route[] }
  ) {}

  static create ({ pool, routes, router, holder }: CellOptions): Cell {
    return new Cell(router, holder, { pool, routes })
  }

  get pool (): Pool {
    return this.tables.pool
  }

  get routes (): readonly Route[] {
    return this.tables.routes
  }

  get view (): CellView | undefined {
    return this.#view
  }

  /** Whether this host knows which models are resident on the runners; until then it forwards requests to its peers. */
  get hasRunnerState (): boolean {
    return this.holder === undefined || this.#view !== undefined
  }

  setTables (pool: Pool, routes: readonly Route[]): void {
    this.tables = { pool, routes }
    this.updateRouter()
  }

  setView (view: CellView): void {
    this.#view = view
    this.updateRouter()
  }

  /** Returns true if the exclusions changed. */
  setExclusions (exclusions: RunnerExclusions): boolean {
    if (sameExclusions(this.#exclusions, exclusions)) return false
    this.#exclusions = exclusions
    this.updateRouter()
    return true
  }

  /** Passes the runners, with their resident models and exclusions, to the router. */
  updateRouter (): void {
    const infos = this.pool.runners.map((runner) => this.#toRunnerInfo(runner))
    this.router.setRunners(infos, new Map(this.pool.runners.map(({ name, url }) => [name, url])))
  }

  /** State of the route's target on each runner, for operators. */
  describeRunners (route: Route) {
    return this.pool.runners.map(({ name, availabilityZone }) => ({
      runner: name,
      availabilityZone,
      barred: this.#exclusions.get(name),
      copy: route.kind === 'model' ? this.#copyState(name, route.model, route.version) : 'plain service'
    }))
  }

  stop (): void {
    this.router.stop()
    this.holder?.stop()
  }

  #toRunnerInfo (runner: Runner): RunnerInfo {
    return {
      name: runner.name,
      availabilityZone: runner.availabilityZone,
      draining: this.#exclusions.has(runner.name),
      copies: [...this.#modelCopies(runner.name), ...this.#serviceCopies()]
    }
  }

  #modelCopies (runner: string): RoutableCopy[] {
    const known = this.#view?.runners.find(({ name }) => name === runner)
    return (known?.copies ?? [])
      .filter(({ state }) => state === CopyState.Resident)
      .map(({ model, version, adapters }) => ({
        model, version, adapters: adapters.filter(({ state }) => state === CopyState.Resident).map(({ name }) => name)
      }))
  }

  #copyState (runner: string, model: string, version: string): string {
    const copies = this.#view?.runners.find(({ name }) => name === runner)?.copies ?? []
    return copies.find((copy) => copy.model === model && copy.version === version)?.state ?? 'none'
  }

  /** Every runner of a pool runs the plain services that routes send there. */
  #serviceCopies (): RoutableCopy[] {
    const services = new Set(this.routes.flatMap((route) => route.kind === 'service' ? [route.service] : []))
    return [...services].map((service) => ({ model: service, version: SERVICE_VERSION, adapters: [] }))
  }
}

function sameExclusions (a: RunnerExclusions, b: RunnerExclusions): boolean {
  return a.size === b.size && [...a].every(([runner, reason]) => b.get(runner) === reason)
}
