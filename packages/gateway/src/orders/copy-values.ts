/** Values the copies of models by the runner slots of demand that they serve. Pure; all values are in slots. */
import type { EngineSpec } from '../config/types.js'
import type { ModelDemand } from './demand-forecast.js'

/** Part of a runner's slots that one copy should fill: models share runners, and full runners answer late. */
const TARGET_UTILIZATION = 0.7
/** Additional value of a model's first copy: without one, all requests for the model are refused. */
export const FIRST_COPY_SLOTS = 2
/** Demand from which the first copy gets this additional value in full; below, it is proportional. */
export const FULL_FIRST_COPY_DEMAND_SLOTS = 0.5
/** The additional value grows by 100% in this time while a requested model has no copy, so that rare models are loaded too. */
const FIRST_COPY_WAIT_MS = 2_000
const MAX_FIRST_COPY_FACTOR = 2
/** Additional value of a model's last copy, even without demand: requests for the model may arrive soon. */
const LAST_COPY_SLOTS = 0.4

/** A smaller part of a copy counts as none: it is a rounding error of sums of parts. */
const MIN_SHARE = 0.001

/**
 * Value of a copy on a runner with a request rate limit, as a part of the value of a copy without one.
 * @param holdMs how long a request holds its slot, on average
 */
export function copyShareOf (engine: EngineSpec, requestsPerS: number, holdMs: number): number {
  const limitSlots = requestsPerS * holdMs / 1_000
  return Math.max(MIN_SHARE, Math.min(1, limitSlots / (engine.slots * TARGET_UTILIZATION)))
}

const NO_DEMAND: ModelDemand = { currentSlots: 0, forecastSlots: 0 }

export class CopyValues {
  readonly #copies = new Map<string, number>()

  private constructor (
    private readonly engine: EngineSpec,
    private readonly demand: ReadonlyMap<string, ModelDemand>,
    private readonly missingMs: ReadonlyMap<string, number>
  ) {}

  /** @param missingMs how long each requested model has been without a copy */
  static create (engine: EngineSpec, demand: ReadonlyMap<string, ModelDemand>, missingMs: ReadonlyMap<string, number>): CopyValues {
    return new CopyValues(engine, demand, missingMs)
  }

  copies (model: string): number {
    return this.#copies.get(model) ?? 0
  }

  addCopies (model: string, copies: number): void {
    this.#copies.set(model, this.copies(model) + copies)
  }

  isRequested (model: string): boolean {
    return this.#forecastSlots(model) > 0
  }

  /** Value that one more copy adds; `share`: its value on that runner as a part of a full copy. */
  gain (model: string, share = 1): number {
    const copies = this.copies(model)
    return this.#value(model, this.#forecastSlots(model), copies + share) - this.#value(model, this.#forecastSlots(model), copies)
  }

  /** Value that is lost with one copy. Present demand counts too where it exceeds the forecast: it lasts while the copy unloads. */
  loss (model: string, share = 1): number {
    const copies = this.copies(model)
    const remaining = copies - share < MIN_SHARE ? 0 : copies - share
    const demandSlots = this.demandSlots(model)
    const last = remaining === 0 ? LAST_COPY_SLOTS : 0
    return last + this.#value(model, demandSlots, copies) - this.#value(model, demandSlots, remaining)
  }

  /** The greater one of present and expected demand. */
  demandSlots (model: string): number {
    return Math.max(this.#forecastSlots(model), this.#demandFor(model).currentSlots)
  }

  /** Slots of demand per copy of a model. */
  slotsPerCopy (model: string): number {
    return this.#forecastSlots(model) / Math.max(1, this.copies(model))
  }

  #value (model: string, demandSlots: number, copies: number): number {
    if (copies <= 0 || demandSlots <= 0) return 0
    const served = Math.min(demandSlots, copies * this.engine.slots * TARGET_UTILIZATION)
    return served + this.#firstCopyValue(model) * Math.min(1, demandSlots / FULL_FIRST_COPY_DEMAND_SLOTS)
  }

  #firstCopyValue (model: string): number {
    const waitFactor = 1 + (this.missingMs.get(model) ?? 0) / FIRST_COPY_WAIT_MS
    return FIRST_COPY_SLOTS * Math.min(MAX_FIRST_COPY_FACTOR, waitFactor)
  }

  #forecastSlots (model: string): number {
    return this.#demandFor(model).forecastSlots
  }

  #demandFor (model: string): ModelDemand {
    return this.demand.get(model) ?? NO_DEMAND
  }
}
