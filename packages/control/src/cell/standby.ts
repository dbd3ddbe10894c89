/** Standby intents: loads written to the log in advance, sent during a log outage if a model has lost its last runner. */
import { OrderAction, type ModelKey } from '@figloom/tables'
import { hasSettledCopy, isAdmitted, toOrder, type AdmissionContext, type OrderableRunner } from './admission.js'
import { modelKeyOf } from './ledger.js'
import type { CellOrder } from './records.js'
import type { Intent } from './state.js'

/** Loads to reserve for each routed model with one copy: on a second runner, preferably in another availability zone. */
export function planStandby (context: AdmissionContext, limit: number): CellOrder[] {
  const planned: CellOrder[] = []
  for (const key of context.config.routed) {
    if (planned.length >= limit) break
    const order = standbyFor(key, context, planned)
    if (order !== undefined) planned.push(order)
  }
  return planned
}

/** Standby intents to send now: one for each routed model without a settled copy on a healthy runner. */
export function dueStandby (context: AdmissionContext, standby: Intent[]): Intent[] {
  const due = new Map<string, Intent>()
  for (const intent of standby) {
    const key = modelKeyOf(intent.order)
    const runner = context.runners.get(intent.order.runner)
    const wanted = context.config.routed.some((entry) => modelKeyOf(entry) === key)
    if (wanted && runner?.healthy === true && !due.has(key) && servingRunnersOf(intent.order, context).length === 0) due.set(key, intent)
  }
  return [...due.values()]
}

/** Returns the healthy runners with a settled copy. */
export function servingRunnersOf (key: ModelKey, context: AdmissionContext): OrderableRunner[] {
  return [...context.runners.values()].filter((runner) => runner.healthy && hasSettledCopy(runner, key, context))
}

function standbyFor (key: ModelKey, context: AdmissionContext, planned: CellOrder[]): CellOrder | undefined {
  const servingRunners = servingRunnersOf(key, context)
  const loads = context.intents.some(({ order }) => order.action === OrderAction.Load && modelKeyOf(order) === modelKeyOf(key))
  if (servingRunners.length !== 1 || loads) return undefined
  const zone = servingRunners[0]?.spec.availabilityZone
  const withPlanned = { ...context, mayStartLoad: true, intents: [...context.intents, ...planned.map(toTentativeIntent)] }
  const orders = [...context.runners.values()]
    .sort((a, b) => Number(a.spec.availabilityZone === zone) - Number(b.spec.availabilityZone === zone))
    .filter((runner) => !servingRunners.includes(runner))
    .flatMap((runner) => toOrder({ action: OrderAction.Load, runner: runner.spec.name, addsMiB: 0, reason: 'standby', model: key.model, version: key.version }, context.config) ?? [])
  return orders.find((order) => isAdmitted(order, withPlanned))
}

/** An intent that is not written yet, for the admission checks of later orders. */
export function toTentativeIntent (order: CellOrder): Intent {
  return { offset: Infinity, orderId: '', claim: 0, sender: { host: '', incarnation: '' }, order, standby: false, replaced: false }
}
