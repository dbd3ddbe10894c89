import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** A record of a stream. The offsets of a stream are consecutive and start at 1. */
export type LogRecord = {
  offset: number
  /** Retries of an append carry the same id; readers use the first record with an id and ignore the others. */
  recordId: string
  /** JSON value. */
  body: unknown
}

/** Part of a stream. */
export type LogPage = {
  /** Oldest offset that the log still retains. */
  firstOffset: number
  /** Offset that the next append will get. */
  nextOffset: number
  records: LogRecord[]
}

export type ReadOptions = {
  /** First offset to read. */
  from: number
  /** How long the log may wait for a record at `from`, in milliseconds. */
  waitMs?: number
  limit?: number
  signal?: AbortSignal
}

/** The platform's append-only log. */
export abstract class LogClient {
  /**
   * Appends a record, without retries. `LogUnavailable` means that the append may have taken effect: retry it under the
   * same id. `LogRejected` means that it took no effect.
   */
  abstract append (stream: string, recordId: string, body: unknown, signal?: AbortSignal): ResultAsync<{ offset: number }, Failure>

  /** Reads from an offset. `LogTruncated` means that the offset is no longer retained. */
  abstract read (stream: string, options: ReadOptions): ResultAsync<LogPage, Failure>
}
