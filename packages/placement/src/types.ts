/** Input of planning. Times are monotonic milliseconds; memory is in MiB. */
import type { ModelKey, ModelRoute, Pool, RunnerView } from '@figloom/tables'

/** Demand for one model version, from short history. */
export type ModelDemand = ModelKey & {
  /** Requests a second now. */
  requestsPerS: number
  /** Requests a second that are expected when a load that starts now is done. */
  forecastPerS: number
  /** Highest rate of late, decaying slowly; decides when a copy is no longer needed. */
  recentPeakPerS: number
  /** Mean rate over some ten minutes: what a model has to carry whatever fails. */
  usualPerS?: number
  /** Share of one runner that one request takes, in milliseconds of the whole runner. */
  runnerMsPerRequest: number
  /** Share of one copy's places that one request takes, in milliseconds of the whole copy. */
  copyMsPerRequest?: number
}

/** Orders that may start now. */
export type PlanBudgets = { loads: number, adapterLoads: number }

/** Last load or unload of a copy. */
export type CopyChange = ModelKey & { runner: string, atMs: number }

export type PlanInput = {
  pool: Pool
  /** Routes of the pool that name models. */
  routes: readonly ModelRoute[]
  runners: readonly RunnerView[]
  demand: readonly ModelDemand[]
  budgets: PlanBudgets
  /** Changes of the last minutes. */
  recentChanges: readonly CopyChange[]
  nowMs: number
}

/** Settings of planning. */
export type PlanOptions = {
  /** Time over which a move has to win back its cost, in seconds. */
  horizonS: number
  /** Cost of a move at weight 1, in seconds of one runner's work. */
  moveCostS: number
  /** Cost of a move at weight 0, in seconds of one runner's work. */
  minMoveCostS: number
  /** A copy that was loaded for demand stays at least this long. */
  minResidenceMs: number
  /** Whether copies follow demand at all. */
  followDemand: boolean
  /** Work of a copy after the loss of another, in runners, from which free memory takes one more copy. */
  maxWorkAfterLoss: number
  /** Moves for demand in one plan. */
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
