/** Tracks since when models that are requested have had no copy on any runner. Times are monotonic milliseconds. */
import type { ModelDemand } from './demand-forecast.js'
import type { PlannedRunner } from './plan-models.js'

export class MissingCopies {
  /** By service, then by model: the time since which the model has had no copy. */
  readonly #missingSinceMs = new Map<string, Map<string, number>>()

  private constructor () {}

  static create (): MissingCopies {
    return new MissingCopies()
  }

  /** Updates the models of a service; returns for each one without a copy how long it has been missing, in milliseconds. */
  update (service: string, demand: ReadonlyMap<string, ModelDemand>, runners: readonly PlannedRunner[], nowMs: number): Map<string, number> {
    const held = new Set(runners.flatMap(({ models, loading }) => loading === undefined ? models : [...models, loading]))
    const previous = this.#missingSinceMs.get(service)
    const since = new Map<string, number>()
    for (const [model, { currentSlots }] of demand) {
      if (currentSlots > 0 && !held.has(model)) since.set(model, previous?.get(model) ?? nowMs)
    }
    this.#missingSinceMs.set(service, since)
    return new Map([...since].map(([model, sinceMs]) => [model, nowMs - sinceMs]))
  }
}
