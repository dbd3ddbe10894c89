import type { Ran } from '@figloom/runtime'

/** How an attempt or a whole request ended. */
export type Ending =
  /** Whole and own. */
  | { kind: 'answered', replayed: boolean }
  /** An error of figloom's own, as a body or as an event of a stream. */
  | { kind: 'refused', code: number, type: string, ran: Ran, status: number }
  /** No connection was made, so nothing was sent. */
  | { kind: 'unreachable' }
  /** The connection or the stream broke off without a word, or the answer had another form. */
  | { kind: 'failed', reason: string }
  /** Told as complete but lacks a part. */
  | { kind: 'partial' }
  /** Holds what belongs to another request. */
  | { kind: 'foreign' }

/** Times of an attempt in milliseconds on the clock. */
export type AttemptTimes = { firstTokenAtMs?: number, endedAtMs: number, tokens: number }

/** One attempt at one address. */
export type Attempt = { ending: Ending, times: AttemptTimes }

/** What a request came to. */
export type RequestOutcome = Attempt & {
  /** Sent to a second host after the first certainly did not run it. */
  movedOn: boolean
  /** Key of the call, if it had one. */
  key?: string
}
