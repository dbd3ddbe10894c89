/** After which delay a caller whose request could not be served is asked to retry. */
import { MIN_QUEUEABLE_TARGET_MS, type CandidateSet, type ClosedRunner } from '../choose/candidates.js'
import { urgencyOf } from './request-hints.js'
import { retryAfterFull, retryAfterClosed, retryAfterLoad, retryAfterMissing } from './retry-after.js'
import { DEFAULT_HOLD_MS } from './demand-meter.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** For a request whose possible runners are all full. */
export function retryDelayWhenFull ({ random }: ServeContext, timeLeftMs: number): number {
  return retryAfterFull({ timeLeftMs, random })
}

/** For a request whose possible runners have all signaled that they take no more for now: the time until the first may accept again. */
export function retryDelayWhenClosed ({ random }: ServeContext, closed: readonly ClosedRunner[], timeLeftMs: number): number {
  const opensInMs = Math.min(...closed.map((runner) => runner.opensInMs))
  return retryAfterClosed(opensInMs, { timeLeftMs, random })
}

/** For a request for a model whose runners are all full: when a place is expected to be free for this caller. */
export function retryDelayForRoom (context: ServeContext, request: AcceptedRequest, set: CandidateSet, timeLeftMs: number): number {
  const { clock, host, waiting, random } = context
  const placesPerS = placesPerSecond(context, request, set)
  if (placesPerS === undefined) return retryAfterFull({ timeLeftMs, random })
  const urgency = urgencyOf(request.route, request.customer)
  return waiting.returns.delayMs({ pool: poolOf(request), urgency, timeLeftMs, opensInMs: 0, placesPerS, hostCount: host.hostCount(), random }, clock.monotonicMs())
}

/** Requests of the same pool need the same runners, and find them full at the same load. */
export function poolOf ({ service, route, facts }: AcceptedRequest): string {
  if (service.engine === undefined) return service.name
  return `${service.name}\n${facts.model ?? ''}\n${route.targetLatencyMs > MIN_QUEUEABLE_TARGET_MS ? 'patient' : ''}`
}

/** Places that come free at the full runners, for all hosts together; undefined where it isn't known how long requests take. */
function placesPerSecond ({ demand }: ServeContext, { service, facts }: AcceptedRequest, { fullSlots }: CandidateSet): number | undefined {
  const holdMs = service.engine === undefined || facts.model === undefined ? undefined : demand.holdMs(service.name, facts.model)
  return holdMs === undefined || fullSlots === 0 ? undefined : fullSlots * 1_000 / holdMs
}

/** For a request whose model no runner holds: the time until a load that is in progress, or could be ordered next, has ended. */
export function retryDelayWhenMissing (context: ServeContext, request: AcceptedRequest, timeLeftMs: number): number {
  const { clock, demand, host, runners, loads, waiting, random } = context
  const { service, facts, route, customer } = request
  const model = facts.model === undefined ? undefined : service.engine?.models.get(facts.model)
  const onDisk = model !== undefined && runners.usable(service.name).some(({ entry }) => entry.localWeights.includes(model.name))
  const readyInMs = model === undefined ? undefined : loads.readyInMs(service.name, model.name)
  if (service.engine === undefined || model === undefined) return retryAfterMissing(model, onDisk, readyInMs, { timeLeftMs, random })
  const opensInMs = retryAfterLoad(model, { onDisk, readyInMs, freeInMs: 0 }, () => 0)
  const placesPerS = service.engine.slots * 1_000 / (demand.holdMs(service.name, model.name) ?? DEFAULT_HOLD_MS)
  return waiting.returns.delayMs({ pool: poolOf(request), urgency: urgencyOf(route, customer), timeLeftMs, opensInMs, placesPerS, hostCount: host.hostCount(), random }, clock.monotonicMs())
}

/** For a stream at whose version no runner holds the model: the time until a load there has ended, however long the caller has. */
export function retryDelayAtVersion ({ runners, loads, random }: ServeContext, { service, facts }: AcceptedRequest, softwareVersion: string): number {
  const model = facts.model === undefined ? undefined : service.engine?.models.get(facts.model)
  const entries = runners.usable(service.name).map(({ entry }) => entry).filter((entry) => entry.softwareVersion === softwareVersion)
  const onDisk = model !== undefined && entries.some(({ localWeights }) => localWeights.includes(model.name))
  const readyInMs = model === undefined ? undefined : loads.readyInMs(service.name, model.name, softwareVersion)
  return retryAfterLoad(model, { onDisk, readyInMs, freeInMs: loads.freeInMs(service.name, softwareVersion, entries.length) }, random)
}
