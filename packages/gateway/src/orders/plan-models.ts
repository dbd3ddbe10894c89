/**
 * Plans which models are loaded and unloaded next. Models in demand get the copies that their requests fill; models
 * that nobody asks for keep theirs only while nobody else needs the room. Pure; memory is in MB.
 */
import type { EngineSpec, ModelSpec } from '../config/types.js'
import { OrderKind, type OrderTarget } from './types.js'

/** A runner as planning sees it. */
export type PlannedRunner = {
  id: string
  /** Resident models that are not being unloaded. */
  models: readonly string[]
  /** Model being loaded. */
  loading?: string
  /** A model is being unloaded. */
  unloading: boolean
  /** Another order can't be taken now. */
  busy: boolean
  usedMb: number
  /** Models whose weights it has on its disk or in its memory. */
  localWeights: readonly string[]
}

export type PlanInput = {
  engine: EngineSpec
  runners: readonly PlannedRunner[]
  /** Places that the requests for a model fill at any moment: their rate times how long one holds its place. */
  places: ReadonlyMap<string, number>
  /** Loads from the weight store that may start now. */
  storeLoads: number
}

export type PlannedOrder = OrderTarget & { runnerId: string, fromStore: boolean }

/** Part of a copy's places that its own model should fill. */
const TARGET_OCCUPATION = 0.5
/** A second of loading weighs like this part of a runner's places. */
const LOAD_SECOND_COST = 0.1
/** An unload before the load takes a round of planning more. */
const UNLOAD_COST = 0.05
/** What the loss of a copy weighs: one above the wanted number, the last one of a model that nobody asks for now, one in use. */
const SURPLUS_COST = 0.05
const LAST_COPY_COST = 0.3
const IN_USE_COST = 0.5
/** A model without a copy counts like one with this many places asked for on each copy, and more for each place. */
const NO_COPY_PLACES = 6
const NO_COPY_FACTOR = 10
/** A copy in demand makes way for one that lacks this many times more places. */
const DISPLACE_FACTOR = 4

/** Orders to give now, most urgent first; at most one for each runner. */
export function planModels (input: PlanInput): PlannedOrder[] {
  return ModelPlan.create(input).run()
}

/** A way to get one more copy: into free room, or into the room of `victim`. */
type CopyOption = { runner: PlannedRunner, victim?: string, cost: number }

class ModelPlan {
  readonly #orders: PlannedOrder[] = []
  readonly #taken = new Set<string>()
  readonly #copies = new Map<string, number>()
  readonly #unloading: number
  #storeLoads: number

  private constructor (private readonly input: PlanInput) {
    this.#storeLoads = input.storeLoads
    this.#unloading = input.runners.filter(({ unloading }) => unloading).length
    for (const runner of input.runners) {
      for (const model of copiesOf(runner)) this.#copies.set(model, this.#copyCount(model) + 1)
    }
  }

  static create (input: PlanInput): ModelPlan {
    return new ModelPlan(input)
  }

  run (): PlannedOrder[] {
    const lacking = this.#lackingModels()
    // Room that is being made already is for the models that lack most.
    let roomComing = this.#unloading
    for (let model = this.#mostLacking(lacking); model !== undefined; model = this.#mostLacking(lacking)) {
      if (roomComing > 0) this.#countCopy(model.name)
      else if (!this.#addCopy(model)) lacking.delete(model)
      roomComing -= 1
      if (this.#copyCount(model.name) >= this.#wantedCopies(model)) lacking.delete(model)
    }
    if (this.#lackingModels().size === 0) this.#fillFreeRoom()
    return this.#orders
  }

  /** Models that are asked for more than their copies can serve. */
  #lackingModels (): Set<ModelSpec> {
    const asked = [...this.input.engine.models.values()].filter((model) => this.#places(model.name) > 0)
    return new Set(asked.filter((model) => this.#copyCount(model.name) < this.#wantedCopies(model)))
  }

  #mostLacking (models: ReadonlySet<ModelSpec>): ModelSpec | undefined {
    return minBy([...models], (model) => -this.#lack(model.name))
  }

  /** Places asked for on each copy; a model without a copy turns all its callers away. */
  #lack (model: string): number {
    const copies = this.#copyCount(model)
    return copies === 0 ? this.#places(model) * NO_COPY_FACTOR + NO_COPY_PLACES : this.#places(model) / copies
  }

  #wantedCopies (model: ModelSpec): number {
    const wanted = Math.ceil(this.#places(model.name) / (this.input.engine.slots * TARGET_OCCUPATION))
    return Math.min(wanted, this.input.runners.length)
  }

  #places (model: string): number {
    return this.input.places.get(model) ?? 0
  }

  #countCopy (model: string): void {
    this.#copies.set(model, this.#copyCount(model) + 1)
  }

  #copyCount (model: string): number {
    return this.#copies.get(model) ?? 0
  }

  /** Takes the best of free room and room that another copy leaves; false if there is neither. */
  #addCopy (model: ModelSpec): boolean {
    const options = this.#free().filter((runner) => !copiesOf(runner).includes(model.name))
      .flatMap((runner) => this.#optionsAt(runner, model))
    const best = minBy(options, ({ cost }) => cost)
    if (best === undefined) return false
    if (best.victim === undefined) this.#load(best.runner, model)
    else this.#unload(best.runner, best.victim)
    // The copy that room is made for counts already, so that the next one goes elsewhere.
    if (best.victim !== undefined) this.#countCopy(model.name)
    return true
  }

  #unload (runner: PlannedRunner, victim: string): void {
    this.#push({ runnerId: runner.id, kind: OrderKind.Unload, model: victim, fromStore: false })
    this.#copies.set(victim, this.#copyCount(victim) - 1)
  }

