/** Rules for which failed attempts may be retried. */
import { Ran, ResultCode, type Failure } from '@figloom/runtime'
import type { RouteRequest } from '../types.js'

/** Retry from the start, resume after the tokens already delivered, or return the failure to the caller. */
export const RetryAction = { Retry: 'repeat', Resume: 'resume', GiveUp: 'give-up' } as const
export type RetryAction = (typeof RetryAction)[keyof typeof RetryAction]

const MAX_ATTEMPTS = 3

/**
 * Decides on a failed attempt. A request that must not run twice is retried only if the failure shows that it did not
 * run. An idempotent stream that was interrupted is resumed after the tokens already delivered.
 */
export function decideRetry (request: RouteRequest, failure: Failure, progress: { attempts: number, tokens: number }): RetryAction {
  if (failure.code === ResultCode.Canceled) return RetryAction.GiveUp
  if (failure.code.code < ResultCode.NotReady.code) return RetryAction.GiveUp
  if (progress.attempts >= MAX_ATTEMPTS) return RetryAction.GiveUp
  if (failure.ran === Ran.No && progress.tokens === 0) return RetryAction.Retry
  if (!request.idempotent) return RetryAction.GiveUp
  return progress.tokens > 0 ? RetryAction.Resume : RetryAction.Retry
}
