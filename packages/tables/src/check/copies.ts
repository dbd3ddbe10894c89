/** Model copies that the routes of a pool require. */
import type { ModelRoute, Pool, PoolModel, Route, Tables } from '../types.js'
import { compareText } from '../rows/rows.js'
import type { PackingItem } from './packing.js'

/** A copy that must be resident: a model version in a pool, with its adapters and KV cache reserve. */
export type RequiredCopy = PackingItem & { pool: string, model: string, version: string }

/** Memory of one copy: weights, KV cache reserve and all adapters. */
export function copySizeMiB ({ weightsMiB, kvReserveMiB, adapters }: PoolModel): number {
  return adapters.reduce((sumMiB, adapter) => sumMiB + adapter.sizeMiB, weightsMiB + kvReserveMiB)
}

/** Key of a copy, unique across all pools. */
export function copyKey (pool: string, model: string, version: string): string {
  return `${pool}:${model}:${version}`
}

/** Key of the copy that a route requires. */
export function routeCopyKey (route: ModelRoute): string {
  return copyKey(route.pool, route.model, route.version)
}

export function isModelRoute (route: Route): route is ModelRoute {
  return route.kind === 'model'
}

/** Copies that routes require in a pool, sorted by key; a model version that the pool does not list is left out. */
export function requiredCopies (pool: Pool, routes: readonly Route[]): RequiredCopy[] {
  const routedKeys = new Set(routes.filter(isModelRoute).filter((route) => route.pool === pool.name).map(routeCopyKey))
  return pool.models
    .map((model) => toRequiredCopy(pool.name, model))
    .filter((copy) => routedKeys.has(copy.key))
    .sort((a, b) => compareText(a.key, b.key))
}

/** Groups routes by the pool that they name. */
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

function toRequiredCopy (pool: string, model: PoolModel): RequiredCopy {
  const { name, version } = model
  return { key: copyKey(pool, name, version), pool, model: name, version, sizeMiB: copySizeMiB(model) }
}
