import type { PlannedRequest } from '../plan/plan.js'
import { attemptRequest, keyOf, type AttemptContext } from './attempt.js'
import type { LookupCache } from './lookup.js'
import type { Attempt, Ending, RequestOutcome } from './types.js'

const NOT_RUN_STATUS = 503

/**
 * Behaves like a caller: looks up addresses, sends the request to the first one, and fails over to the second if the
 * first certainly did not run the request.
 */
export async function callOnce (context: AttemptContext, lookup: LookupCache, planned: PlannedRequest): Promise<RequestOutcome> {
  const { route } = planned
  const key = route.kind === 'service' && route.keyed ? { key: keyOf(planned) } : {}
  if (route.direct !== undefined) {
    const attempt = await attemptRequest(context, planned, route.direct.url.replace(/\/$/, ''))
    return { ...attempt, failedOver: false, ...key }
  }
  const name = route.kind === 'chat' ? 'model' : 'service'
  const [first, second] = await lookup.find(name, route.name)
  if (first === undefined) return { ...noAddressAttempt(context), failedOver: false, ...key }
  const attempt = await attemptRequest(context, planned, first)
  if (!mayFailOver(attempt.ending)) return { ...attempt, failedOver: false, ...key }
  lookup.invalidate(name, route.name)
  if (second === undefined) return { ...attempt, failedOver: false, ...key }
  return { ...await attemptRequest(context, planned, second), failedOver: true, ...key }
}

function mayFailOver (ending: Ending): boolean {
  if (ending.kind === 'unreachable') return true
  return ending.kind === 'refused' && ending.status === NOT_RUN_STATUS && ending.ran === 'no'
}

function noAddressAttempt (context: AttemptContext): Attempt {
  return { ending: { kind: 'failed', reason: 'no address from lookup' }, times: { endedAtMs: context.clock.monotonicMs(), tokens: 0 } }
}
