/** Plans a cell's placement from the request rates that its hosts report. */
import { Planner, type CellConfig, type CellView } from '@figloom/control'
import { DemandForecast, planCell, type CopyChange, type DemandSample } from '@figloom/placement'
import type { Clock } from '@figloom/runtime'
import type { CellStep, ModelRoute, Pool, Route } from '@figloom/tables'

export type CellPlannerOptions = {
  clock: Clock
  planEveryMs: number
  horizonMs: number
  /** Demand for the cell's models since the last call. */
  takeDemand: () => DemandSample[]
  tables: () => { pool: Pool, routes: readonly Route[], config: CellConfig } | undefined
}

/** Age at which a placement change stops counting as recent for the planner. */
const CHANGE_RETENTION_MS = 600_000
const MS_PER_S = 1000

export class CellPlanner extends Planner {
  readonly #forecast: DemandForecast
  #changes: CopyChange[] = []
  #plannedMs = -Infinity
  #recordedOffset = 0

  private constructor (private readonly options: CellPlannerOptions) {
    super()
    this.#forecast = DemandForecast.create(options.clock.monotonicMs())
  }

  static create (options: CellPlannerOptions): CellPlanner {
    return new CellPlanner(options)
  }

  override plan (view: CellView): CellStep[] {
    const { clock, planEveryMs, horizonMs, tables, takeDemand } = this.options
    const nowMs = clock.monotonicMs()
    const current = tables()
    if (current === undefined || nowMs - this.#plannedMs < planEveryMs) return []
    this.#plannedMs = nowMs
    this.#forecast.observe(takeDemand(), nowMs)
    this.#recordOrders(view, nowMs)
    return planCell({
      pool: current.pool,
      routes: current.routes.filter((route): route is ModelRoute => route.kind === 'model'),
      runners: view.runners,
      demand: this.#forecast.demand(),
      budgets: budgetsOf(current.config, view),
      recentChanges: this.#changes,
      nowMs
    }, { horizonS: horizonMs / MS_PER_S })
  }

  /** Records each load and unload order of the cell as a change, at the time when it is first seen. */
  #recordOrders ({ unsettled }: CellView, nowMs: number): void {
    this.#changes = this.#changes.filter(({ atMs }) => nowMs - atMs < CHANGE_RETENTION_MS)
    for (const { offset, order, standby } of unsettled) {
      if (standby || offset <= this.#recordedOffset || (order.action !== 'load' && order.action !== 'unload')) continue
      const { model, version, runner } = order
      this.#changes.push({ model, version, runner, atMs: nowMs })
    }
    this.#recordedOffset = Math.max(this.#recordedOffset, ...unsettled.map(({ offset }) => offset))
  }
}

function budgetsOf ({ share }: CellConfig, { unsettled }: CellView) {
  const loading = unsettled.filter(({ order }) => order.action === 'load').length
  const adapters = unsettled.filter(({ order }) => order.action === 'load-adapter').length
  return { loads: Math.max(0, share.concurrentLoads - loading), adapterLoads: Math.max(0, share.concurrentAdapters - adapters) }
}
