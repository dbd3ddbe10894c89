import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import type { RandomSource } from '../random/random-source.js'
import type { LogClient } from './types.js'

/** Exponential backoff with full jitter: the nth delay is a random share of `firstMs` × 2ⁿ, at most `maxMs`. */
export type Backoff = { firstMs: number, maxMs: number, random: RandomSource }

/** When to give up, and how to space the repeats. */
export type AppendUntilKnownOptions = {
  /** Monotonic time of the clock at which to give up. */
  deadlineMs: number
  backoff: Backoff
  signal?: AbortSignal
}

/** Where a record stands. */
export type AppendedRecord = {
  offset: number
  /**
   * True if an earlier attempt may have taken effect as well, so that the record may also stand at another offset, lower
   * or higher. Readers count the lowest; an author that needs it reads the stream.
   */
  mayBeRepeated: boolean
}

/** Delay before the repeat that follows attempt number `attempt`, counted from 0. */
export function backoffMs (backoff: Backoff, attempt: number): number {
  const ceilingMs = Math.min(backoff.maxMs, backoff.firstMs * 2 ** attempt)
  return ceilingMs * backoff.random.nextFraction()
}

/**
 * Appends under one record id until the log says where the record stands.
 *
 * Errors: `LogUnavailable` if the deadline passed and an attempt may have taken effect; `LogRejected` if the deadline
 * passed and none did; any other failure of an attempt ends the call at once.
 */
export function appendUntilKnown (
  log: LogClient,
  clock: Clock,
  stream: string,
  recordId: string,
  body: unknown,
  options: AppendUntilKnownOptions
): ResultAsync<AppendedRecord, Failure> {
  return new ResultAsync(repeatAppend(log, clock, stream, recordId, body, options))
}

async function repeatAppend (
  log: LogClient,
  clock: Clock,
  stream: string,
  recordId: string,
  body: unknown,
  options: AppendUntilKnownOptions
): Promise<Result<AppendedRecord, Failure>> {
  const abort = new AbortController()
  const onAbort = () => abort.abort()
  const timer = clock.setTimer(options.deadlineMs - clock.monotonicMs(), onAbort)
  options.signal?.addEventListener('abort', onAbort, { once: true })
  if (options.signal?.aborted) onAbort()
  let mayBeRepeated = false
  let last: Failure = createFailure(ResultCode.LogRejected, 'the deadline passed before the append was sent')
  try {
    for (let attempt = 0; !abort.signal.aborted && clock.monotonicMs() < options.deadlineMs; attempt += 1) {
      const result = await log.append(stream, recordId, body, abort.signal)
      if (result.isOk()) return ok({ offset: result.value.offset, mayBeRepeated })
      last = result.error
      if (!isRetryable(last)) return err(mayBeRepeated ? asUnknown(last) : last)
      mayBeRepeated ||= last.ran !== 'no'
      await clock.sleep(Math.max(last.retryAfterMs ?? 0, backoffMs(options.backoff, attempt)), abort.signal)
    }
    return err(mayBeRepeated ? asUnknown(last) : last)
  } finally {
    timer.cancel()
    options.signal?.removeEventListener('abort', onAbort)
  }
}

function isRetryable (failure: Failure): boolean {
  return failure.code.code === ResultCode.LogUnavailable.code || failure.code.code === ResultCode.LogRejected.code
}

function asUnknown (failure: Failure): Failure {
  return createFailure(ResultCode.LogUnavailable, failure.message)
}
