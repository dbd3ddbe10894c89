/** Adds redundant copies, so that models survive the loss of a runner while nothing can be loaded, as in an outage of the log. */
import type { ModelDemand } from '../types.js'
import { keyOf, type Draft, type DraftRunner, type RoutedModel } from './draft.js'
import { compareText, Utilization } from './utilization.js'

const MS_PER_S = 1_000

/** Adds a copy, if memory is free, of each model whose remaining copies could not carry its work after the loss of one. */
export function coverRunnerLoss (draft: Draft): void {
  const work = usualWork(draft.input.demand)
  const exposed = draft.models.filter((model) => workAfterLoss(draft, model, work) > draft.options.maxWorkAfterLoss)
  if (exposed.length === 0) return
  exposed.sort((a, b) => workAfterLoss(draft, b, work) - workAfterLoss(draft, a, work) || compareText(a.key, b.key))
  const utilization = Utilization.create(draft, work)
  for (const model of exposed) {
    const runner = leastUtilized(draft, utilization, model)
    if (runner === undefined || !draft.load(runner, model, 'redundancy')) continue
    utilization.respread(model.key)
  }
}

/** Work of each model at its long-term mean rate, as a number of fully used runners. */
function usualWork (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), (row.usualPerS ?? 0) * row.runnerMsPerRequest / MS_PER_S]))
}

/** Work for each remaining copy when one is lost, as a number of fully used runners. */
function workAfterLoss (draft: Draft, model: RoutedModel, work: ReadonlyMap<string, number>): number {
  return (work.get(model.key) ?? 0) / Math.max(1, draft.copiesOf(model.key).length - 1)
}

function leastUtilized (draft: Draft, utilization: Utilization, model: RoutedModel): DraftRunner | undefined {
  const fitting = draft.runners.filter((runner) => draft.fits(runner, model))
  fitting.sort((a, b) => utilization.of(a) - utilization.of(b) || compareText(a.view.name, b.view.name))
  return fitting[0]
}
