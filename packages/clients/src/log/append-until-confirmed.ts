import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import type { RandomSource } from '../random/random-source.js'
import type { LogClient } from './types.js'

/** Exponential backoff with full jitter: delay n is drawn uniformly from 0 to the lesser of `firstMs` × 2ⁿ and `maxMs`. */
export type Backoff = { firstMs: number, maxMs: number, random: RandomSource }

/** When to give up, and how long to wait between attempts. */
export type AppendUntilConfirmedOptions = {
  /** Monotonic time of the clock at which to give up. */
  deadlineMs: number
  backoff: Backoff
  signal?: AbortSignal
}

/** Position of an appended record. */
export type AppendedRecord = {
  offset: number
  /**
   * True if an earlier attempt may have taken effect as well, so that the stream may hold the record at a second offset,
   * lower or higher. Only the one at the lowest offset counts; an author that needs that offset reads the stream.
   */
  mayBeDuplicated: boolean
}

/** Delay before the retry that follows attempt number `attempt`, counted from 0. */
export function backoffMs (backoff: Backoff, attempt: number): number {
  const ceilingMs = Math.min(backoff.maxMs, backoff.firstMs * 2 ** attempt)
  return ceilingMs * backoff.random.nextFraction()
}

/**
 * Appends a record, with retries under the same record id, until the log confirms its offset.
 *
 * Errors: `LogUnavailable` if the deadline passed and an attempt may have taken effect; `LogRejected` if the deadline
 * passed and no attempt took effect; any other failure of an attempt is returned without a retry.
 */
export function appendUntilConfirmed (
  log: LogClient,
  clock: Clock,
  stream: string,
  recordId: string,
  body: unknown,
  options: AppendUntilConfirmedOptions
): ResultAsync<AppendedRecord, Failure> {
  return new ResultAsync(retryAppend(log, clock, stream, recordId, body, options))
}

async function retryAppend (
  log: LogClient,
  clock: Clock,
  stream: string,
  recordId: string,
  body: unknown,
  options: AppendUntilConfirmedOptions
): Promise<Result<AppendedRecord, Failure>> {
  const abort = new AbortController()
  const onAbort = () => abort.abort()
  const timer = clock.setTimer(options.deadlineMs - clock.monotonicMs(), onAbort)
  options.signal?.addEventListener('abort', onAbort, { once: true })
  if (options.signal?.aborted) onAbort()
  let mayBeDuplicated = false
  let last: Failure = createFailure(ResultCode.LogRejected, 'the deadline passed before the append was sent')
  try {
    for (let attempt = 0; !abort.signal.aborted && clock.monotonicMs() < options.deadlineMs; attempt += 1) {
      const result = await log.append(stream, recordId, body, abort.signal)
      if (result.isOk()) return ok({ offset: result.value.offset, mayBeDuplicated })
      last = result.error
      if (!isRetryable(last)) return err(mayBeDuplicated ? asUnknownOutcome(last) : last)
      mayBeDuplicated ||= last.ran !== 'no'
      await clock.sleep(Math.max(last.retryAfterMs ?? 0, backoffMs(options.backoff, attempt)), abort.signal)
    }
    return err(mayBeDuplicated ? asUnknownOutcome(last) : last)
  } finally {
    timer.cancel()
    options.signal?.removeEventListener('abort', onAbort)
  }
}

function isRetryable (failure: Failure): boolean {
  return failure.code.code === ResultCode.LogUnavailable.code || failure.code.code === ResultCode.LogRejected.code
}

function asUnknownOutcome (failure: Failure): Failure {
  return createFailure(ResultCode.LogUnavailable, failure.message)
}
