/** Remembers since when callers of a model have found no copy of it. Times are monotonic milliseconds. */
import type { ModelDemand } from './demand-forecast.js'
import type { PlannedRunner } from './plan-models.js'

export class MissingCopies {
  /** Since when each model of a service has been missing. */
  readonly #services = new Map<string, Map<string, number>>()

  private constructor () {}

  static create (): MissingCopies {
    return new MissingCopies()
  }

  /** Brings the record up to date; answers how long each model of the service has been missing, in milliseconds. */
  update (service: string, demand: ReadonlyMap<string, ModelDemand>, runners: readonly PlannedRunner[], nowMs: number): Map<string, number> {
    const held = new Set(runners.flatMap(({ models, loading }) => loading === undefined ? models : [...models, loading]))
    const before = this.#services.get(service)
    const since = new Map<string, number>()
    for (const [model, { nowPlaces }] of demand) {
      if (nowPlaces > 0 && !held.has(model)) since.set(model, before?.get(model) ?? nowMs)
    }
    this.#services.set(service, since)
    return new Map([...since].map(([model, sinceMs]) => [model, nowMs - sinceMs]))
  }
}
