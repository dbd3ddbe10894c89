/** Why no runner can take a request that has not run, and when its caller may retry. */
import { ResultCode, type ResultCodeInfo } from '@figloom/runtime'
import type { CandidateSet } from '../choose/candidates.js'
import { retryDelayAtVersion, retryDelayWhenMissing, retryDelayForRoom, retryDelayWhenClosed } from './retry-delay.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type Refusal = { code: ResultCodeInfo, message: string, retryAfterMs: number }

/** @param softwareVersion version that the request is bound to, as it continues a stream */
export function createRefusal (context: ServeContext, request: AcceptedRequest, set: CandidateSet, timeLeftMs: number, softwareVersion?: string): Refusal {
  if (set.fullCount > 0) {
    return { code: ResultCode.Overloaded, message: 'all runners that could serve the request are full', retryAfterMs: retryDelayForRoom(context, request, set, timeLeftMs) }
  }
  if (set.closed.length > 0) {
    const message = 'the runners that could serve the request accept no more requests for now'
    return { code: ResultCode.Overloaded, message, retryAfterMs: retryDelayWhenClosed(context, set.closed, timeLeftMs) }
  }
  if (softwareVersion !== undefined) {
    const message = `no live runner of version ${softwareVersion}, which began the stream, can serve the request`
    return { code: ResultCode.NoRunner, message, retryAfterMs: retryDelayAtVersion(context, request, softwareVersion) }
  }
  return { code: ResultCode.NoRunner, message: 'no live runner can serve the request', retryAfterMs: retryDelayWhenMissing(context, request, timeLeftMs) }
}
