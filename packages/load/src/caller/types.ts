import type { Ran } from '@figloom/runtime'

/** How an attempt, or a request with all its attempts, ended. */
export type Ending =
  /** Complete, and the expected answer to this request. */
  | { kind: 'answered', replayed: boolean }
  /** An error that figloom generated, as a body or as an event of a stream. */
  | { kind: 'refused', code: number, type: string, ran: Ran, status: number }
  /** No connection was made, so nothing was sent. */
  | { kind: 'unreachable' }
  /** The connection or stream broke off without an error message, or the answer had an unexpected body. */
  | { kind: 'failed', reason: string }
  /** Marked as complete, but a part is missing. */
  | { kind: 'partial' }
  /** Contains content that belongs to another request. */
  | { kind: 'foreign' }

/** Times of an attempt, in milliseconds on the monotonic clock. */
export type AttemptTimes = { firstTokenAtMs?: number, endedAtMs: number, tokens: number }

/** Result of one attempt at one address. */
export type Attempt = { ending: Ending, times: AttemptTimes }

/** Final result of a request. */
export type RequestOutcome = Attempt & {
  /** Whether it was sent to a second host after the first certainly did not run it. */
  failedOver: boolean
  /** Idempotency key of a service call, if it had one. */
  key?: string
}
