/** What the copies of models are worth: the places that they serve. Pure; all values are in places. */
import type { EngineSpec } from '../config/types.js'
import type { ModelDemand } from './demand-forecast.js'

/** Part of a runner's places that one copy should fill; models share runners, and full ones answer late. */
const TARGET_OCCUPATION = 0.7
/** What a model's first copy is worth besides its places: without one, all its callers are turned away. */
const FIRST_COPY_PLACES = 2
/** A model that is asked for this often counts in full for its first copy. */
const FULL_FIRST_COPY_PLACES = 0.5
/** The first copy grows in worth by itself in this time, up to a limit, so that rare models get their turn. */
const WAITING_MS = 2_000
const MAX_WAITING_FACTOR = 2
/** The last copy of a model that nobody asks for now may be asked for soon. */
const LAST_COPY_PLACES = 0.4

/** Less than this part of a copy is none: what sums of parts leave over. */
const LEAST_SHARE = 0.001

/**
 * Part of a copy's places that a runner serves which takes so many requests a second.
 * @param holdMs how long a request holds its place, on average
 */
export function copyShareOf (engine: EngineSpec, requestsPerS: number, holdMs: number): number {
  const places = requestsPerS * holdMs / 1_000
  return Math.max(LEAST_SHARE, Math.min(1, places / (engine.slots * TARGET_OCCUPATION)))
}

const NO_DEMAND: ModelDemand = { nowPlaces: 0, comingPlaces: 0 }

export class CopyValues {
  readonly #copies = new Map<string, number>()

  private constructor (
    private readonly engine: EngineSpec,
    private readonly demand: ReadonlyMap<string, ModelDemand>,
    private readonly missingMs: ReadonlyMap<string, number>
  ) {}

  /** `missingMs` says for how long callers of a model have found no copy. */
  static create (engine: EngineSpec, demand: ReadonlyMap<string, ModelDemand>, missingMs: ReadonlyMap<string, number>): CopyValues {
    return new CopyValues(engine, demand, missingMs)
  }

  copies (model: string): number {
    return this.#copies.get(model) ?? 0
  }

  change (model: string, copies: number): void {
    this.#copies.set(model, this.copies(model) + copies)
  }

  isAskedFor (model: string): boolean {
    return this.#coming(model) > 0
  }

  /** What one more copy adds; `share`: the part of a copy's places that its runner serves. */
  gain (model: string, share = 1): number {
    const copies = this.copies(model)
    return this.#value(model, this.#coming(model), copies + share) - this.#value(model, this.#coming(model), copies)
  }

  /** What is lost with one copy; demand that falls is still there while a copy goes. */
  loss (model: string, share = 1): number {
    const copies = this.copies(model)
    const rest = copies - share < LEAST_SHARE ? 0 : copies - share
    const places = Math.max(this.#coming(model), this.#of(model).nowPlaces)
    const last = rest === 0 ? LAST_COPY_PLACES : 0
    return last + this.#value(model, places, copies) - this.#value(model, places, rest)
  }

  /** Places that each copy of a model has to serve. */
  placesPerCopy (model: string): number {
    return this.#coming(model) / Math.max(1, this.copies(model))
  }

  #value (model: string, places: number, copies: number): number {
    if (copies <= 0 || places <= 0) return 0
    const served = Math.min(places, copies * this.engine.slots * TARGET_OCCUPATION)
    return served + this.#firstCopy(model) * Math.min(1, places / FULL_FIRST_COPY_PLACES)
  }

  #firstCopy (model: string): number {
    const waiting = 1 + (this.missingMs.get(model) ?? 0) / WAITING_MS
    return FIRST_COPY_PLACES * Math.min(MAX_WAITING_FACTOR, waiting)
  }

  #coming (model: string): number {
    return this.#of(model).comingPlaces
  }

  #of (model: string): ModelDemand {
    return this.demand.get(model) ?? NO_DEMAND
  }
}
