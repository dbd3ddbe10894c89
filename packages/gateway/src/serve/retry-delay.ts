/** After which delay a caller whose request could not be served is asked to retry. */
import type { ClosedRunner } from '../choose/candidates.js'
import { retryAfterFull, retryAfterClosed, retryAfterLoad, retryAfterMissing } from './retry-after.js'
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

/** For a request whose model no runner holds: the time until a load that is in progress, or could be ordered next, has ended. */
export function retryDelayWhenMissing ({ runners, loads, random }: ServeContext, { service, facts }: AcceptedRequest, timeLeftMs: number): number {
  const model = facts.model === undefined ? undefined : service.engine?.models.get(facts.model)
  const onDisk = model !== undefined && runners.usable(service.name).some(({ entry }) => entry.localWeights.includes(model.name))
  const readyInMs = model === undefined ? undefined : loads.readyInMs(service.name, model.name)
  return retryAfterMissing(model, onDisk, readyInMs, { timeLeftMs, random })
}

/** For a stream at whose version no runner holds the model: the time until a load there has ended, however long the caller has. */
export function retryDelayAtVersion ({ runners, loads, random }: ServeContext, { service, facts }: AcceptedRequest, softwareVersion: string): number {
  const model = facts.model === undefined ? undefined : service.engine?.models.get(facts.model)
  const entries = runners.usable(service.name).map(({ entry }) => entry).filter((entry) => entry.softwareVersion === softwareVersion)
  const onDisk = model !== undefined && entries.some(({ localWeights }) => localWeights.includes(model.name))
  const readyInMs = model === undefined ? undefined : loads.readyInMs(service.name, model.name, softwareVersion)
  return retryAfterLoad(model, { onDisk, readyInMs, freeInMs: loads.freeInMs(service.name, softwareVersion, entries.length) }, random)
}
