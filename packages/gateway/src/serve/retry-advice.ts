/** When a caller whose request could not be served is told to come back. */
import type { ClosedRunner } from '../choose/candidates.js'
import { retryAfterFull, retryAfterLimited, retryAfterMissing } from './retry-after.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** All runners that could serve it are full. */
export function retryWhenRoom ({ random }: ServeContext, timeLeftMs: number): number {
  return retryAfterFull({ timeLeftMs, random })
}

/** All runners that could serve it are closed by what they said: when the first may open. */
export function retryWhenOpen ({ random }: ServeContext, closed: readonly ClosedRunner[], timeLeftMs: number): number {
  const opensInMs = Math.min(...closed.map((runner) => runner.opensInMs))
  return retryAfterLimited(opensInMs, { timeLeftMs, random })
}

/** No runner holds its model: behind the load that is under way, or that may be ordered next. */
export function retryWhenLoaded ({ runners, loads, random }: ServeContext, { service, facts }: AcceptedRequest, timeLeftMs: number): number {
  const model = facts.model === undefined ? undefined : service.engine?.models.get(facts.model)
  const onDisk = model !== undefined && runners.usable(service.name).some(({ entry }) => entry.localWeights.includes(model.name))
  const readyInMs = model === undefined ? undefined : loads.readyInMs(service.name, model.name)
  return retryAfterMissing(model, onDisk, readyInMs, { timeLeftMs, random })
}
