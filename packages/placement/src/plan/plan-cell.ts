/** Plan of a cell: the steps from what is resident to what should be. Pure and incremental. */
import type { CellStep } from '@figloom/tables'
import { DEFAULT_PLAN_OPTIONS, type PlanInput, type PlanOptions } from '../types.js'
import { planAdapters, repairRoles } from './adapters.js'
import { coverEveryModel, coverTwoZones, retireUnrouted } from './coverage.js'
import { followDemand, workByModel } from './demand.js'
import { coverOneLoss } from './loss.js'
import { Draft } from './draft.js'

/**
 * Returns the steps that may start now, most urgent first. Loads never exceed a runner's free memory nor the
 * budgets; a copy is unloaded only while another one serves. Memory of an unload is used by a later plan,
 * once the runner's view shows it free.
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
    coverOneLoss(draft)
  }
  return draft.steps
}

/** Demand is followed only when every model has a copy, so that its moves never take the room of a missing one. */
function isCovered (draft: Draft): boolean {
  return draft.models.every(({ key }) => draft.copiesOf(key).length > 0)
}
