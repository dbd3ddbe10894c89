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
  /** On the monotonic clock; `undefined` uses the target of the route. */
  deadlineMs: number | undefined
  priority: Priority | undefined
  receivedMs: number
  /** Aborts when the caller disconnects. */
  signal: AbortSignal
  trace: Context
  /** Number of hosts that have forwarded the request, 0 if it came from the caller. */
  hops: number
}

/** Where an answer goes: the caller's connection, or the stream to the peer that forwarded the request. */
export abstract class AnswerSink {
  /** Whether status and headers have been written. */
  abstract get started (): boolean

  abstract writeHead (status: number, headers: HeaderFields): void

  /** Writes a part of the body; resolves when the reader is ready for more. */
  abstract write (bytes: Uint8Array | string): Promise<void>

  /** Marks the answer as complete. */
  abstract end (): void

  /** Sends a failure as the whole answer; if an answer has started, ends it so that the reader sees that it is incomplete. */
  abstract fail (failure: Failure): void
}
