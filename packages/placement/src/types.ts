/** Input and options of placement planning. Times are monotonic milliseconds; memory is in MiB. */
import type { ModelKey, ModelRoute, Pool, RunnerView } from '@figloom/tables'

/** Demand for one model version, from its recent history. */
export type ModelDemand = ModelKey & {
  /** Current requests per second. */
  requestsPerS: number
  /** Expected requests per second at the time when a load that starts now is done. */
  forecastPerS: number
  /** Highest recent rate, decaying slowly; decides when a copy is no longer needed. */
  recentPeakPerS: number
  /** Mean rate over about ten minutes, which a model has to be able to serve after the loss of a runner. */
  usualPerS?: number
  /** Time that one request uses of a whole runner, in milliseconds. */
  runnerMsPerRequest: number
  /** Time that one request uses of a whole copy (all its slots), in milliseconds. */
  copyMsPerRequest?: number
}

/** Number of orders that may start now. */
export type PlanBudgets = { loads: number, adapterLoads: number }

/** The last load or unload of a model on a runner. */
export type CopyChange = ModelKey & { runner: string, atMs: number }

export type PlanInput = {
  pool: Pool
  /** The pool's routes to models. */
  routes: readonly ModelRoute[]
  runners: readonly RunnerView[]
  demand: readonly ModelDemand[]
  budgets: PlanBudgets
  /** Loads and unloads in the last minutes. */
  recentChanges: readonly CopyChange[]
  nowMs: number
}

/** Options of planning. */
export type PlanOptions = {
  /** Time within which the gain of a move has to exceed its cost, in seconds. */
  horizonS: number
  /** Additional cost of a move at the pool's `moveWeight` 1, in seconds of one runner's work. */
  moveCostS: number
  /** Cost of a move at the pool's `moveWeight` 0, in seconds of one runner's work. */
  minMoveCostS: number
  /** A copy is not unloaded for demand until this long after its last load. */
  minResidenceMs: number
  /** Whether copies are added for demand and for redundancy. */
  followDemand: boolean
  /** A model gets a redundant copy if the loss of one copy would leave more work than this for each remaining one, in runners. */
  maxWorkAfterLoss: number
  /** Maximum number of moves for demand in one plan. */
  maxDemandMoves: number
}

export const DEFAULT_PLAN_OPTIONS: PlanOptions = {
  horizonS: 120,
  moveCostS: 30,
  minMoveCostS: 1,
  minResidenceMs: 60_000,
  followDemand: true,
  maxWorkAfterLoss: 0.6,
  maxDemandMoves: 4
}
