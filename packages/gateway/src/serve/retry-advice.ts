/** When a caller whose request could not be served is told to come back. */
import { retryAfterFull, retryAfterLimited, retryAfterMissing } from './retry-after.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** All runners that could serve it are full. */
export function retryWhenRoom ({ random }: ServeContext, timeLeftMs: number): number {
  return retryAfterFull({ timeLeftMs, random })
}

/** All runners that could serve it are closed by the limits that they name; the first may open in `opensInMs`. */
export function retryWhenOpen ({ random }: ServeContext, opensInMs: number, timeLeftMs: number): number {
  return retryAfterLimited(opensInMs, { timeLeftMs, random })
}

/** No runner holds its model: behind the load that is under way, or that may be ordered next. */
export function retryWhenLoaded ({ runners, loads, random }: ServeContext, { service, facts }: AcceptedRequest, timeLeftMs: number): number {
  const model = facts.model === undefined ? undefined : service.engine?.models.get(facts.model)
  const onDisk = model !== undefined && runners.usable(service.name).some(({ entry }) => entry.localWeights.includes(model.name))
  const readyInMs = model === undefined ? undefined : loads.readyInMs(service.name, model.name)
  return retryAfterMissing(model, onDisk, readyInMs, { timeLeftMs, random })
}
