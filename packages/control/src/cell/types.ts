/** Configuration, messages and view of a cell's task. */
import type { EngineReport } from '@figloom/clients'
import type { CellStep, ModelKey, PoolModel, Runner, RunnerView } from '@figloom/tables'
import type { CellState } from './state.js'
import type { CellOrder, GoneEvidence, Sender } from './records.js'
import type { StoreShare } from './shares.js'

/** A model version that routes name, with the adapters that the routes name. */
export type RoutedModel = ModelKey & { adapters: string[] }

/** The part of the tables in force that concerns one cell. */
export type CellConfig = {
  runners: Runner[]
  models: PoolModel[]
  routed: RoutedModel[]
  share: StoreShare
  /** Memory kept free on each runner for KV cache in transit, in MiB. */
  transitReserveMiB: number
}

/** An order that is not settled and may still take effect. */
export type UnsettledOrder = { offset: number, order: CellOrder, sender: Sender, standby: boolean }

/** A cell as this host knows it. Hosts that have read the same stream differ only in their own reports and runner health. */
export type CellView = {
  cell: string
  /** Last offset of the stream that the view contains. */
  offset: number
  holder: Sender | undefined
  /** Offset of the claim in force. */
  leaseOffset: number | undefined
  /** Whether this host holds the lease and its lease is valid by its own clock. */
  isHolder: boolean
  logReachable: boolean
  runners: RunnerView[]
  unsettled: UnsettledOrder[]
  /** Runners that the tables no longer name and whose memory is not confirmed to be free. */
  retiring: string[]
}

/** Plans changes to a cell; the holder checks every step against memory and reachability. */
export abstract class Planner {
  /** Returns steps in order of urgency; a step that is not admitted may be returned again by a later call. */
  abstract plan (view: CellView): CellStep[]
}

/** Messages to the task of a cell. */
export type CellMessage =
  | { type: 'config', config: CellConfig }
  /** Hosts that may hold the lease. */
  | { type: 'hosts', hosts: string[] }
  /** Direct evidence that a host does not answer, or that it answers again. */
  | { type: 'suspect', host: string, suspected: boolean }
  | { type: 'health', runner: string, healthy: boolean }
  | { type: 'draining', runner: string, draining: boolean }
  /** A report that another task requested at the monotonic time `requestedMs`. */
  | { type: 'report', runner: string, report: EngineReport, requestedMs: number }
  | { type: 'sender-gone', sender: Sender, evidence: GoneEvidence }
  /** State of the cell that a peer sent. */
  | { type: 'peer-snapshot', state: CellState }
  /** Releases the lease and withdraws all orders; `onRetired` is called once the log has this host's final records. */
  | { type: 'retire', onRetired: () => void }
