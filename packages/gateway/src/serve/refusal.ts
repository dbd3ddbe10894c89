/** Why no runner can take a request that has not run, and when its caller may come back. */
import { ResultCode, type ResultCodeInfo } from '@figloom/runtime'
import type { CandidateSet } from '../choose/candidates.js'
import { retryWhenLoaded, retryWhenOpen, retryWhenRoom } from './retry-advice.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type Refusal = { code: ResultCodeInfo, message: string, retryAfterMs: number }

export function refusalOf (context: ServeContext, request: AcceptedRequest, set: CandidateSet, timeLeftMs: number): Refusal {
  if (set.fullCount > 0) {
    return { code: ResultCode.Overloaded, message: 'all runners that could serve the request are full', retryAfterMs: retryWhenRoom(context, timeLeftMs) }
  }
  if (set.closed.length > 0) {
    const message = 'the runners that could serve the request take no more for now'
    return { code: ResultCode.Overloaded, message, retryAfterMs: retryWhenOpen(context, set.closed, timeLeftMs) }
  }
  return { code: ResultCode.NoRunner, message: 'no live runner can serve the request', retryAfterMs: retryWhenLoaded(context, request, timeLeftMs) }
}
