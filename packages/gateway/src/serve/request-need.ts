/** What a request needs of its runner, and whether a stalled stream may move to another one. */
import { findCandidates, type RequestRequirements } from '../choose/candidates.js'
import type { Candidate } from '../choose/choose-runner.js'
import { mayTryOthers, type Progress } from './outcome.js'
import type { StreamContinuity } from './stream-continuity.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** @param excluded ids of runners that the request must not be sent to */
export function createNeed (context: ServeContext, { facts, service, route }: AcceptedRequest, continuity: StreamContinuity, excluded: ReadonlySet<string>): RequestRequirements {
  return {
    service,
    model: service.engine === undefined ? undefined : facts.model,
    adapter: facts.adapter,
    acceptsVersion: (runner) => continuity.accepts(runner),
    continuesStream: continuity.softwareVersion !== undefined,
    excluded,
    hostCount: context.host.hostCount(),
    targetLatencyMs: route.targetLatencyMs,
    gate: (runner) => context.closures.gate(runner)
  }
}

/** Whether a stalled stream may move, and the facts behind that decision, which are logged with it. */
export type MoveAssessment = {
  mayMove: boolean
  mayRepeat: boolean
  openRunners: number
  /** Runners to which it may move. */
  candidates: Candidate[]
}

/**
 * A move needs a free runner, an attempt left under the route's limits and a retry left in the budget.
 * A runner that needs a permit doesn't count: it accepts few requests, and the move may be canceled.
 */
export function assessMove (context: ServeContext, request: AcceptedRequest, continuity: StreamContinuity, excluded: ReadonlySet<string>, progress: Progress): MoveAssessment {
  const { runners, budget, host, clock } = context
  const nowMs = clock.monotonicMs()
  const { open } = findCandidates(runners, createNeed(context, request, continuity, excluded), nowMs)
  const mayRepeat = progress.possibleRuns + 1 < request.route.maxAttempts && mayTryOthers(progress) && !host.isLeaving() &&
    budget.mayTake(request.service.name, host.hostCount(), nowMs)
  const candidates = open.filter(({ needsPermit }) => !needsPermit)
  return { mayMove: mayRepeat && candidates.length > 0, mayRepeat, openRunners: open.length, candidates }
}
