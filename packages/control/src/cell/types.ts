/** What a cell's task is given, what it is told and what it shows. */
import type { EngineReport } from '@figloom/clients'
import type { CellStep, ModelKey, PoolModel, Runner, RunnerView } from '@figloom/tables'
import type { CellState } from './state.js'
import type { CellOrder, GoneEvidence, Sender } from './records.js'
import type { StoreShare } from './shares.js'

/** A model version that routes name, with the adapters that they name. */
export type RoutedModel = ModelKey & { adapters: string[] }

/** The part of the tables in force that concerns one cell. */
export type CellConfig = {
  runners: Runner[]
  models: PoolModel[]
  routed: RoutedModel[]
  share: StoreShare
  /** Memory of each runner that stays free for KV cache in transit, in MiB. */
  transitReserveMiB: number
}

/** An order that may still take effect. */
export type UnsettledOrder = { offset: number, order: CellOrder, sender: Sender, standby: boolean }

/** A cell as this host knows it; hosts that read the same stream differ only in reports and health. */
export type CellView = {
  cell: string
  /** Last offset of the stream that the view contains. */
  offset: number
  holder: Sender | undefined
  /** Offset of the claim in force. */
  leaseOffset: number | undefined
  /** Whether this host holds the lease and counts it as running. */
  isHolder: boolean
  logReachable: boolean
  runners: RunnerView[]
  unsettled: UnsettledOrder[]
  /** Runners that the tables no longer name and whose memory is not confirmed free. */
  retiring: string[]
}

/** Decides what is to change in a cell; the holder checks every step against memory and reachability. */
export abstract class Planner {
  /** Steps in order of urgency; those that are not admitted now may be given again. */
  abstract plan (view: CellView): CellStep[]
}

/** Messages to the task of a cell. */
export type CellMessage =
  | { type: 'config', config: CellConfig }
  /** Hosts that may hold the lease. */
  | { type: 'hosts', hosts: string[] }
  /** Direct evidence that a host does not answer, or that it does again. */
  | { type: 'suspect', host: string, suspected: boolean }
  | { type: 'health', runner: string, healthy: boolean }
  | { type: 'draining', runner: string, draining: boolean }
  /** A report that another task asked for at `askedMs` of the monotonic clock. */
  | { type: 'report', runner: string, report: EngineReport, askedMs: number }
  | { type: 'sender-gone', sender: Sender, evidence: GoneEvidence }
  /** A peer's state of the cell. */
  | { type: 'peer-snapshot', state: CellState }
  /** Gives up the lease and all orders; `onRetired` is called once the log has this host's word. */
  | { type: 'retire', onRetired: () => void }
