import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** One record of a stream. Offsets rise by one within a stream, from 1. */
export type LogRecord = {
  offset: number
  /** Repeats of an append carry the same id; readers keep the first. */
  recordId: string
  /** JSON value. */
  body: unknown
}

/** Part of a stream. */
export type LogPage = {
  /** Oldest offset that the log still keeps. */
  firstOffset: number
  /** Offset that the next append will get. */
  nextOffset: number
  records: LogRecord[]
}

export type ReadOptions = {
  /** First offset wanted. */
  from: number
  /** How long the log may wait for a record at `from`, in milliseconds. */
  waitMs?: number
  limit?: number
  signal?: AbortSignal
}

/** The platform's append-only log. */
export abstract class LogClient {
  /**
   * Appends once. `LogUnavailable` means that the append may have taken effect: repeat it under the same id.
   * `LogRejected` means that it took none.
   */
  abstract append (stream: string, recordId: string, body: unknown, signal?: AbortSignal): ResultAsync<{ offset: number }, Failure>

  /** Reads from an offset. `LogTruncated` means that the offset is no longer kept. */
  abstract read (stream: string, options: ReadOptions): ResultAsync<LogPage, Failure>
}
