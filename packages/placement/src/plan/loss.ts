/** Copies that let a model lose a runner while nothing can be loaded, such as in an outage of the log. */
import type { ModelDemand } from '../types.js'
import { keyOf, type Draft, type DraftRunner, type RoutedModel } from './draft.js'
import { compareText, Utilization } from './utilization.js'

const MS_PER_S = 1_000

/** Adds a copy, where memory is free, for models that the copies left by one loss could not carry. */
export function coverOneLoss (draft: Draft): void {
  const work = usualWork(draft.input.demand)
  const exposed = draft.models.filter((model) => workAfterLoss(draft, model, work) > draft.options.maxWorkAfterLoss)
  if (exposed.length === 0) return
  exposed.sort((a, b) => workAfterLoss(draft, b, work) - workAfterLoss(draft, a, work) || compareText(a.key, b.key))
  const utilization = Utilization.create(draft, work)
  for (const model of exposed) {
    const runner = coolest(draft, utilization, model)
    if (runner === undefined || !draft.load(runner, model, 'one loss')) continue
    utilization.respread(model.key)
  }
}

/** Work of each model at its usual rate, in runners. */
function usualWork (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), (row.usualPerS ?? 0) * row.runnerMsPerRequest / MS_PER_S]))
}

/** Work of each copy that is left when one is lost, in runners. */
function workAfterLoss (draft: Draft, model: RoutedModel, work: ReadonlyMap<string, number>): number {
  return (work.get(model.key) ?? 0) / Math.max(1, draft.copiesOf(model.key).length - 1)
}

function coolest (draft: Draft, utilization: Utilization, model: RoutedModel): DraftRunner | undefined {
  const open = draft.runners.filter((runner) => draft.fits(runner, model))
  open.sort((a, b) => utilization.of(a) - utilization.of(b) || compareText(a.view.name, b.view.name))
  return open[0]
}
