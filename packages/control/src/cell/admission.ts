/** Checks of planned steps: memory, reachability and the shares of the weight store. */
import { OrderAction, RunnerRole, type CellStep, type ModelKey } from '@figloom/tables'
import { fitsMemory, isOpenIn, isSettledCopy, modelKeyOf, type LedgerInput } from './ledger.js'
import type { CellOrder } from './records.js'
import type { RunnerSpec } from './runner-tracker.js'
import type { TakenReport } from './settlement.js'
import { endOffsetOf, type Intent } from './state.js'
import type { CellConfig } from './types.js'

/** A runner as the holder may order on it; `taken` is not older than the holder's claim. */
export type OrderableRunner = {
  spec: RunnerSpec
  taken: TakenReport | undefined
  healthy: boolean
  draining: boolean
  /** Whether the tables still name it. */
  inTables: boolean
}

/** What the checks look at. */
export type AdmissionContext = {
  config: CellConfig
  runners: Map<string, OrderableRunner>
  /** Intents of all runners, also those that are admitted but not written yet. */
  intents: Intent[]
  /** Whether the pace of the store allows the start of another load now. */
  mayStartLoad: boolean
}

/** Builds the order of a step with the sizes of the tables; undefined for what they do not name. */
export function toOrder (step: CellStep, config: CellConfig): CellOrder | undefined {
  const { action, runner, model, version, adapter, role } = step
  const row = config.models.find((candidate) => candidate.name === model && candidate.version === version)
  const order: CellOrder = { action, runner, model, version, weightsMiB: 0, kvReserveMiB: 0, sizeMiB: 0 }
  if (adapter !== undefined) order.adapter = adapter
  if (role !== undefined) order.role = role
  if (action === OrderAction.Load) {
    return row === undefined ? undefined : { ...order, weightsMiB: row.weightsMiB, kvReserveMiB: row.kvReserveMiB }
  }
  if (action !== OrderAction.LoadAdapter) return order
  const sizeMiB = row?.adapters.find(({ name }) => name === adapter)?.sizeMiB
  return sizeMiB === undefined ? undefined : { ...order, sizeMiB }
}

/** Whether the order may be written now. */
export function isAdmitted (order: CellOrder, context: AdmissionContext): boolean {
  const runner = context.runners.get(order.runner)
  if (runner?.taken === undefined || !runner.healthy) return false
  if (isUnderWay(order, context.intents)) return false
  switch (order.action) {
    case OrderAction.Load:
      return !runner.draining && runner.inTables && context.mayStartLoad && isLoadShareFree(context) && fits(order, runner, context)
    case OrderAction.LoadAdapter:
      return !runner.draining && runner.inTables && hasSettledCopy(runner, order, context) &&
        isAdapterShareFree(context) && fits(order, runner, context)
    case OrderAction.Unload:
    case OrderAction.UnloadAdapter:
    case OrderAction.SetRole:
      return keepsReachable(order, context)
  }
}

/**
 * Whether every routed model and adapter stays on a settled copy of another healthy runner if the order takes effect.
 * Asked when the order is planned and again right before it is sent.
 */
export function keepsReachable (order: CellOrder, context: AdmissionContext): boolean {
  if (order.action === OrderAction.Load || order.action === OrderAction.LoadAdapter) return true
  if (order.action === OrderAction.SetRole) return keepsReachableInRole(order, context)
  const routed = context.config.routed.find((entry) => modelKeyOf(entry) === modelKeyOf(order))
  if (routed === undefined) return true
  if (order.action === OrderAction.UnloadAdapter && !routed.adapters.includes(order.adapter ?? '')) return true
  const adapters = order.action === OrderAction.UnloadAdapter ? [order.adapter ?? ''] : adaptersHeld(order, routed.adapters, context)
  return hasOtherCopy(order, order.runner, [], context) &&
    adapters.every((adapter) => hasOtherCopy(order, order.runner, [adapter], context))
}

