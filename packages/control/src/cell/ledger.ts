/**
 * Memory ledger of a runner: what its engine reports, what unsettled orders may still add, and the
 * reserve for transit never exceed its capacity, neither in the engine's present process nor in a
 * later one, which starts empty and knows no fence.
 */
import type { EngineReport, ReportedCopy } from '@figloom/clients'
import { CopyState, OrderAction, type ModelKey } from '@figloom/tables'
import type { Intent } from './state.js'
import type { CellOrder } from './records.js'

/** One model's memory on a runner, in MiB. */
type Booking = { weightsMiB: number, kvReserveMiB: number, adaptersMiB: Map<string, number> }

/** What the ledger needs of a runner. */
export type LedgerInput = {
  memoryMiB: number
  /** Kept free for KV cache in transit, in MiB. */
  transitReserveMiB: number
  report: Pick<EngineReport, 'instance' | 'copies' | 'memoryMiB'>
  /** Intents of this runner. */
  intents: Intent[]
}

/** Key of a model version for maps. */
export function modelKeyOf ({ model, version }: ModelKey): string {
  return `${model}@${version}`
}

/** Whether the order may still take effect in the process that reported. */
export function isOpenIn (intent: Intent, instance: string): boolean {
  return intent.fencedInstance !== instance
}

/** Memory of the runner that is not given away, in MiB; never below 0. */
export function freeMemoryMiB (input: LedgerInput): number {
  const capacityMiB = Math.min(input.memoryMiB, input.report.memoryMiB) - input.transitReserveMiB
  const bookedMiB = Math.max(presentMiB(input, []), replacedMiB(input, []))
  return Math.max(0, capacityMiB - bookedMiB)
}

/** Whether the order fits, in the present process of the engine and in one that replaces it. */
export function fitsMemory (input: LedgerInput, order: CellOrder): boolean {
  const capacityMiB = Math.min(input.memoryMiB, input.report.memoryMiB) - input.transitReserveMiB
  return presentMiB(input, [order]) <= capacityMiB && replacedMiB(input, [order]) <= capacityMiB
}

/** Whether an unsettled order may take the copy, or one of its adapters if named, away. */
export function isUnderUnload (intents: Intent[], key: ModelKey): boolean {
  return intents.some(({ order }) => order.action === OrderAction.Unload && modelKeyOf(order) === modelKeyOf(key))
}

/**
 * Whether a copy counts towards the model's reachability: resident in the report, and no unsettled
 * unload of it in that process of the engine.
 */
export function isSettledCopy (copy: ReportedCopy, intents: Intent[], instance: string): boolean {
  if (copy.state !== CopyState.Resident) return false
  return !isUnderUnload(intents.filter((intent) => isOpenIn(intent, instance)), copy)
}

/** Reported copies and all that orders may still add to them. */
function presentMiB (input: LedgerInput, extra: CellOrder[]): number {
  const bookings = new Map<string, Booking>()
  for (const copy of input.report.copies) bookCopy(bookings, copy)
  const open = input.intents.filter((intent) => isOpenIn(intent, input.report.instance))
  for (const order of [...open.map(({ order }) => order), ...extra]) bookOrder(bookings, order)
  return sumMiB(bookings)
}

/** All that orders may load into a new process of the engine, which no fence has reached yet. */
function replacedMiB (input: LedgerInput, extra: CellOrder[]): number {
  const bookings = new Map<string, Booking>()
  const possible = input.intents.filter(({ replaced, baselineInstance }) => !replaced && baselineInstance === undefined)
  for (const order of [...possible.map(({ order }) => order), ...extra]) bookOrder(bookings, order)
  return sumMiB(bookings)
}

function bookCopy (bookings: Map<string, Booking>, copy: ReportedCopy): void {
  const booking = bookingOf(bookings, copy)
  booking.weightsMiB = Math.max(booking.weightsMiB, copy.weightsMiB)
  booking.kvReserveMiB = Math.max(booking.kvReserveMiB, copy.kvReserveMiB)
  for (const adapter of copy.adapters) bookAdapter(booking, adapter.name, adapter.sizeMiB)
}

function bookOrder (bookings: Map<string, Booking>, order: CellOrder): void {
  if (order.action === OrderAction.Load) {
    const booking = bookingOf(bookings, order)
    booking.weightsMiB = Math.max(booking.weightsMiB, order.weightsMiB)
    booking.kvReserveMiB = Math.max(booking.kvReserveMiB, order.kvReserveMiB)
  }
  if (order.action === OrderAction.LoadAdapter && order.adapter !== undefined) {
    bookAdapter(bookingOf(bookings, order), order.adapter, order.sizeMiB)
  }
}

function bookingOf (bookings: Map<string, Booking>, key: ModelKey): Booking {
  const booking = bookings.get(modelKeyOf(key)) ?? { weightsMiB: 0, kvReserveMiB: 0, adaptersMiB: new Map<string, number>() }
  bookings.set(modelKeyOf(key), booking)
  return booking
}

function bookAdapter (booking: Booking, name: string, sizeMiB: number): void {
  booking.adaptersMiB.set(name, Math.max(booking.adaptersMiB.get(name) ?? 0, sizeMiB))
}

function sumMiB (bookings: Map<string, Booking>): number {
  let totalMiB = 0
  for (const { weightsMiB, kvReserveMiB, adaptersMiB } of bookings.values()) {
    totalMiB += weightsMiB + kvReserveMiB
    for (const sizeMiB of adaptersMiB.values()) totalMiB += sizeMiB
  }
  return totalMiB
}