  #optionsAt (runner: PlannedRunner, model: ModelSpec): CopyOption[] {
    const cost = this.#occupation(runner) + this.#loadCost(runner, model)
    if (!this.#mayLoad(runner, model)) return []
    if (this.#fits(runner, model)) return [{ runner, cost }]
    return runner.models.filter((victim) => this.#mayGo(victim, model))
      .map((victim) => ({ runner, victim, cost: cost + UNLOAD_COST + this.#victimCost(victim) }))
  }

  #free (): PlannedRunner[] {
    return this.input.runners.filter((runner) => !runner.busy && !this.#taken.has(runner.id))
  }

  #fits (runner: PlannedRunner, model: ModelSpec): boolean {
    return runner.usedMb + model.sizeMb <= this.input.engine.weightsMb
  }

  /** Part of a runner's places that the demand for its models fills. */
  #occupation (runner: PlannedRunner): number {
    const places = copiesOf(runner).reduce((sum, model) => sum + this.#places(model) / this.#copyCount(model), 0)
    return places / this.input.engine.slots
  }

  #loadCost (runner: PlannedRunner, model: ModelSpec): number {
    const loadMs = runner.localWeights.includes(model.name) ? model.diskLoadMs : model.loadMs
    return loadMs / 1000 * LOAD_SECOND_COST
  }

  #mayLoad (runner: PlannedRunner, model: ModelSpec): boolean {
    return runner.localWeights.includes(model.name) || this.#storeLoads >= 1
  }

  #load (runner: PlannedRunner, model: ModelSpec): void {
    const fromStore = !runner.localWeights.includes(model.name)
    if (fromStore) this.#storeLoads -= 1
    this.#push({ runnerId: runner.id, kind: OrderKind.Load, model: model.name, fromStore })
    this.#countCopy(model.name)
  }

  /** Whether a copy of `victim` may make way for `model`. */
  #mayGo (victim: string, model: ModelSpec): boolean {
    if (this.#places(victim) === 0 || this.#isSurplus(victim)) return true
    const copies = this.#copyCount(victim)
    return copies > 1 && this.#places(victim) / (copies - 1) * DISPLACE_FACTOR < this.#lack(model.name)
  }

  #isSurplus (model: string): boolean {
    const spec = this.input.engine.models.get(model)
    return spec === undefined || this.#copyCount(model) > this.#wantedCopies(spec)
  }

  /** Copies that nobody asks for go first if others hold the model too, then those above what is wanted. */
  #victimCost (victim: string): number {
    const places = this.#places(victim)
    if (places === 0) return this.#copyCount(victim) === 1 ? LAST_COPY_COST : 0
    const perCopy = places / this.#copyCount(victim) / this.input.engine.slots
    return perCopy * 2 + (this.#isSurplus(victim) ? SURPLUS_COST : IN_USE_COST)
  }

  /** Models without a copy take room that is left over, without displacing any. */
  #fillFreeRoom (): void {
    for (const model of this.input.engine.models.values()) {
      if (this.#copyCount(model.name) > 0) continue
      const runners = this.#free().filter((runner) => this.#fits(runner, model) && this.#mayLoad(runner, model))
      const target = minBy(runners, (runner) => this.#occupation(runner) + this.#loadCost(runner, model))
      if (target !== undefined) this.#load(target, model)
    }
  }

  #push (order: PlannedOrder): void {
    this.#orders.push(order)
    this.#taken.add(order.runnerId)
  }
}

function copiesOf (runner: PlannedRunner): string[] {
  return runner.loading === undefined ? [...runner.models] : [...runner.models, runner.loading]
}

function minBy<Item> (items: readonly Item[], cost: (item: Item) => number): Item | undefined {
  let best: Item | undefined
  let bestCost = Infinity
  for (const item of items) {
    const itemCost = cost(item)
    if (itemCost < bestCost) {
      best = item
      bestCost = itemCost
    }
  }
  return best
}
