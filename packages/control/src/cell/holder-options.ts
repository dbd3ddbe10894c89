/** Options of the task of a cell. */
import type { EngineClient, LogClient } from '@figloom/clients'
import type { Clock, IdSource, Logger, TaskFault } from '@figloom/runtime'
import type { LeaseSettings } from './lease.js'
import type { Sender } from './records.js'
import type { CellView, Planner } from './types.js'

/** Times of a cell's task, in milliseconds. */
export type CellTimes = {
  tickMs: number
  /** Longest wait of one read of the log. */
  readWaitMs: number
  readRetryMs: number
  /** Limit for an answer of the log. */
  logTimeoutMs: number
  orderTimeoutMs: number
  restReportMs: number
  busyReportMs: number
  staleReportMs: number
  fenceEveryMs: number
  acceptedPatienceMs: number
  confirmPatienceMs: number
  snapshotEveryMs: number
  /** How long reads of the log must fail before standby intents are sent. */
  standbyAfterMs: number
  /** How long the planner must want nothing before standby intents are written. */
  standbyQuietMs: number
}

export const DEFAULT_CELL_TIMES: CellTimes = {
  tickMs: 250,
  readWaitMs: 5_000,
  readRetryMs: 500,
  logTimeoutMs: 2_000,
  orderTimeoutMs: 3_000,
  restReportMs: 5_000,
  busyReportMs: 500,
  staleReportMs: 15_000,
  fenceEveryMs: 5_000,
  acceptedPatienceMs: 5_000,
  confirmPatienceMs: 5_000,
  snapshotEveryMs: 20 * 60_000,
  standbyAfterMs: 3_000,
  standbyQuietMs: 5_000
}

/** Standby intents that may be pending at once. */
export const DEFAULT_STANDBY_LIMIT = 4

export type CellHolderOptions = {
  /** Name of the cell: one pool's runners in one region. */
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
  /** Standby intents that may be pending at once; 0 for none. */
  standbyLimit?: number
  onFault?: TaskFault
}

/** Name of a cell's stream. */
export function cellStreamOf (cell: string): string {
  return `cell.${cell}`
}
