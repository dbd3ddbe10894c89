/** Orders to runners: what to hold in memory. */
import type { LocatedRunner, RunnerWords } from '../closures/types.js'
import type { RunnerEntry, RunnerReport } from '../runners/types.js'

export const OrderKind = { Load: 'load', Unload: 'unload' } as const
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind]

/** What to load or unload: a model, or one of its adapters. */
export type OrderTarget = { kind: OrderKind, model: string, adapter?: string }

export type RunnerOrder = OrderTarget & {
  /** Orders that the runner has accepted; it refuses if the number differs when the order arrives. */
  expectedOrders: number
  holder: string
  fencingToken: number
}

export const OrderAnswer = {
  Accepted: 'accepted',
  /** What was ordered holds already. */
  AlreadyHolds: 'already-holds',
  /** Another order is under way, or the number of accepted orders differs. */
  Conflict: 'conflict',
  StaleToken: 'stale-token',
  /** Another runner has the address. */
  NotThisRunner: 'not-this-runner',
  Malformed: 'malformed',
  /** No answer: the order may take effect later, unless the number of accepted orders has changed by then. */
  Unknown: 'unknown'
} as const
export type OrderAnswer = (typeof OrderAnswer)[keyof typeof OrderAnswer]

export type WordsListener = (runner: LocatedRunner, words: RunnerWords) => void

/** Speaks to runners about what they hold. */
export abstract class RunnerOrders {
  /** Rejects if the runner can't be asked. */
  abstract report (runner: RunnerEntry): Promise<RunnerReport>
  abstract send (runner: RunnerEntry, order: RunnerOrder): Promise<OrderAnswer>
  /** Names who is told what answers to reports and orders say of their runners. */
  abstract onWords (listener: WordsListener): void
}
