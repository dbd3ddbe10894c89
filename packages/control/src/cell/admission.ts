/** Admission checks for planned steps: free memory, reachability of routed models, and the cell's share of the weight store's limits. */
import { OrderAction, RunnerRole, type CellStep, type ModelKey } from '@figloom/tables'
import { fitsMemory, isOpenIn, isSettledCopy, modelKeyOf, type LedgerInput } from './ledger.js'
import type { CellOrder } from './records.js'
import type { RunnerSpec } from './runner-tracker.js'
import type { TimedReport } from './settlement.js'
import { endOffsetOf, type Intent } from './state.js'
import type { CellConfig } from './types.js'

/** A runner that the holder may send orders to; `timedReport` is undefined if the newest report is older than the holder's claim. */
export type OrderableRunner = {
  spec: RunnerSpec
  timedReport: TimedReport | undefined
  healthy: boolean
  draining: boolean
  /** Whether the configuration tables still name the runner. */
  inTables: boolean
}

/** Input of the checks. */
export type AdmissionContext = {
  config: CellConfig
  runners: Map<string, OrderableRunner>
  /** Intents of all runners, including those that were admitted but not written to the log yet. */
  intents: Intent[]
  /** Whether the cell's limit on load starts per second allows another load now. */
  mayStartLoad: boolean
}

/** Builds the order of a step with the sizes from the tables; undefined if the tables lack the model or adapter. */
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

/** Whether the order's intent may be written to the log now. */
export function isAdmitted (order: CellOrder, context: AdmissionContext): boolean {
  const runner = context.runners.get(order.runner)
  if (runner?.timedReport === undefined || !runner.healthy) return false
  if (isInProgress(order, context.intents)) return false
  switch (order.action) {
    case OrderAction.Load:
      return !runner.draining && runner.inTables && context.mayStartLoad && hasFreeLoadShare(context) && fits(order, runner, context)
    case OrderAction.LoadAdapter:
      return !runner.draining && runner.inTables && hasSettledCopy(runner, order, context) &&
        hasFreeAdapterShare(context) && fits(order, runner, context)
    case OrderAction.Unload:
    case OrderAction.UnloadAdapter:
    case OrderAction.SetRole:
      return keepsReachable(order, context)
  }
}

/**
 * Whether every routed model and adapter still has a settled copy on another healthy runner once the order takes effect.
 * Checked when the order is planned and again right before it is sent.
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

/** Input for the memory ledger of a runner; undefined without a usable report. */
export function ledgerInputOf (runner: OrderableRunner, intents: Intent[], config: CellConfig): LedgerInput | undefined {
  if (runner.timedReport === undefined) return undefined
  return {
    memoryMiB: runner.spec.memoryMiB,
    transitReserveMiB: config.transitReserveMiB,
    report: runner.timedReport.report,
    intents: intents.filter(({ order }) => order.runner === runner.spec.name)
  }
}

/** Whether the runner's report shows a copy of the model with the named adapters that no unsettled order may remove. */
export function hasSettledCopy (runner: OrderableRunner, key: ModelKey, context: AdmissionContext, adapters: string[] = []): boolean {
  const timedReport = runner.timedReport
  if (timedReport === undefined) return false
  const intents = context.intents.filter(({ order }) => order.runner === runner.spec.name)
  return timedReport.report.copies.some((copy) => modelKeyOf(copy) === modelKeyOf(key) &&
    isSettledCopy(copy, intents, timedReport.report.instance) &&
    adapters.every((adapter) => hasSettledAdapter(copy, adapter, intents, timedReport.report.instance)))
}

function hasSettledAdapter (copy: TimedReport['report']['copies'][number], adapter: string, intents: Intent[], instance: string): boolean {
  if (!copy.adapters.some(({ name, state }) => name === adapter && state === 'resident')) return false
  return !intents.some((intent) => isOpenIn(intent, instance) && intent.order.action === OrderAction.UnloadAdapter &&
    modelKeyOf(intent.order) === modelKeyOf(copy) && intent.order.adapter === adapter)
}

function adaptersHeld (order: CellOrder, adapters: string[], context: AdmissionContext): string[] {
  const copy = context.runners.get(order.runner)?.timedReport?.report.copies.find((candidate) => modelKeyOf(candidate) === modelKeyOf(order))
  return adapters.filter((adapter) => copy?.adapters.some(({ name }) => name === adapter))
}

function hasOtherCopy (key: ModelKey, except: string, adapters: string[], context: AdmissionContext): boolean {
  return [...context.runners.values()].some((runner) => runner.spec.name !== except && runner.healthy &&
    hasBothRoles(runner, context.intents) && hasSettledCopy(runner, key, context, adapters))
}

function hasBothRoles (runner: OrderableRunner, intents: Intent[]): boolean {
  if (runner.timedReport?.report.role !== RunnerRole.Both) return false
  return !intents.some(({ order }) => order.runner === runner.spec.name && order.action === OrderAction.SetRole && order.role !== RunnerRole.Both)
}

function keepsReachableInRole (order: CellOrder, context: AdmissionContext): boolean {
  const timedReport = context.runners.get(order.runner)?.timedReport
  if (order.role === RunnerRole.Both || order.role === timedReport?.report.role) return true
  const routedHere = context.config.routed.filter((entry) => timedReport?.report.copies.some((copy) => modelKeyOf(copy) === modelKeyOf(entry)))
  return routedHere.every((entry) => hasOtherCopy(entry, order.runner, [], context))
}

/** Whether the same order is still in progress. One that is fenced off, or that its sender will not send again, does not block a new one. */
function isInProgress (order: CellOrder, intents: Intent[]): boolean {
  return intents.some((intent) => endOffsetOf(intent) === undefined && intent.fencedInstance === undefined && !intent.standby &&
    intent.order.runner === order.runner && intent.order.action === order.action &&
    modelKeyOf(intent.order) === modelKeyOf(order) && intent.order.adapter === order.adapter)
}

function fits (order: CellOrder, runner: OrderableRunner, context: AdmissionContext): boolean {
  const input = ledgerInputOf(runner, context.intents, context.config)
  return input !== undefined && fitsMemory(input, order)
}

function hasFreeLoadShare ({ config, intents }: AdmissionContext): boolean {
  return countInProgress(intents, OrderAction.Load) < config.share.concurrentLoads
}

function hasFreeAdapterShare ({ config, intents }: AdmissionContext): boolean {
  return countInProgress(intents, OrderAction.LoadAdapter) < config.share.concurrentAdapters
}

function countInProgress (intents: Intent[], action: CellOrder['action']): number {
  return intents.filter((intent) => intent.order.action === action && !intent.standby &&
    endOffsetOf(intent) === undefined && intent.fencedInstance === undefined).length
}
