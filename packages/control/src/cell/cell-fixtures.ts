/** Test fixtures: records, orders and reports of a cell. */
import type { EngineReport, LogRecord, ReportedCopy } from '@figloom/clients'
import { OrderAction } from '@figloom/tables'
import type { CellOrder, CellRecordBody, ObservedRunner, Sender } from './records.js'
import { applyCellRecord, createCellState, type CellState, type Intent } from './state.js'

export const hostA: Sender = { host: 'host-a', incarnation: 'a-1' }
export const hostB: Sender = { host: 'host-b', incarnation: 'b-1' }

/** A load of `model` on `runner`; 60 MiB of weights and 20 MiB of KV reserve unless given. */
export function loadOf (model: string, runner = 'r1', weightsMiB = 60, kvReserveMiB = 20): CellOrder {
  return { runner, action: OrderAction.Load, model, version: '1', weightsMiB, kvReserveMiB, sizeMiB: 0 }
}

export function unloadOf (model: string, runner = 'r1'): CellOrder {
  return { runner, action: OrderAction.Unload, model, version: '1', weightsMiB: 0, kvReserveMiB: 0, sizeMiB: 0 }
}

export function adapterLoadOf (model: string, adapter: string, sizeMiB: number, runner = 'r1'): CellOrder {
  return { runner, action: OrderAction.LoadAdapter, model, version: '1', adapter, weightsMiB: 0, kvReserveMiB: 0, sizeMiB }
}

export function claimBy (sender: Sender, succeeds: number): CellRecordBody {
  return { kind: 'claim', sender, succeeds, leaseMs: 15_000 }
}

export function copyOf (model: string, state: ReportedCopy['state'] = 'resident', weightsMiB = 60, kvReserveMiB = 20): ReportedCopy {
  return { model, version: '1', weightsMiB, kvReserveMiB, state, adapters: [] }
}

export function observedOf (name: string, instance: string, asOfOffset: number, copies: ReportedCopy[] = []): ObservedRunner {
  return { name, url: `http://${name}`, availabilityZone: 'zone-1', memoryMiB: 100, checksFencing: true, instance, role: 'both', copies, asOfOffset }
}

export function reportOf (fields: Partial<EngineReport> = {}): EngineReport {
  return {
    runner: 'r1',
    instance: 'i1',
    memoryMiB: 100,
    usedMiB: 0,
    role: 'both',
    highestFence: 0,
    copies: [],
    running: 0,
    queued: 0,
    kvUsedMiB: 0,
    ageMs: 0,
    recentOrders: [],
    ...fields
  }
}

export function intentOf (offset: number, order: CellOrder, fields: Partial<Intent> = {}): Intent {
  return { offset, orderId: `order-${offset}`, claim: 1, sender: hostA, order, standby: false, replaced: false, ...fields }
}

/** Records with offsets from 1 and unique ids. */
export function recordsOf (bodies: unknown[]): LogRecord[] {
  return bodies.map((body, index) => ({ offset: index + 1, recordId: `record-${index + 1}`, body }))
}

export function foldOf (bodies: unknown[], from: CellState = createCellState()): CellState {
  return recordsOf(bodies).reduce(applyCellRecord, from)
}
