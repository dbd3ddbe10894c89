/** One attempt to send a request to a runner and receive its answer, on whichever path. */
import type { RawHeaders } from './types.js'

/** The request as it is written to the runner. */
export type AttemptRequest = {
  id: string
  method: string
  /** Path and query, unchanged. */
  target: string
  headers: RawHeaders
  body: Buffer | undefined
}

/** The stage at which an attempt failed. */
export const FailureStage = {
  /** No connection was opened and no byte sent: the runner can't have run the request. */
  Connect: 'connect',
  /** Withdrawn by the observer after the connection was opened; no byte was sent. */
  Withdrawn: 'withdrawn',
  /** The request was sent; no answer was received. */
  Sent: 'sent',
  /** The answer was interrupted. */
  Answer: 'answer'
} as const
export type FailureStage = (typeof FailureStage)[keyof typeof FailureStage]

/** Where an attempt failed. */
export const FaultAt = {
  /** At the runner, or on the connection to it. */
  Runner: 'runner',
  /** On the way to the runner: the host that passes the request on failed, or this host is cut off from the runner. */
  Path: 'path'
} as const
export type FaultAt = (typeof FaultAt)[keyof typeof FaultAt]

/** How to go on with the rest of an answer. */
export const Flow = {
  Continue: 'continue',
  /** Reading stops until `resume` is called. */
  Pause: 'pause',
  /** The rest is read within bounds and discarded, so that the connection can be reused. The observer isn't called again. */
  Skip: 'skip',
  /** The connection is closed. The observer isn't called again. */
  Close: 'close'
} as const
export type Flow = (typeof Flow)[keyof typeof Flow]

/** Receives the parts of an answer in order. The last call is `onEnd` or `onFailure`, unless the rest is skipped or the attempt is closed. */
export abstract class AttemptObserver {
  /** The head of the answer was the runner's statement that it didn't run the request. */
  get refused (): boolean {
    return false
  }

  /** Called just before the request is written to the runner, or to the host that passes it on. Returning false withdraws the attempt. */
  abstract beforeWrite (): boolean
  abstract onHead (status: number, headers: RawHeaders): Flow
  /** A chunk of the body. */
  abstract onData (chunk: Buffer): Flow
  abstract onEnd (): void
  abstract onFailure (stage: FailureStage, error: Error, at: FaultAt): void
}

/** Bytes of a skipped answer that are read so that its connection can be reused; beyond that it is closed. */
export const MAX_SKIPPED_BYTES = 65_536
/** The same limit as a time. */
export const MAX_SKIP_MS = 1_000

/** Handle of an attempt in progress. */
export abstract class Attempt {
  /** A byte of the request may have reached the runner. */
  abstract get sent (): boolean
  /** Cancels the attempt. Its connection is closed and the observer isn't called again. */
  abstract cancel (): void
  /** Resumes reading of a paused body. */
  abstract resume (): void
}
