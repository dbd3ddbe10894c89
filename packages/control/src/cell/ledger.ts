/**
 * Memory ledger of a runner. The copies that its engine reports, what unsettled orders may still add, and the transit
 * reserve together never exceed its capacity. This holds for the engine's current process and for one that replaces it,
 * which starts empty and has no fence, so that it may still accept orders that the current process rejects.
 */
import type { EngineReport, ReportedCopy } from '@figloom/clients'
import { CopyState, OrderAction, type ModelKey } from '@figloom/tables'
import type { Intent } from './state.js'
import type { CellOrder } from './records.js'

/** Memory allocated to one model version on a runner, in MiB. */
type Allocation = { weightsMiB: number, kvReserveMiB: number, adaptersMiB: Map<string, number> }

/** Input of the ledger for one runner. */
export type LedgerInput = {
  memoryMiB: number
  /** Kept free for KV cache in transit, in MiB. */
  transitReserveMiB: number
  report: Pick<EngineReport, 'instance' | 'copies' | 'memoryMiB'>
  /** Intents of this runner. */
  intents: Intent[]
}

/** Map key of a model version. */
export function modelKeyOf ({ model, version }: ModelKey): string {
  return `${model}@${version}`
}

/** Whether the order may still take effect in the engine process `instance`. */
export function isOpenIn (intent: Intent, instance: string): boolean {
  return intent.fencedInstance !== instance
}

/** Memory of the runner that is not allocated, in MiB; never below 0. */
export function freeMemoryMiB (input: LedgerInput): number {
  const capacityMiB = Math.min(input.memoryMiB, input.report.memoryMiB) - input.transitReserveMiB
  const allocatedMiB = Math.max(currentProcessMiB(input, []), newProcessMiB(input, []))
  return Math.max(0, capacityMiB - allocatedMiB)
}

/** Whether the order fits both in the engine's current process and in one that replaces it. */
export function fitsMemory (input: LedgerInput, order: CellOrder): boolean {
  const capacityMiB = Math.min(input.memoryMiB, input.report.memoryMiB) - input.transitReserveMiB
  return currentProcessMiB(input, [order]) <= capacityMiB && newProcessMiB(input, [order]) <= capacityMiB
}

/** Whether an unsettled order may unload the copy. */
export function mayBeUnloaded (intents: Intent[], key: ModelKey): boolean {
  return intents.some(({ order }) => order.action === OrderAction.Unload && modelKeyOf(order) === modelKeyOf(key))
}

/**
 * Whether a copy counts towards the model's reachability: it is resident in the report, and no unsettled order may unload
 * it from that engine process.
 */
export function isSettledCopy (copy: ReportedCopy, intents: Intent[], instance: string): boolean {
  if (copy.state !== CopyState.Resident) return false
  return !mayBeUnloaded(intents.filter((intent) => isOpenIn(intent, instance)), copy)
}

/** Memory of the reported copies and of all that unsettled orders may still add to them. */
function currentProcessMiB (input: LedgerInput, extra: CellOrder[]): number {
  const allocations = new Map<string, Allocation>()
  for (const copy of input.report.copies) allocateCopy(allocations, copy)
  const open = input.intents.filter((intent) => isOpenIn(intent, input.report.instance))
  for (const order of [...open.map(({ order }) => order), ...extra]) allocateOrder(allocations, order)
  return sumMiB(allocations)
}

/** Memory of all that orders may load into a new engine process, which no fence has reached yet. */
function newProcessMiB (input: LedgerInput, extra: CellOrder[]): number {
  const allocations = new Map<string, Allocation>()
  const possible = input.intents.filter(({ replaced, baselineInstance }) => !replaced && baselineInstance === undefined)
  for (const order of [...possible.map(({ order }) => order), ...extra]) allocateOrder(allocations, order)
  return sumMiB(allocations)
}

function allocateCopy (allocations: Map<string, Allocation>, copy: ReportedCopy): void {
  const allocation = allocationOf(allocations, copy)
  allocation.weightsMiB = Math.max(allocation.weightsMiB, copy.weightsMiB)
  allocation.kvReserveMiB = Math.max(allocation.kvReserveMiB, copy.kvReserveMiB)
  for (const adapter of copy.adapters) allocateAdapter(allocation, adapter.name, adapter.sizeMiB)
}

function allocateOrder (allocations: Map<string, Allocation>, order: CellOrder): void {
  if (order.action === OrderAction.Load) {
    const allocation = allocationOf(allocations, order)
    allocation.weightsMiB = Math.max(allocation.weightsMiB, order.weightsMiB)
    allocation.kvReserveMiB = Math.max(allocation.kvReserveMiB, order.kvReserveMiB)
  }
  if (order.action === OrderAction.LoadAdapter && order.adapter !== undefined) {
    allocateAdapter(allocationOf(allocations, order), order.adapter, order.sizeMiB)
  }
}

function allocationOf (allocations: Map<string, Allocation>, key: ModelKey): Allocation {
  const allocation = allocations.get(modelKeyOf(key)) ?? { weightsMiB: 0, kvReserveMiB: 0, adaptersMiB: new Map<string, number>() }
  allocations.set(modelKeyOf(key), allocation)
  return allocation
}

function allocateAdapter (allocation: Allocation, name: string, sizeMiB: number): void {
  allocation.adaptersMiB.set(name, Math.max(allocation.adaptersMiB.get(name) ?? 0, sizeMiB))
}

function sumMiB (allocations: Map<string, Allocation>): number {
  let totalMiB = 0
  for (const { weightsMiB, kvReserveMiB, adaptersMiB } of allocations.values()) {
    totalMiB += weightsMiB + kvReserveMiB
    for (const sizeMiB of adaptersMiB.values()) totalMiB += sizeMiB
  }
  return totalMiB
}
