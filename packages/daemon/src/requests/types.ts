import type { Context, Failure } from '@figloom/runtime'
import type { Priority } from '@figloom/tables'

/** Header fields with lower-case names. */
export type HeaderFields = Record<string, string>

/** A caller's request, as this host received it from the caller or from a peer. */
export type CallerRequest = {
  id: string
  method: string
  /** Path with its query. */
  path: string
  headers: HeaderFields
  body: Buffer
  /** On the monotonic clock; `undefined` takes the route's target. */
  deadlineMs: number | undefined
  priority: Priority | undefined
  receivedMs: number
  /** Aborts when the caller goes away. */
  signal: AbortSignal
  trace: Context
  /** Hosts that the request has passed before this one. */
  hops: number
}

/** Where an answer goes: the caller's connection, or the stream to the peer that forwarded the request. */
export abstract class AnswerSink {
  /** Whether the head has been written. */
  abstract get started (): boolean

  abstract head (status: number, headers: HeaderFields): void

  /** Writes a part of the body; resolves when the reader has taken enough for more to be sent. */
  abstract write (bytes: Uint8Array | string): Promise<void>

  /** Ends a complete answer. */
  abstract end (): void

  /** Ends with a failure: as the whole answer, or as the visible break of one that has begun. */
  abstract fail (failure: Failure): void
}
