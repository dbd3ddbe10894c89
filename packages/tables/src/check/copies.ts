/** Copies of models that the routes of a pool need. */
import type { ModelRoute, Pool, PoolModel, Route, Tables } from '../types.js'
import { compareText } from '../rows/rows.js'
import type { Item } from './packing.js'

/** One copy that must be resident: a model version in a pool, with its adapters and KV reserve. */
export type CopyNeed = Item & { pool: string, model: string, version: string }

/** Memory of one copy with all its adapters, in MiB. */
export function copySizeMiB ({ weightsMiB, kvReserveMiB, adapters }: PoolModel): number {
  return adapters.reduce((sumMiB, adapter) => sumMiB + adapter.sizeMiB, weightsMiB + kvReserveMiB)
}

/** Key of a copy, unique over all pools. */
export function copyKey (pool: string, model: string, version: string): string {
  return `${pool}:${model}:${version}`
}

/** Key of the copy that a route needs. */
export function routeCopyKey (route: ModelRoute): string {
  return copyKey(route.pool, route.model, route.version)
}

export function isModelRoute (route: Route): route is ModelRoute {
  return route.kind === 'model'
}

/** Copies that routes need in a pool, by key; a model version that the pool lacks is left out. */
export function neededCopies (pool: Pool, routes: readonly Route[]): CopyNeed[] {
  const wanted = new Set(routes.filter(isModelRoute).filter((route) => route.pool === pool.name).map(routeCopyKey))
  return pool.models
    .map((model) => toNeed(pool.name, model))
    .filter((need) => wanted.has(need.key))
    .sort((a, b) => compareText(a.key, b.key))
}

/** Routes by the pool that they name. */
export function groupRoutes (routes: readonly Route[]): Map<string, Route[]> {
  const groups = new Map<string, Route[]>()
  for (const route of routes) {
    const group = groups.get(route.pool)
    if (group === undefined) groups.set(route.pool, [route])
    else group.push(route)
  }
  return groups
}

/** Pools by name. */
export function indexPools ({ pools }: Tables): Map<string, Pool> {
  return new Map(pools.map((pool) => [pool.name, pool]))
}

function toNeed (pool: string, model: PoolModel): CopyNeed {
  const { name, version } = model
  return { key: copyKey(pool, name, version), pool, model: name, version, sizeMiB: copySizeMiB(model) }
}
