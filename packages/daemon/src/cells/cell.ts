/** One cell on this host: its router, its part in control, and what both know of the runners. */
import type { CellHolder, CellView } from '@figloom/control'
import { CopyState, type Pool, type Route, type Runner } from '@figloom/tables'
import type { RoutableCopy, RunnerInfo } from '@figloom/routing'
import { SERVICE_VERSION } from '../requests/service-call.js'
import type { CellRouter } from './cell-router.js'

/** What bars a runner from new work, by name; absent for runners that may get it. */
export type RunnerBars = ReadonlyMap<string, string>

export type CellOptions = {
  pool: Pool
  routes: readonly Route[]
  router: CellRouter
  /** Absent for a pool of plain services, and where control is off. */
  holder: CellHolder | undefined
}

/** A pool's cell that this host serves. */
export class Cell {
  #view: CellView | undefined
  #bars: RunnerBars = new Map()

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

  /** Whether this host knows what the runners hold; until then it hands requests to its peers. */
  get isKnown (): boolean {
    return this.holder === undefined || this.#view !== undefined
  }

  setTables (pool: Pool, routes: readonly Route[]): void {
    this.tables = { pool, routes }
    this.refresh()
  }

  setView (view: CellView): void {
    this.#view = view
    this.refresh()
  }

  /** True if the bars changed. */
  setBars (bars: RunnerBars): boolean {
    if (sameBars(this.#bars, bars)) return false
    this.#bars = bars
    this.refresh()
    return true
  }

  /** Hands what is known of the runners to the router. */
  refresh (): void {
    const infos = this.pool.runners.map((runner) => this.#infoOf(runner))
    this.router.setRunners(infos, new Map(this.pool.runners.map(({ name, url }) => [name, url])))
  }

  /** What each runner has of a route's target, for operators. */
  describeRunners (route: Route) {
    return this.pool.runners.map(({ name, availabilityZone }) => ({
      runner: name,
      availabilityZone,
      barred: this.#bars.get(name),
      copy: route.kind === 'model' ? this.#copyState(name, route.model, route.version) : 'plain service'
    }))
  }

  stop (): void {
    this.router.stop()
    this.holder?.stop()
  }

  #infoOf (runner: Runner): RunnerInfo {
    return {
      name: runner.name,
      availabilityZone: runner.availabilityZone,
      draining: this.#bars.has(runner.name),
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

function sameBars (a: RunnerBars, b: RunnerBars): boolean {
  return a.size === b.size && [...a].every(([runner, bar]) => b.get(runner) === bar)
}
