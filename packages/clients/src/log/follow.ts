import { ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { backoffMs, type Backoff } from './append-until-confirmed.js'
import { RecentIds } from './recent-ids.js'
import type { LogClient, LogPage, LogRecord } from './types.js'

/** Default number of offsets within which duplicates are detected; see `RecentIds` for how to size it. */
export const DEFAULT_DUPLICATE_SPAN_OFFSETS = 16_384
const DEFAULT_WAIT_MS = 10_000
const DEFAULT_LIMIT = 500
const DEFAULT_EMPTY_PAUSE_MS = 20

/** Callbacks of a reader. If one returns a promise, the next read starts after it has resolved. */
export type FollowHandlers = {
  /** Called once for each record in order of offset, without duplicates. */
  onRecord: (record: LogRecord) => void | Promise<void>
  /** Called after each page; the reader has caught up if `next` equals `page.nextOffset`. */
  onPage?: (page: { firstOffset: number, nextOffset: number }, next: number) => void | Promise<void>
  /**
   * The log no longer retains offset `from`, so records were missed. Returns the offset to continue from (after loading a
   * snapshot), or undefined to stop.
   */
  onTruncated: (from: number, failure: Failure) => number | undefined | Promise<number | undefined>
  /** The read failed; the reader retries after a backoff. */
  onFailure?: (failure: Failure) => void
}

/** Options of a reader. */
export type FollowOptions = {
  backoff: Backoff
  signal: AbortSignal
  /** First offset passed to `onRecord`; earlier records, starting at `from`, are only used to detect duplicates. */
  deliverFrom?: number
  /** How long the log may wait for a record before it answers with an empty page, in milliseconds. */
  waitMs?: number
  limit?: number
  spanOffsets?: number
  /** Pause after a read without progress, in milliseconds, in case the log answers such reads at once. */
  emptyPauseMs?: number
}

/**
 * Follows a stream by long polling until the signal aborts or `onTruncated` returns undefined.
 * A reader that starts in the middle of a stream detects all duplicates only if `from` is at least `spanOffsets` before
 * `deliverFrom`. An error thrown by a handler rejects the promise.
 */
export async function follow (
  log: LogClient,
  clock: Clock,
  stream: string,
  from: number,
  handlers: FollowHandlers,
  options: FollowOptions
): Promise<void> {
  const spanOffsets = options.spanOffsets ?? DEFAULT_DUPLICATE_SPAN_OFFSETS
  const emptyPauseMs = options.emptyPauseMs ?? DEFAULT_EMPTY_PAUSE_MS
  let recentIds = RecentIds.create(spanOffsets)
  let deliverFrom = options.deliverFrom ?? from
  let next = from
  let failures = 0
  while (!options.signal.aborted) {
    const result = await log.read(stream, {
      from: next, waitMs: options.waitMs ?? DEFAULT_WAIT_MS, limit: options.limit ?? DEFAULT_LIMIT, signal: options.signal
    })
    if (options.signal.aborted) return
    if (result.isOk()) {
      failures = 0
      const before = next
      next = await deliverPage(result.value, next, deliverFrom, recentIds, handlers, options.signal)
      await handlers.onPage?.({ firstOffset: result.value.firstOffset, nextOffset: result.value.nextOffset }, next)
      if (next === before) await clock.sleep(emptyPauseMs, options.signal)
    } else if (result.error.code.code === ResultCode.LogTruncated.code) {
      const resumed = await handlers.onTruncated(next, result.error)
      if (resumed === undefined) return
      recentIds = RecentIds.create(spanOffsets)
      next = resumed
      deliverFrom = Math.max(deliverFrom, resumed)
      await clock.sleep(emptyPauseMs, options.signal)
    } else {
      handlers.onFailure?.(result.error)
      await clock.sleep(Math.max(result.error.retryAfterMs ?? 0, backoffMs(options.backoff, failures++)), options.signal)
    }
  }
}

/** Passes the records of a page to `onRecord`; returns the offset to read next. */
async function deliverPage (
  page: LogPage,
  from: number,
  deliverFrom: number,
  recentIds: RecentIds,
  handlers: FollowHandlers,
  signal: AbortSignal
): Promise<number> {
  let next = from
  for (const record of page.records) {
    if (signal.aborted || record.offset !== next) return next
    next += 1
    const duplicate = recentIds.isDuplicate(record.offset, record.recordId)
    if (!duplicate && record.offset >= deliverFrom) await handlers.onRecord(record)
  }
  return next
}
