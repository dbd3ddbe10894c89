/** Refusals of requests that cannot be answered in time, each with when to come back. */
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { Room } from '../decider/runner-table.js'
import { targetKey, type RefuseDecision, type RouteRequest } from '../types.js'

const MIN_RETRY_AFTER_MS = 50
const NO_RUNNER_RETRY_MS = 1_000

/** Refuses what no wait can help: a deadline that passed, a model that no runner holds. */
export function refuseEarly (request: RouteRequest, room: Room, nowMs: number): RefuseDecision | undefined {
  if (nowMs >= request.deadlineMs) return refuse(createFailure(ResultCode.DeadlinePassed, 'deadline passed before the request was sent'))
  if (room.candidates.length > 0) return undefined
  const message = `no runner serves ${targetKey(request.target)} now`
  return refuse(createFailure(ResultCode.NoRunner, message, { retryAfterMs: NO_RUNNER_RETRY_MS }))
}

/** Refuses a request whose deadline is sooner than the expected wait. */
export function overloaded (expectedWaitMs: number): RefuseDecision {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs)
  return refuse(createFailure(ResultCode.Overloaded, 'the deadline cannot be met at the present load', { retryAfterMs }))
}

/** Refuses a request of a route that has its share of waiting requests. */
export function overShare (request: RouteRequest, expectedWaitMs: number): RefuseDecision {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs)
  return refuse(createFailure(ResultCode.RateLimited, `route ${request.route} has its share of waiting requests`, { retryAfterMs }))
}

/** Least time to a first token if a place were free at once. */
export function leastFirstTokenMs (room: Room, request: RouteRequest): number {
  let least = Infinity
  for (const candidate of room.candidates) {
    const ownTokens = Math.max(0, request.promptTokens - candidate.cachedTokens)
    least = Math.min(least, candidate.roundTripMs + candidate.stepMs + ownTokens * candidate.prefillMsPerToken)
  }
  return least
}

function refuse (failure: Failure): RefuseDecision {
  return { kind: 'refuse', failure }
}
