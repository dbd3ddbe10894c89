/** Sends orders to runners, reads their reports, and applies the answers to what is known of each runner. */
import type { Clock, Logger } from '@figloom/runtime'
import type { EngineSpec } from '../config/types.js'
import type { LocatedRunner } from '../gates/types.js'
import type { RunnerState, RunnerTable } from '../runners/runner-table.js'
import type { RunnerQueue } from './runner-queue.js'
import { OrderAnswer, OrderKind, type OrderTarget, type RunnerOrders } from './types.js'

/** Minimum time between two reads of a runner's report, which lags behind the runner by some hundred milliseconds. */
const MIN_REPORT_INTERVAL_MS = 400
/** A model order is overdue after its expected time, times this factor, plus the margin; a report is then read to learn its state. */
const OVERDUE_FACTOR = 1.5
const OVERDUE_MARGIN_MS = 1_500

export type OrderSenderParts = {
  clock: Clock
  log: Logger
  runners: RunnerTable
  orders: RunnerOrders
  host: string
  /** Fencing token of this host's lease; undefined while it may not send orders. */
  orderToken: () => number | undefined
  /** Called before each order is sent. */
  onOrder: () => void
  /** Whether report reads and orders may be sent to a runner now; false while its own signals ask for a pause or say that it leaves. */
  takesOrders: (runner: LocatedRunner) => boolean
  /** A runner answered a read of its report. */
  onReport: (runner: LocatedRunner) => void
  /** A runner gave no report: this host may not reach it. */
  onNoReport: (runner: LocatedRunner, reason: string) => void
}

export class OrderSender {
  private constructor (private readonly parts: OrderSenderParts) {}

  static create (parts: OrderSenderParts): OrderSender {
    return new OrderSender(parts)
  }

  /** @param adapterLoadMs time that the load of an adapter takes; 0 for other orders */
  async send ({ entry }: RunnerState, queue: RunnerQueue, target: OrderTarget, adapterLoadMs: number): Promise<OrderAnswer> {
    const fencingToken = this.parts.orderToken()
    const expectedOrders = queue.inventory.acceptedOrders
    if (fencingToken === undefined || expectedOrders === undefined || !this.parts.takesOrders(entry)) return OrderAnswer.Conflict
    const { kind, model, adapter } = target
    this.parts.onOrder()
    const answer = await this.parts.orders.send(entry, { kind, model, adapter, expectedOrders, holder: this.parts.host, fencingToken })
    const nowMs = this.parts.clock.monotonicMs()
    this.parts.log.info('order given', { runner: entry.id, kind, model, adapter, expectedOrders, fencingToken, answer })
    if (answer === OrderAnswer.Accepted || (answer === OrderAnswer.AlreadyHolds && adapter !== undefined && kind === OrderKind.Unload)) {
      queue.inventory.applyAccepted(target, nowMs, adapterLoadMs)
      if (kind === OrderKind.Unload && adapter !== undefined) this.parts.runners.markNotResident(entry.id, model, adapter, nowMs)
    } else queue.inventory.invalidate()
    return answer
  }

  /** Reads a report where the contents of the runner are uncertain or an order is overdue. */
  refresh (state: RunnerState, queue: RunnerQueue, engine: EngineSpec): void {
    const nowMs = this.parts.clock.monotonicMs()
    const uncertain = queue.inventory.acceptedOrders === undefined || isOverdue(queue, engine, nowMs)
    if (!uncertain || !this.parts.takesOrders(state.entry) || queue.isReadingReport || nowMs - queue.lastReportMs < MIN_REPORT_INTERVAL_MS) return
    this.readReport(state, queue).catch((error: Error) => {
      this.parts.log.warn('runner gave no report', { runner: state.entry.id, reason: error.message })
      this.parts.onNoReport(state.entry, error.message)
    })
  }

  async readReport ({ entry }: RunnerState, queue: RunnerQueue): Promise<void> {
    queue.isReadingReport = true
    try {
      const report = await this.parts.orders.report(entry)
      this.parts.onReport(entry)
      queue.inventory.applyReport(report, this.parts.clock.monotonicMs())
    } finally {
      queue.isReadingReport = false
      queue.lastReportMs = this.parts.clock.monotonicMs()
    }
  }
}

function isOverdue ({ inventory: { pending } }: RunnerQueue, engine: EngineSpec, nowMs: number): boolean {
  if (pending === undefined) return false
  const expectedMs = pending.kind === OrderKind.Load ? engine.models.get(pending.model)?.loadMs ?? 0 : 0
  return nowMs - pending.sinceMs > expectedMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS
}
