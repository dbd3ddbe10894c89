/** Builds the parts of a cell's task and joins them. */
import type { EngineReport } from '@figloom/clients'
import type { StreamEvent } from '../streams/stream-follower.js'
import { HolderDuties } from './holder-record-writer.js'
import { cellStreamOf, DEFAULT_STANDBY_LIMIT, type CellHolderOptions, type CellTimes } from './holder-options.js'
import { CellJournal } from './append-queue.js'
import { LeaseWatch } from './lease-monitor.js'
import { DEFAULT_LEASE_SETTINGS } from './lease.js'
import { OrderRelease } from './order-scheduler.js'
import { OrderSender, type CopyEvent } from './order-sender.js'
import { ReportPoller } from './report-poller.js'
import { CellSituation } from './local-cell-state.js'
import { StreamReader } from './stream-reader.js'
import { WordKeeper } from './delivery-reporter.js'

/** How parts reach their task. */
export type CellPorts = {
  postStream: (event: StreamEvent) => void
  postCopy: (event: CopyEvent) => void
  postReport: (runner: string, report: EngineReport, askedMs: number) => void
  isRetiring: () => boolean
}

export type CellParts = {
  lease: LeaseWatch
  reader: StreamReader
  journal: CellJournal
  sender: OrderSender
  poller: ReportPoller
  situation: CellSituation
  duties: HolderDuties
  words: WordKeeper
  release: OrderRelease
}

export function createCellParts (options: CellHolderOptions, times: CellTimes, ports: CellPorts): CellParts {
  const { log, clock, engines, ids, cell, self, logger, planner } = options
  const stream = cellStreamOf(cell)
  const journal = CellJournal.create({ log, clock, ids, stream, timeoutMs: times.logTimeoutMs, retryMs: times.readRetryMs, maxRetryMs: 4 * times.readRetryMs })
  const sender = OrderSender.create({ engines, clock, timeoutMs: times.orderTimeoutMs, post: ports.postCopy })
  const situation = CellSituation.create({ clock, cell, staleReportMs: times.staleReportMs })
  const reader = StreamReader.create({
    log, clock, stream, waitMs: times.readWaitMs, retryMs: times.readRetryMs, timeoutMs: times.logTimeoutMs, post: ports.postStream
  })
  const poller = ReportPoller.create({
    engines, clock, restEveryMs: times.restReportMs, busyEveryMs: times.busyReportMs, timeoutMs: times.logTimeoutMs, onReport: ports.postReport
  })
  const release = OrderRelease.create({
    clock, situation, sender, journal, currentState: () => reader.state, isRetiring: ports.isRetiring, confirmPatienceMs: times.confirmPatienceMs
  })
  const duties = HolderDuties.create({
    clock,
    logger,
    planner,
    journal,
    situation,
    isSent: (intent) => sender.hasTaken(intent.offset),
    fenceEveryMs: times.fenceEveryMs,
    acceptedPatienceMs: times.acceptedPatienceMs,
    snapshotEveryMs: times.snapshotEveryMs,
    standbyQuietMs: times.standbyQuietMs,
    standbyLimit: options.standbyLimit ?? DEFAULT_STANDBY_LIMIT
  })
  const lease = LeaseWatch.create({ clock, cell, self, settings: options.lease ?? DEFAULT_LEASE_SETTINGS })
  const words = WordKeeper.create({ self, journal, sender, books: situation.books })
  return { lease, reader, journal, sender, poller, situation, duties, words, release }
}
