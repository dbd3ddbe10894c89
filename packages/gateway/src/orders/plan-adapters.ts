/** Plans which adapters are brought ahead into places that are free. Pure. */
import { hashOf } from '../choose/choose-runner.js'
import type { EngineSpec } from '../config/types.js'

/** A runner with its models and the adapters it holds, as MODEL/ADAPTER. */
export type AdapterRunner = {
  id: string
  models: readonly string[]
  adapters: readonly string[]
  busy: boolean
  usedMb: number
}

export type AdapterLoad = { runnerId: string, model: string, adapter: string }

/** At most one load for each runner; adapters that no runner holds first, each at the runner that requests prefer. */
export function planAdapters (engine: EngineSpec, runners: readonly AdapterRunner[]): AdapterLoad[] {
  const held = new Set(runners.flatMap(({ adapters }) => adapters))
  return runners.flatMap((runner) => {
    if (runner.busy || runner.adapters.length >= engine.adapterSlots) return []
    const load = nextFor(engine, runner, runners, held)
    if (load === undefined) return []
    held.add(`${load.model}/${load.adapter}`)
    return [load]
  })
}

function nextFor (engine: EngineSpec, runner: AdapterRunner, runners: readonly AdapterRunner[], held: ReadonlySet<string>): AdapterLoad | undefined {
  let fallback: AdapterLoad | undefined
  for (const name of runner.models) {
    const model = engine.models.get(name)
    if (model === undefined || runner.usedMb + model.adapterSizeMb > engine.weightsMb) continue
    const holders = runners.filter(({ models }) => models.includes(name))
    for (const adapter of model.adapters) {
      if (held.has(`${name}/${adapter}`)) continue
      const load = { runnerId: runner.id, model: name, adapter }
      if (preferredHolder(`${name}/${adapter}`, holders) === runner.id) return load
      fallback ??= load
    }
  }
  return fallback
}

/** Highest random weight, as in the choice of a runner. */
function preferredHolder (key: string, holders: readonly AdapterRunner[]): string | undefined {
  let best: string | undefined
  let bestWeight = -1
  for (const { id } of holders) {
    const weight = hashOf(`${key}\n${id}`)
    if (weight > bestWeight) {
      best = id
      bestWeight = weight
    }
  }
  return best
}
