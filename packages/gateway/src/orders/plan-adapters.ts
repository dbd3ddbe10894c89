/**
 * Plans which adapters are brought ahead into places that are free, the ones that are asked for first. A runner that
 * loads a model takes no adapters for seconds, so those that are asked for go before the next model. Pure.
 */
import { pickByWeight } from '../choose/rendezvous.js'
import type { EngineSpec } from '../config/types.js'
import type { DemandRate } from '../members/types.js'

/** A runner with its models and the adapters it holds, as MODEL/ADAPTER. */
export type AdapterRunner = {
  id: string
  models: readonly string[]
  adapters: readonly string[]
  busy: boolean
  usedMb: number
}

export type AdapterLoad = { runnerId: string, model: string, adapter: string }

/** Loads that one runner is given at once; each takes some tens of milliseconds. */
const LOADS_AT_ONCE = 4

/** Adapters that no runner holds, each at the runner that requests prefer if that has room, in order of demand. */
export function planAdapters (engine: EngineSpec, runners: readonly AdapterRunner[], demand: readonly DemandRate[]): AdapterLoad[] {
  const held = new Set(runners.flatMap(({ adapters }) => adapters))
  const rooms = new Map(runners.map((runner) => [runner.id, AdapterRoom.create(engine, runner)]))
  const loads: AdapterLoad[] = []
  for (const { model, adapter } of inOrderOfDemand(engine, demand)) {
    if (held.has(adapterKey(model, adapter))) continue
    const holders = runners.filter(({ id, models }) => models.includes(model) && rooms.get(id)?.has(model) === true)
    const runnerId = pickByWeight(adapterKey(model, adapter), holders)?.id
    if (runnerId === undefined) continue
    rooms.get(runnerId)?.take(model)
    loads.push({ runnerId, model, adapter })
  }
  return loads
}

type AdapterName = { model: string, adapter: string }

function inOrderOfDemand (engine: EngineSpec, demand: readonly DemandRate[]): AdapterName[] {
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

/** What a runner can take besides what it has been given. */
class AdapterRoom {
  #places: number
  #freeMb: number

  private constructor (private readonly engine: EngineSpec, runner: AdapterRunner) {
    this.#places = runner.busy ? 0 : Math.min(LOADS_AT_ONCE, engine.adapterSlots - runner.adapters.length)
    this.#freeMb = engine.weightsMb - runner.usedMb
  }

  static create (engine: EngineSpec, runner: AdapterRunner): AdapterRoom {
    return new AdapterRoom(engine, runner)
  }

  has (model: string): boolean {
    return this.#places > 0 && this.#freeMb >= this.#sizeMb(model)
  }

  take (model: string): void {
    this.#places -= 1
    this.#freeMb -= this.#sizeMb(model)
  }

  #sizeMb (model: string): number {
    return this.engine.models.get(model)?.adapterSizeMb ?? Infinity
  }
}

function adapterKey (model: string, adapter: string): string {
  return `${model}/${adapter}`
}
