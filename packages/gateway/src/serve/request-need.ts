/** What a request needs of its runner, and whether a stalled stream may move to another one. */
import { findCandidates, type RequestRequirements } from '../choose/candidates.js'
import type { Progress } from './outcome.js'
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
export type MoveAssessment = { mayMove: boolean, mayRepeat: boolean, openRunners: number }

/**
 * A move can't be undone, so it needs a free runner, an attempt left under the route's limit and a retry left in the budget.
 * A runner that needs a permit doesn't count: the permit might be refused after the move.
 */
export function assessMove (context: ServeContext, request: AcceptedRequest, continuity: StreamContinuity, excluded: ReadonlySet<string>, progress: Progress): MoveAssessment {
  const { runners, budget, host, clock } = context
  const nowMs = clock.monotonicMs()
  const { open } = findCandidates(runners, createNeed(context, request, continuity, excluded), nowMs)
  const mayRepeat = progress.possibleRuns + 1 < request.route.maxAttempts && !host.isLeaving() &&
    budget.mayTake(request.service.name, host.hostCount(), nowMs)
  const mayMove = mayRepeat && open.some(({ needsPermit }) => !needsPermit)
  return { mayMove, mayRepeat, openRunners: open.length }
}
