/** Plans a cell's placement from the demand that its hosts see. */
import { Planner, type CellConfig, type CellView } from '@figloom/control'
import { DemandForecast, planCell, type CopyChange, type DemandSample } from '@figloom/placement'
import type { Clock } from '@figloom/runtime'
import type { CellStep, ModelRoute, Pool, Route } from '@figloom/tables'

export type CellPlannerOptions = {
  clock: Clock
  planEveryMs: number
  horizonMs: number
  /** Demand of the cell since the last call. */
  takeDemand: () => DemandSample[]
  tables: () => { pool: Pool, routes: readonly Route[], config: CellConfig } | undefined
}

/** Changes older than this no longer weigh against new ones. */
const CHANGE_MEMORY_MS = 600_000
const MS_PER_S = 1000

export class CellPlanner extends Planner {
  readonly #forecast: DemandForecast
  #changes: CopyChange[] = []
  #plannedMs = -Infinity
  #notedOffset = 0

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
    const known = tables()
    if (known === undefined || nowMs - this.#plannedMs < planEveryMs) return []
    this.#plannedMs = nowMs
    this.#forecast.observe(takeDemand(), nowMs)
    this.#noteOrders(view, nowMs)
    return planCell({
      pool: known.pool,
      routes: known.routes.filter((route): route is ModelRoute => route.kind === 'model'),
      runners: view.runners,
      demand: this.#forecast.demand(),
      budgets: budgetsOf(known.config, view),
      recentChanges: this.#changes,
      nowMs
    }, { horizonS: horizonMs / MS_PER_S })
  }

  /** Remembers each order of the cell from when it was first seen. */
  #noteOrders ({ unsettled }: CellView, nowMs: number): void {
    this.#changes = this.#changes.filter(({ atMs }) => nowMs - atMs < CHANGE_MEMORY_MS)
    for (const { offset, order, standby } of unsettled) {
      if (standby || offset <= this.#notedOffset || (order.action !== 'load' && order.action !== 'unload')) continue
      const { model, version, runner } = order
      this.#changes.push({ model, version, runner, atMs: nowMs })
    }
    this.#notedOffset = Math.max(this.#notedOffset, ...unsettled.map(({ offset }) => offset))
  }
}

function budgetsOf ({ share }: CellConfig, { unsettled }: CellView) {
  const loading = unsettled.filter(({ order }) => order.action === 'load').length
  const adapters = unsettled.filter(({ order }) => order.action === 'load-adapter').length
  return { loads: Math.max(0, share.concurrentLoads - loading), adapterLoads: Math.max(0, share.concurrentAdapters - adapters) }
}
