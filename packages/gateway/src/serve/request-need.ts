/** What a request needs of its runner, and whether a stream that stalled may go on at another one. */
import { findCandidates, type Need } from '../choose/candidates.js'
import type { Progress } from './outcome.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** @param excluded ids of runners that the request is not to be sent to */
export function createNeed (context: ServeContext, { facts, service, route }: AcceptedRequest, excluded: ReadonlySet<string>): Need {
  return {
    service,
    model: service.engine === undefined ? undefined : facts.model,
    adapter: facts.adapter,
    excluded,
    hostCount: context.host.hostCount(),
    targetLatencyMs: route.targetLatencyMs,
    gate: (runner) => context.closures.gate(runner)
  }
}

/** What speaks for and against moving a stream; only where all of it does, its runner is left. */
export type MoveOutlook = { mayMove: boolean, mayRepeat: boolean, openRunners: number }

/** A move that is begun can't be taken back, so that a runner, an attempt and a repeat have to be there for it. */
export function moveOutlook (context: ServeContext, request: AcceptedRequest, excluded: ReadonlySet<string>, progress: Progress): MoveOutlook {
  const { runners, budget, host, clock } = context
  const nowMs = clock.monotonicMs()
  const { open } = findCandidates(runners, createNeed(context, request, excluded), nowMs)
  const mayRepeat = progress.runs + 1 < request.route.maxAttempts && !host.isLeaving() &&
    budget.mayTake(request.service.name, host.hostCount(), nowMs)
  const mayMove = mayRepeat && open.some(({ needsPermit }) => !needsPermit)
  return { mayMove, mayRepeat, openRunners: open.length }
}