/** Ledger of a runner; undefined without a usable report. */
export function ledgerInputOf (runner: OrderableRunner, intents: Intent[], config: CellConfig): LedgerInput | undefined {
  if (runner.taken === undefined) return undefined
  return {
    memoryMiB: runner.spec.memoryMiB,
    transitReserveMiB: config.transitReserveMiB,
    report: runner.taken.report,
    intents: intents.filter(({ order }) => order.runner === runner.spec.name)
  }
}

/** Whether a runner's report shows a copy that counts towards reachability, with the adapters named. */
export function hasSettledCopy (runner: OrderableRunner, key: ModelKey, context: AdmissionContext, adapters: string[] = []): boolean {
  const taken = runner.taken
  if (taken === undefined) return false
  const intents = context.intents.filter(({ order }) => order.runner === runner.spec.name)
  return taken.report.copies.some((copy) => modelKeyOf(copy) === modelKeyOf(key) &&
    isSettledCopy(copy, intents, taken.report.instance) &&
    adapters.every((adapter) => hasSettledAdapter(copy, adapter, intents, taken.report.instance)))
}

function hasSettledAdapter (copy: TakenReport['report']['copies'][number], adapter: string, intents: Intent[], instance: string): boolean {
  if (!copy.adapters.some(({ name, state }) => name === adapter && state === 'resident')) return false
  return !intents.some((intent) => isOpenIn(intent, instance) && intent.order.action === OrderAction.UnloadAdapter &&
    modelKeyOf(intent.order) === modelKeyOf(copy) && intent.order.adapter === adapter)
}

function adaptersHeld (order: CellOrder, adapters: string[], context: AdmissionContext): string[] {
  const copy = context.runners.get(order.runner)?.taken?.report.copies.find((candidate) => modelKeyOf(candidate) === modelKeyOf(order))
  return adapters.filter((adapter) => copy?.adapters.some(({ name }) => name === adapter))
}

function hasOtherCopy (key: ModelKey, except: string, adapters: string[], context: AdmissionContext): boolean {
  return [...context.runners.values()].some((runner) => runner.spec.name !== except && runner.healthy &&
    hasBothRoles(runner, context.intents) && hasSettledCopy(runner, key, context, adapters))
}

function hasBothRoles (runner: OrderableRunner, intents: Intent[]): boolean {
  if (runner.taken?.report.role !== RunnerRole.Both) return false
  return !intents.some(({ order }) => order.runner === runner.spec.name && order.action === OrderAction.SetRole && order.role !== RunnerRole.Both)
}

function keepsReachableInRole (order: CellOrder, context: AdmissionContext): boolean {
  const taken = context.runners.get(order.runner)?.taken
  if (order.role === RunnerRole.Both || order.role === taken?.report.role) return true
  const held = context.config.routed.filter((entry) => taken?.report.copies.some((copy) => modelKeyOf(copy) === modelKeyOf(entry)))
  return held.every((entry) => hasOtherCopy(entry, order.runner, [], context))
}

/** A copy of the same order may still be answered; one that is lost for good does not hinder another. */
function isUnderWay (order: CellOrder, intents: Intent[]): boolean {
  return intents.some((intent) => endOffsetOf(intent) === undefined && intent.fencedInstance === undefined && !intent.standby &&
    intent.order.runner === order.runner && intent.order.action === order.action &&
    modelKeyOf(intent.order) === modelKeyOf(order) && intent.order.adapter === order.adapter)
}

function fits (order: CellOrder, runner: OrderableRunner, context: AdmissionContext): boolean {
  const input = ledgerInputOf(runner, context.intents, context.config)
  return input !== undefined && fitsMemory(input, order)
}

function isLoadShareFree ({ config, intents }: AdmissionContext): boolean {
  return countUnderWay(intents, OrderAction.Load) < config.share.concurrentLoads
}

function isAdapterShareFree ({ config, intents }: AdmissionContext): boolean {
  return countUnderWay(intents, OrderAction.LoadAdapter) < config.share.concurrentAdapters
}

function countUnderWay (intents: Intent[], action: CellOrder['action']): number {
  return intents.filter((intent) => intent.order.action === action && !intent.standby &&
    endOffsetOf(intent) === undefined && intent.fencedInstance === undefined).length
}
