/** Which failures may be tried again on another runner. */
import { Ran, ResultCode, type Failure } from '@figloom/runtime'
import type { RouteRequest } from '../types.js'

/** Repeat from the start, resume behind the tokens already delivered, or give the failure to the caller. */
export const RetryAction = { Repeat: 'repeat', Resume: 'resume', GiveUp: 'give-up' } as const
export type RetryAction = (typeof RetryAction)[keyof typeof RetryAction]

const MAX_ATTEMPTS = 3

/**
 * Decides on a failed attempt. A request that may not run twice is repeated only if the failure says that it
 * certainly did not run. An idempotent stream that broke off is resumed after the tokens already delivered.
 */
export function decideRetry (request: RouteRequest, failure: Failure, progress: { attempts: number, tokens: number }): RetryAction {
  if (failure.code === ResultCode.Canceled) return RetryAction.GiveUp
  if (failure.code.code < ResultCode.NotReady.code) return RetryAction.GiveUp
  if (progress.attempts >= MAX_ATTEMPTS) return RetryAction.GiveUp
  if (failure.ran === Ran.No && progress.tokens === 0) return RetryAction.Repeat
  if (!request.idempotent) return RetryAction.GiveUp
  return progress.tokens > 0 ? RetryAction.Resume : RetryAction.Repeat
}
