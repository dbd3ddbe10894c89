import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** An order to an engine; `action` is one of load, unload, load-adapter, unload-adapter, set-role. */
export type EngineOrder = {
  orderId: string
  /** Fencing number: the offset of the order's own intent. */
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
  /** `done`: in effect; `accepted`: under way, see the report; `stale-fence` and `refused`: no effect. */
  outcome: 'done' | 'accepted' | 'stale-fence' | 'refused'
  message?: string
  /** Process of the engine that answered. */
  instance: string
}

/** An adapter in an engine's report. */
export type ReportedAdapter = { name: string, sizeMiB: number, state: 'loading' | 'resident' | 'unloading' }

/** A copy in an engine's report. */
export type ReportedCopy = {
  model: string
  version: string
  weightsMiB: number
  kvReserveMiB: number
  state: 'loading' | 'resident' | 'unloading'
  adapters: ReportedAdapter[]
}

/** An engine's report of itself, which may lag. */
export type EngineReport = {
  runner: string
  /** Changes when the engine's process is replaced. */
  instance: string
  memoryMiB: number
  usedMiB: number
  role: string
  /** Highest fencing number that the engine has seen; 0 when it ignores them. */
  highestFence: number
  copies: ReportedCopy[]
  running: number
  queued: number
  kvUsedMiB: number
  /** Age of the figures in milliseconds when the report was sent. */
  ageMs: number
  /** Orders answered lately, newest last. */
  recentOrders: { orderId: string, outcome: string }[]
}

/** A change of an engine's prefix cache. */
export type CacheEvent = { sequence: number, kind: 'stored' | 'evicted', model: string, prefixHash: string }

/** Events from a sequence number on; a jump in `sequence` is a gap. */
export type CacheEventPage = { events: CacheEvent[], nextSequence: number }

/** Control interface of a model engine. Requests to it are sent by the daemon's own HTTP client. */
export abstract class EngineClient {
  /** Sends an order once. `PlatformUnavailable` means that it may have taken effect, now or later. */
  abstract order (runnerUrl: string, order: EngineOrder, signal?: AbortSignal): ResultAsync<OrderOutcome, Failure>

  abstract report (runnerUrl: string, signal?: AbortSignal): ResultAsync<EngineReport, Failure>

  abstract cacheEvents (runnerUrl: string, fromSequence: number, signal?: AbortSignal): ResultAsync<CacheEventPage, Failure>

  /** Cancels an attempt. `not-started` is the engine's word that it never ran and never will. */
  abstract cancel (runnerUrl: string, attemptId: string, signal?: AbortSignal): ResultAsync<{ outcome: 'not-started' | 'stopped' | 'finished' | 'unknown' }, Failure>
}
