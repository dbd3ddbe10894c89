/** Builds tables with a given number of runners, in the proportions of the target size. */
import type { Pool, PoolModel, Route, Tables } from '@figloom/tables'
import { ASSUMED, SIZE } from './size.js'

const ZONES_PER_REGION = SIZE.availabilityZones / SIZE.regions
const POOLS_PER_MODEL = 2

/** Tables with `runners` runners, cells of `runnersPerCell` runners, and the same ratio of models to runners as at the target size. */
export function createTables (runners: number, runnersPerCell: number = ASSUMED.runnersPerCell): Tables {
  const poolCount = Math.max(1, Math.round(runners / runnersPerCell))
  const models = Math.max(1, Math.round(runners * SIZE.models / SIZE.runners))
  const pools = Array.from({ length: poolCount }, (_, index) => createPool(index, Math.min(runners, runnersPerCell)))
  const routes: Route[] = []
  for (let index = 0; index < models * POOLS_PER_MODEL; index++) {
    const pool = pools[index % poolCount]
    if (pool === undefined) continue
    const model = createModel(index % models)
    if (pool.models.some(({ name }) => name === model.name)) continue
    pool.models.push(model)
    routes.push(createRoute(`${model.name}-${pool.name}`, model, pool.name))
  }
  return { routes, pools }
}

function createPool (index: number, runners: number): Pool {
  const region = index % SIZE.regions
  const name = `pool-${String(index).padStart(4, '0')}`
  return {
    name,
    region: `region-${region}`,
    moveWeight: 0.5,
    runners: Array.from({ length: runners }, (_, runner) => ({
      name: `${name}-${String(runner).padStart(3, '0')}`,
      availabilityZone: `zone-${region}-${runner % ZONES_PER_REGION}`,
      url: `http://10.${index >> 8}.${index & 255}.${runner + 1}:8000`,
      accelerators: 2,
      memoryMiB: 163_840,
      checksFencing: true
    })),
    models: []
  }
}

function createModel (index: number): PoolModel {
  const adapters = Array.from({ length: 3 }, (_, adapter) => ({ name: `adapter-${adapter}`, sizeMiB: 64 }))
  return { name: `model-${String(index).padStart(3, '0')}`, version: '1', weightsMiB: 16_384, kvReserveMiB: 8192, adapters }
}

function createRoute (name: string, model: PoolModel, pool: string): Route {
  return {
    kind: 'model', name, model: model.name, version: model.version, adapter: 'adapter-0', pool, firstTokenTargetMs: 380, betweenTokensTargetMs: 43, priority: 'interactive'
  }
}
