import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** An order to an engine; `action` is one of load, unload, load-adapter, unload-adapter, set-role. */
export type EngineOrder = {
  orderId: string
  /** Fencing token: the log offset of the order's intent record. */
  fence: number
  action: string
  model: string
  version: string
  adapter?: string
  role?: string
  weightsMiB?: number
  kvReserveMiB?: number
  sizeMiB?: number
}

/** An engine's answer to an order. */
export type OrderOutcome = {
  orderId: string
  /** `done`: in effect; `accepted`: in progress, see the engine's report; `stale-fence` and `refused`: no effect. */
  outcome: 'done' | 'accepted' | 'stale-fence' | 'refused'
  message?: string
  /** Id of the engine process that answered. */
  instance: string
}

/** State of an adapter in an engine's report. */
export type ReportedAdapter = { name: string, sizeMiB: number, state: 'loading' | 'resident' | 'unloading' }

/** State of a copy of a model in an engine's report. */
export type ReportedCopy = {
  model: string
  version: string
  weightsMiB: number
  kvReserveMiB: number
  state: 'loading' | 'resident' | 'unloading'
  adapters: ReportedAdapter[]
}

/** An engine's report of its own state, which may be stale by `ageMs`. */
export type EngineReport = {
  runner: string
  /** Id of the engine process; changes on a restart. */
  instance: string
  memoryMiB: number
  usedMiB: number
  role: string
  /** Highest fencing token that the engine has received; 0 if it doesn't check them. */
  highestFence: number
  copies: ReportedCopy[]
  running: number
  queued: number
  kvUsedMiB: number
  /** Age of the reported values when the report was sent, in milliseconds. */
  ageMs: number
  /** Recently answered orders, newest last. */
  recentOrders: { orderId: string, outcome: string }[]
}

/** A change to an engine's prefix cache. */
export type CacheEvent = { sequence: number, kind: 'stored' | 'evicted', model: string, prefixHash: string }

/** Events starting at a sequence number; a jump in `sequence` means that events are missing. */
export type CacheEventPage = { events: CacheEvent[], nextSequence: number }

/** Control interface of a model engine. Inference requests don't use it: the daemon forwards them with its own HTTP client. */
export abstract class EngineClient {
  /** Sends an order, without retries. `PlatformUnavailable` means that it may have taken effect or may still do so. */
  abstract order (runnerUrl: string, order: EngineOrder, signal?: AbortSignal): ResultAsync<OrderOutcome, Failure>

  abstract report (runnerUrl: string, signal?: AbortSignal): ResultAsync<EngineReport, Failure>

  abstract cacheEvents (runnerUrl: string, fromSequence: number, signal?: AbortSignal): ResultAsync<CacheEventPage, Failure>

  /** Cancels an attempt to run a request. `not-started` guarantees that the attempt never ran and never will. */
  abstract cancel (runnerUrl: string, attemptId: string, signal?: AbortSignal): ResultAsync<{ outcome: 'not-started' | 'stopped' | 'finished' | 'unknown' }, Failure>
}
