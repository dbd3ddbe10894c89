/** Refusals of requests that cannot be answered in time. Those that a retry may help say when to retry. */
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { AvailableRunners } from '../decider/runner-table.js'
import { targetKey, type RefuseDecision, type RouteRequest } from '../types.js'

const MIN_RETRY_AFTER_MS = 50
const NO_RUNNER_RETRY_MS = 1_000

/** Refuses a request that waiting cannot help: its deadline has passed, or no runner holds its model. */
export function refuseEarly (request: RouteRequest, available: AvailableRunners, nowMs: number): RefuseDecision | undefined {
  if (nowMs >= request.deadlineMs) return refuse(createFailure(ResultCode.DeadlinePassed, 'deadline passed before the request was sent'))
  if (available.candidates.length > 0) return undefined
  const message = `no runner currently serves ${targetKey(request.target)}`
  return refuse(createFailure(ResultCode.NoRunner, message, { retryAfterMs: NO_RUNNER_RETRY_MS }))
}

/** Refuses a request whose deadline is sooner than the expected wait. */
export function refuseOverloaded (expectedWaitMs: number): RefuseDecision {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs)
  return refuse(createFailure(ResultCode.Overloaded, 'the deadline cannot be met at the current load', { retryAfterMs }))
}

/** Refuses a request of a route that already has the maximum number of waiting requests. */
export function refuseOverShare (request: RouteRequest, expectedWaitMs: number): RefuseDecision {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs)
  return refuse(createFailure(ResultCode.RateLimited, `route ${request.route} has too many waiting requests`, { retryAfterMs }))
}

/** Minimum time to the first token if a slot were free now. */
export function minFirstTokenMs (available: AvailableRunners, request: RouteRequest): number {
  let least = Infinity
  for (const candidate of available.candidates) {
    const ownTokens = Math.max(0, request.promptTokens - candidate.cachedTokens)
    least = Math.min(least, candidate.roundTripMs + candidate.stepMs + ownTokens * candidate.prefillMsPerToken)
  }
  return least
}

function refuse (failure: Failure): RefuseDecision {
  return { kind: 'refuse', failure }
}
