/** Logs, at intervals, the demand for models and how many copies each one has. */
import type { Clock, Logger } from '@figloom/runtime'
import type { ModelDemand } from './demand-forecast.js'
import type { PlannedRunner } from './plan-models.js'

/** Minimum time between two log lines on a service. */
const LOG_INTERVAL_MS = 2_000
/** Number of models in a log line: those with the most demand. */
const MAX_LOGGED_MODELS = 8

export type PlacementLogEntry = {
  service: string
  runners: readonly PlannedRunner[]
  slots: number
  /** Slots of the runners that are in use. */
  taken: number
  demand: ReadonlyMap<string, ModelDemand>
}

export class PlacementLog {
  readonly #lastWrittenMs = new Map<string, number>()

  private constructor (private readonly clock: Clock, private readonly log: Logger) {}

  static create (clock: Clock, log: Logger): PlacementLog {
    return new PlacementLog(clock, log)
  }

  write ({ service, runners, slots, taken, demand }: PlacementLogEntry): void {
    const nowMs = this.clock.monotonicMs()
    if (nowMs - (this.#lastWrittenMs.get(service) ?? -Infinity) < LOG_INTERVAL_MS) return
    this.#lastWrittenMs.set(service, nowMs)
    const mostRequested = [...demand].sort(([, a], [, b]) => b.currentSlots - a.currentSlots).slice(0, MAX_LOGGED_MODELS)
    const copies = (model: string) => runners.filter(({ models }) => models.includes(model)).length
    this.log.info('placement', {
      service,
      runners: runners.length,
      places: runners.length * slots,
      taken,
      busy: runners.filter(({ busy }) => busy).length,
      models: mostRequested.map(([model, modelDemand]) => `${model} asks ${formatSlots(modelDemand)} of ${copies(model)} copies`).join(', ')
    })
  }
}

function formatSlots ({ currentSlots, forecastSlots }: ModelDemand): string {
  return `${currentSlots.toFixed(1)} and then ${forecastSlots.toFixed(1)}`
}
