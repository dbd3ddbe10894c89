/** Why no runner can take a request that has not run, and when its caller may retry. */
import { ResultCode, type ResultCodeInfo } from '@figloom/runtime'
import type { CandidateSet } from '../choose/candidates.js'
import { retryDelayWhenMissing, retryDelayWhenClosed, retryDelayWhenFull } from './retry-delay.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type Refusal = { code: ResultCodeInfo, message: string, retryAfterMs: number }

export function createRefusal (context: ServeContext, request: AcceptedRequest, set: CandidateSet, timeLeftMs: number): Refusal {
  if (set.fullCount > 0) {
    return { code: ResultCode.Overloaded, message: 'all runners that could serve the request are full', retryAfterMs: retryDelayWhenFull(context, timeLeftMs) }
  }
  if (set.closed.length > 0) {
    const message = 'the runners that could serve the request accept no more requests for now'
    return { code: ResultCode.Overloaded, message, retryAfterMs: retryDelayWhenClosed(context, set.closed, timeLeftMs) }
  }
  return { code: ResultCode.NoRunner, message: 'no live runner can serve the request', retryAfterMs: retryDelayWhenMissing(context, request, timeLeftMs) }
}
