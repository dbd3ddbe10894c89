/** Builds the components of a cell's task and connects them. */
import type { EngineReport } from '@figloom/clients'
import type { StreamEvent } from '../streams/stream-follower.js'
import { HolderRecordWriter } from './holder-record-writer.js'
import { cellStreamOf, DEFAULT_STANDBY_LIMIT, type CellHolderOptions, type CellTimes } from './holder-options.js'
import { AppendQueue } from './append-queue.js'
import { LeaseMonitor } from './lease-monitor.js'
import { DEFAULT_LEASE_SETTINGS } from './lease.js'
import { OrderScheduler } from './order-scheduler.js'
import { OrderSender, type OrderEvent } from './order-sender.js'
import { ReportPoller } from './report-poller.js'
import { LocalCellState } from './local-cell-state.js'
import { StreamReader } from './stream-reader.js'
import { DeliveryReporter } from './delivery-reporter.js'

/** Callbacks from the components to their task. */
export type CellCallbacks = {
  postStream: (event: StreamEvent) => void
  postOrderEvent: (event: OrderEvent) => void
  postReport: (runner: string, report: EngineReport, requestedMs: number) => void
  isRetiring: () => boolean
}

export type CellComponents = {
  lease: LeaseMonitor
  reader: StreamReader
  appendQueue: AppendQueue
  sender: OrderSender
  poller: ReportPoller
  localState: LocalCellState
  recordWriter: HolderRecordWriter
  deliveryReporter: DeliveryReporter
  scheduler: OrderScheduler
}

export function createCellComponents (options: CellHolderOptions, times: CellTimes, callbacks: CellCallbacks): CellComponents {
  const { log, clock, engines, ids, cell, self, logger, planner } = options
  const stream = cellStreamOf(cell)
  const appendQueue = AppendQueue.create({
    log, clock, ids, stream, timeoutMs: times.logTimeoutMs, retryMs: times.readRetryMs, maxRetryMs: 4 * times.readRetryMs
  })
  const sender = OrderSender.create({ engines, clock, timeoutMs: times.orderTimeoutMs, post: callbacks.postOrderEvent })
  const localState = LocalCellState.create({ clock, cell, staleReportMs: times.staleReportMs })
  const reader = StreamReader.create({
    log, clock, stream, waitMs: times.readWaitMs, retryMs: times.readRetryMs, timeoutMs: times.logTimeoutMs, post: callbacks.postStream
  })
  const poller = ReportPoller.create({
    engines, clock, idleEveryMs: times.idleReportMs, busyEveryMs: times.busyReportMs, timeoutMs: times.logTimeoutMs, onReport: callbacks.postReport
  })
  const scheduler = OrderScheduler.create({
    clock,
    localState,
    sender,
    appendQueue,
    currentState: () => reader.state,
    isRetiring: callbacks.isRetiring,
    confirmTimeoutMs: times.confirmTimeoutMs
  })
  const recordWriter = HolderRecordWriter.create({
    clock,
    logger,
    planner,
    appendQueue,
    localState,
    isSentOrQueued: (intent) => sender.isSentOrQueued(intent.offset),
    fenceEveryMs: times.fenceEveryMs,
    acceptedTimeoutMs: times.acceptedTimeoutMs,
    snapshotEveryMs: times.snapshotEveryMs,
    standbyIdleMs: times.standbyIdleMs,
    standbyLimit: options.standbyLimit ?? DEFAULT_STANDBY_LIMIT
  })
  const lease = LeaseMonitor.create({ clock, cell, self, settings: options.lease ?? DEFAULT_LEASE_SETTINGS })
  const deliveryReporter = DeliveryReporter.create({ self, appendQueue, sender, tracker: localState.tracker })
  return { lease, reader, appendQueue, sender, poller, localState, recordWriter, deliveryReporter, scheduler }
}
