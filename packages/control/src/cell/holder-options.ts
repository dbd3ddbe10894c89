/** Options of a cell's task. */
import type { EngineClient, LogClient } from '@figloom/clients'
import type { Clock, IdSource, Logger, TaskErrorHandler } from '@figloom/runtime'
import type { LeaseSettings } from './lease.js'
import type { Sender } from './records.js'
import type { CellView, Planner } from './types.js'

/** Times of a cell's task, in milliseconds. */
export type CellTimes = {
  tickMs: number
  /** Longest time that one read of the log waits for new records. */
  readWaitMs: number
  readRetryMs: number
  /** Timeout of a request to the log. */
  logTimeoutMs: number
  orderTimeoutMs: number
  idleReportMs: number
  busyReportMs: number
  staleReportMs: number
  fenceEveryMs: number
  acceptedTimeoutMs: number
  confirmTimeoutMs: number
  snapshotEveryMs: number
  /** How long reads of the log must have failed before standby intents are sent. */
  standbyAfterMs: number
  /** How long the planner must have no steps before standby intents are written. */
  standbyIdleMs: number
}

export const DEFAULT_CELL_TIMES: CellTimes = {
  tickMs: 250,
  readWaitMs: 5_000,
  readRetryMs: 500,
  logTimeoutMs: 2_000,
  orderTimeoutMs: 3_000,
  idleReportMs: 5_000,
  busyReportMs: 500,
  staleReportMs: 15_000,
  fenceEveryMs: 5_000,
  acceptedTimeoutMs: 5_000,
  confirmTimeoutMs: 5_000,
  snapshotEveryMs: 20 * 60_000,
  standbyAfterMs: 3_000,
  standbyIdleMs: 5_000
}

/** Maximum number of pending standby intents. */
export const DEFAULT_STANDBY_LIMIT = 4

export type CellHolderOptions = {
  /** Name of the cell, which is one pool's runners in one region. */
  cell: string
  self: Sender
  log: LogClient
  engines: EngineClient
  clock: Clock
  ids: IdSource
  logger: Logger
  planner: Planner
  /** Called with each new view. */
  onView?: (view: CellView) => void
  lease?: LeaseSettings
  times?: Partial<CellTimes>
  /** Maximum number of pending standby intents; 0 disables them. */
  standbyLimit?: number
  onFault?: TaskErrorHandler
}

/** Name of a cell's stream. */
export function cellStreamOf (cell: string): string {
  return `cell.${cell}`
}
