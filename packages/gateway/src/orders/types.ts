/** Load and unload orders for runners, and the answers to them. */
import type { LocatedRunner, RunnerSignals } from '../gates/types.js'
import type { RunnerEntry, RunnerReport } from '../runners/types.js'

export const OrderKind = { Load: 'load', Unload: 'unload' } as const
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind]

/** What to load or unload: a model, or one of its adapters. */
export type OrderTarget = { kind: OrderKind, model: string, adapter?: string }

export type RunnerOrder = OrderTarget & {
  /** Number of orders that the runner has accepted, as far as the sender knows; the runner refuses the order if its own count differs. */
  expectedOrders: number
  holder: string
  fencingToken: number
}

export const OrderAnswer = {
  Accepted: 'accepted',
  /** The runner is in the ordered state already. */
  AlreadyHolds: 'already-holds',
  /** Another order is in progress, or the number of accepted orders differs. */
  Conflict: 'conflict',
  StaleToken: 'stale-token',
  /** A different runner uses the address now. */
  NotThisRunner: 'not-this-runner',
  Malformed: 'malformed',
  /** No answer was received: the order may still take effect, unless the number of accepted orders changes first. */
  Unknown: 'unknown'
} as const
export type OrderAnswer = (typeof OrderAnswer)[keyof typeof OrderAnswer]

export type SignalListener = (runner: LocatedRunner, signals: RunnerSignals) => void

/** Reads the reports of runners and sends them orders. */
export abstract class RunnerOrders {
  /** Reads what the runner reports of itself; rejects if that fails. */
  abstract report (runner: RunnerEntry): Promise<RunnerReport>
  abstract send (runner: RunnerEntry, order: RunnerOrder): Promise<OrderAnswer>
  /** Sets the listener for the signals (limit, pause, leaving) that runners send with their reports and their answers to orders. */
  abstract onSignals (listener: SignalListener): void
}
