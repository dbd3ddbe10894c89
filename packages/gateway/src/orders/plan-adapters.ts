/**
 * Plans which adapters are loaded ahead of requests into free adapter slots, in order of demand. A runner that loads a
 * model accepts no adapter orders for seconds, so adapters are loaded before the next model. Pure.
 */
import { pickByWeight } from '../choose/rendezvous.js'
import type { EngineSpec } from '../config/types.js'
import type { DemandRate } from '../members/types.js'

/** A runner with its models and adapters; adapters are written as MODEL/ADAPTER. */
export type AdapterRunner = {
  id: string
  models: readonly string[]
  adapters: readonly string[]
  busy: boolean
  usedMb: number
}

export type AdapterLoad = { runnerId: string, model: string, adapter: string }

/** Adapter loads per runner in one plan; each takes some tens of milliseconds. */
const MAX_LOADS_PER_RUNNER = 4

/** Loads for adapters that no runner holds, in order of demand; each goes to the runner, among those with room, that requests prefer. */
export function planAdapters (engine: EngineSpec, runners: readonly AdapterRunner[], demand: readonly DemandRate[]): AdapterLoad[] {
  const held = new Set(runners.flatMap(({ adapters }) => adapters))
  const capacities = new Map(runners.map((runner) => [runner.id, AdapterCapacity.create(engine, runner)]))
  const loads: AdapterLoad[] = []
  for (const { model, adapter } of adaptersByDemand(engine, demand)) {
    if (held.has(adapterKey(model, adapter))) continue
    const holders = runners.filter(({ id, models }) => models.includes(model) && capacities.get(id)?.fits(model) === true)
    const runnerId = pickByWeight(adapterKey(model, adapter), holders)?.id
    if (runnerId === undefined) continue
    capacities.get(runnerId)?.reserve(model)
    loads.push({ runnerId, model, adapter })
  }
  return loads
}

type AdapterName = { model: string, adapter: string }

function adaptersByDemand (engine: EngineSpec, demand: readonly DemandRate[]): AdapterName[] {
  const perS = new Map<string, number>()
  for (const rate of demand) {
    if (rate.adapter === undefined) continue
    const key = adapterKey(rate.model, rate.adapter)
    perS.set(key, (perS.get(key) ?? 0) + rate.slowRequestsPerS)
  }
  const names = [...engine.models.values()].flatMap(({ name, adapters }) => adapters.map((adapter) => ({ model: name, adapter })))
  const rate = ({ model, adapter }: AdapterName) => perS.get(adapterKey(model, adapter)) ?? 0
  return names.sort((a, b) => rate(b) - rate(a))
}

/** Adapter slots and memory that a runner has left in this plan. */
class AdapterCapacity {
  #freeSlots: number
  #freeMb: number

  private constructor (private readonly engine: EngineSpec, runner: AdapterRunner) {
    this.#freeSlots = runner.busy ? 0 : Math.min(MAX_LOADS_PER_RUNNER, engine.adapterSlots - runner.adapters.length)
    this.#freeMb = engine.weightsMb - runner.usedMb
  }

  static create (engine: EngineSpec, runner: AdapterRunner): AdapterCapacity {
    return new AdapterCapacity(engine, runner)
  }

  fits (model: string): boolean {
    return this.#freeSlots > 0 && this.#freeMb >= this.#sizeMb(model)
  }

  reserve (model: string): void {
    this.#freeSlots -= 1
    this.#freeMb -= this.#sizeMb(model)
  }

  #sizeMb (model: string): number {
    return this.engine.models.get(model)?.adapterSizeMb ?? Infinity
  }
}

function adapterKey (model: string, adapter: string): string {
  return `${model}/${adapter}`
}
