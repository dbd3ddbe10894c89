/** Orders that only raise an engine's fence, so that the engine rejects earlier orders that are still in flight. */
import { OrderAction } from '@figloom/tables'
import type { OrderableRunner } from './admission.js'
import { isOpenIn } from './ledger.js'
import type { CellOrder } from './records.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'

/** Returns the highest fence that an engine's process confirmed, or undefined. */
export type FenceLookup = (runner: string, instance: string) => number | undefined

/** Returns one order for each engine that checks fences and may still receive an order whose outcome is unknown. */
export function fencesToRaise (state: CellState, runners: Iterable<OrderableRunner>, fenceOf: FenceLookup): CellOrder[] {
  const claimOffset = state.claim?.offset
  if (claimOffset === undefined) return []
  return [...runners].flatMap((runner) => {
    const report = runner.timedReport?.report
    if (report === undefined || !runner.healthy || !runner.spec.checksFencing) return []
    const intents = state.intents.filter(({ order }) => order.runner === runner.spec.name)
    const isActive = (intent: Intent) => intent.claim === claimOffset && endOffsetOf(intent) === undefined
    const uncertain = intents.filter((intent) => isOpenIn(intent, report.instance) && !isActive(intent))
    const highest = Math.max(0, ...uncertain.map(({ offset }) => offset))
    const hasHigherOrder = intents.some((intent) => isActive(intent) && !intent.standby && intent.offset > highest)
    const isFenced = highest < (fenceOf(runner.spec.name, report.instance) ?? 0)
    return uncertain.length === 0 || hasHigherOrder || isFenced ? [] : [toFenceOrder(runner.spec.name, report.role)]
  })
}

/** Sets the role that the engine already has, so that only the fence changes. */
function toFenceOrder (runner: string, role: string): CellOrder {
  return { runner, action: OrderAction.SetRole, model: '', version: '', role, weightsMiB: 0, kvReserveMiB: 0, sizeMiB: 0 }
}
