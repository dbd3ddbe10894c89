/** Plans the steps from what is loaded in a cell to what should be. Does no I/O; each call plans only the next steps. */
import type { CellStep } from '@figloom/tables'
import { DEFAULT_PLAN_OPTIONS, type PlanInput, type PlanOptions } from '../types.js'
import { planAdapters, repairRoles } from './adapters.js'
import { coverEveryModel, coverTwoZones, retireUnrouted } from './coverage.js'
import { followDemand, workByModel } from './demand.js'
import { coverRunnerLoss } from './loss.js'
import { Draft } from './draft.js'

/**
 * Returns the steps that may start now, most urgent first. Loads never exceed a runner's free memory or the
 * budgets; a routed copy is unloaded only while another one serves. Memory that an unload frees is used by a later
 * plan, once the runner reports it as free.
 */
export function planCell (input: PlanInput, options: Partial<PlanOptions> = {}): CellStep[] {
  const draft = Draft.create(input, { ...DEFAULT_PLAN_OPTIONS, ...options })
  const work = workByModel(input.demand)
  repairRoles(draft)
  planAdapters(draft)
  coverEveryModel(draft, work)
  retireUnrouted(draft)
  coverTwoZones(draft, work)
  if (draft.options.followDemand && isCovered(draft)) {
    followDemand(draft, work)
    coverRunnerLoss(draft)
  }
  return draft.steps
}

/** Copies are added for demand only if every model has a copy, so that they never take the memory that a missing model needs. */
function isCovered (draft: Draft): boolean {
  return draft.models.every(({ key }) => draft.copiesOf(key).length > 0)
}
