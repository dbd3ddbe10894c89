/** A line now and then on the demand for models and the copies that meet it. */
import type { Clock, Logger } from '@figloom/runtime'
import type { ModelDemand } from './demand-forecast.js'
import type { PlannedRunner } from './plan-models.js'

/** Time between two lines of a service. */
const EVERY_MS = 2_000
/** Models that a line names: those that are asked for most. */
const NAMED_MODELS = 8

export type PlacementFacts = {
  service: string
  runners: readonly PlannedRunner[]
  slots: number
  /** Places that requests have taken at the runners. */
  taken: number
  demand: ReadonlyMap<string, ModelDemand>
}

export class PlacementLog {
  readonly #writtenMs = new Map<string, number>()

  private constructor (private readonly clock: Clock, private readonly log: Logger) {}

  static create (clock: Clock, log: Logger): PlacementLog {
    return new PlacementLog(clock, log)
  }

  write ({ service, runners, slots, taken, demand }: PlacementFacts): void {
    const nowMs = this.clock.monotonicMs()
    if (nowMs - (this.#writtenMs.get(service) ?? -Infinity) < EVERY_MS) return
    this.#writtenMs.set(service, nowMs)
    const asked = [...demand].sort(([, a], [, b]) => b.nowPlaces - a.nowPlaces).slice(0, NAMED_MODELS)
    const copies = (model: string) => runners.filter(({ models }) => models.includes(model)).length
    this.log.info('placement', {
      service,
      runners: runners.length,
      places: runners.length * slots,
      taken,
      busy: runners.filter(({ busy }) => busy).length,
      models: asked.map(([model, places]) => `${model} asks ${formatPlaces(places)} of ${copies(model)} copies`).join(', ')
    })
  }
}

function formatPlaces ({ nowPlaces, comingPlaces }: ModelDemand): string {
  return `${nowPlaces.toFixed(1)} and then ${comingPlaces.toFixed(1)}`
}
