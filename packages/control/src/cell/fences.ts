/** Orders that only raise an engine's fence, so that earlier copies of orders on their way are shut out. */
import { OrderAction } from '@figloom/tables'
import type { OrderableRunner } from './admission.js'
import { isOpenIn } from './ledger.js'
import type { CellOrder } from './records.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'

/** Fence that an engine's process confirmed, or undefined. */
export type FenceLookup = (runner: string, instance: string) => number | undefined

/** One order for each engine that checks fences and may still receive an order whose fate is unknown. */
export function fencesToRaise (state: CellState, runners: Iterable<OrderableRunner>, fenceOf: FenceLookup): CellOrder[] {
  const claimOffset = state.claim?.offset
  if (claimOffset === undefined) return []
  return [...runners].flatMap((runner) => {
    const report = runner.taken?.report
    if (report === undefined || !runner.healthy || !runner.spec.checksFencing) return []
    const intents = state.intents.filter(({ order }) => order.runner === runner.spec.name)
    const isActive = (intent: Intent) => intent.claim === claimOffset && endOffsetOf(intent) === undefined
    const uncertain = intents.filter((intent) => isOpenIn(intent, report.instance) && !isActive(intent))
    const highest = Math.max(0, ...uncertain.map(({ offset }) => offset))
    const raises = intents.some((intent) => isActive(intent) && !intent.standby && intent.offset > highest)
    const isShutOut = highest < (fenceOf(runner.spec.name, report.instance) ?? 0)
    return uncertain.length === 0 || raises || isShutOut ? [] : [toFenceOrder(runner.spec.name, report.role)]
  })
}

/** Sets the role that the engine has already. */
function toFenceOrder (runner: string, role: string): CellOrder {
  return { runner, action: OrderAction.SetRole, model: '', version: '', role, weightsMiB: 0, kvReserveMiB: 0, sizeMiB: 0 }
}
