import { ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { backoffMs, type Backoff } from './append-until-known.js'
import { RecentIds } from './recent-ids.js'
import type { LogClient, LogPage, LogRecord } from './types.js'

/** Default number of offsets in which repeats are found; see `RecentIds` for the span that is needed. */
export const DEFAULT_REPEAT_SPAN_OFFSETS = 16_384
const DEFAULT_WAIT_MS = 10_000
const DEFAULT_LIMIT = 500
const DEFAULT_EMPTY_PAUSE_MS = 20

/** What the owner of a reader does with what it reads. The next read waits for the promise. */
export type FollowHandlers = {
  /** Called once for each record in order of offset, without repeats. */
  onRecord: (record: LogRecord) => void | Promise<void>
  /** Called after each page; the reader has caught up if `next` equals `page.nextOffset`. */
  onPage?: (page: { firstOffset: number, nextOffset: number }, next: number) => void | Promise<void>
  /**
   * The log no longer keeps offset `from`: records were missed. Returns the offset to go on from (from a snapshot), or
   * undefined to end.
   */
  onTruncated: (from: number, failure: Failure) => number | undefined | Promise<number | undefined>
  /** The log did not answer; the reader repeats after a backoff. */
  onFailure?: (failure: Failure) => void
}

/** How to read. */
export type FollowOptions = {
  backoff: Backoff
  signal: AbortSignal
  /** First offset given to `onRecord`; those before it, from `from` on, only serve to tell repeats. */
  deliverFrom?: number
  /** How long the log may hold a read that finds nothing, in milliseconds. */
  waitMs?: number
  limit?: number
  spanOffsets?: number
  /** Pause after a read without progress, in milliseconds, in case the log does not hold reads. */
  emptyPauseMs?: number
}

/**
 * Follows a stream by long polls until the signal aborts or the owner ends it.
 * A reader that starts in the middle tells repeats of what stands before `from` only if `from` lies a span before
 * `deliverFrom`. Errors thrown by a handler reject the promise.
 */
export async function follow (
  log: LogClient,
  clock: Clock,
  stream: string,
  from: number,
  handlers: FollowHandlers,
  options: FollowOptions
): Promise<void> {
  const spanOffsets = options.spanOffsets ?? DEFAULT_REPEAT_SPAN_OFFSETS
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

/** Gives the records of a page to the owner; returns the offset to read next. */
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
    const repeat = recentIds.isRepeat(record.offset, record.recordId)
    if (!repeat && record.offset >= deliverFrom) await handlers.onRecord(record)
  }
  return next
}
