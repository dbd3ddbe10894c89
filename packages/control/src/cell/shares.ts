/** Shares of the weight store's limits; the shares of all cells never exceed a limit in total. */
import type { Pool, Tables } from '@figloom/tables'
import type { CellConfig, RoutedModel } from './types.js'

/** Limits of a deployment's weight store, over all runners. */
export type StoreLimits = { loadStartsPerSecond: number, concurrentLoads: number, concurrentAdapters: number }

/** The part of the limits that one cell may use. */
export type StoreShare = { loadStartEveryMs: number, concurrentLoads: number, concurrentAdapters: number }

const MS_PER_SECOND = 1_000

/** Splits `total` into integer parts by weight, at most `total` in sum. Equal remainders are rounded up in order of name. */
export function splitByWeight (total: number, weights: { name: string, weight: number }[]): Map<string, number> {
  const sum = weights.reduce((partial, { weight }) => partial + weight, 0)
  if (sum === 0) return new Map()
  const quotas = weights.map(({ name, weight }) => {
    const quota = Math.floor(total) * weight / sum
    return { name, whole: Math.floor(quota), remainder: quota - Math.floor(quota) }
  })
  const unassigned = Math.floor(total) - quotas.reduce((partial, { whole }) => partial + whole, 0)
  const byRemainder = [...quotas].sort((a, b) => b.remainder - a.remainder || (a.name < b.name ? -1 : 1))
  const roundedUp = new Set(byRemainder.slice(0, unassigned).map(({ name }) => name))
  return new Map(quotas.map(({ name, whole }) => [name, whole + (roundedUp.has(name) ? 1 : 0)]))
}

/** Share of the pool's cell, proportional to its runners among those of all pools with models. */
export function storeShareOf (tables: Tables, pool: string, limits: StoreLimits): StoreShare {
  const weights = tables.pools
    .filter(({ models }) => models.length > 0)
    .map(({ name, runners }) => ({ name, weight: runners.length }))
    .sort((a, b) => (a.name < b.name ? -1 : 1))
  const sum = weights.reduce((partial, { weight }) => partial + weight, 0)
  const own = weights.find(({ name }) => name === pool)?.weight ?? 0
  const startsPerSecond = sum === 0 ? 0 : limits.loadStartsPerSecond * own / sum
  return {
    loadStartEveryMs: startsPerSecond === 0 ? Infinity : MS_PER_SECOND / startsPerSecond,
    concurrentLoads: splitByWeight(limits.concurrentLoads, weights).get(pool) ?? 0,
    concurrentAdapters: splitByWeight(limits.concurrentAdapters, weights).get(pool) ?? 0
  }
}

/** The part of the tables that concerns a pool's cell; a pool that the tables lack has no runners and no routes. */
export function cellConfigOf (tables: Tables, pool: string, limits: StoreLimits, transitReserveMiB: number): CellConfig {
  const row: Pool | undefined = tables.pools.find(({ name }) => name === pool)
  return {
    runners: row?.runners ?? [],
    models: row?.models ?? [],
    routed: routedModelsOf(tables, pool),
    share: storeShareOf(tables, pool, limits),
    transitReserveMiB
  }
}

function routedModelsOf (tables: Tables, pool: string): RoutedModel[] {
  const routed = new Map<string, RoutedModel>()
  for (const route of tables.routes) {
    if (route.kind !== 'model' || route.pool !== pool) continue
    const key = `${route.model}@${route.version}`
    const entry = routed.get(key) ?? { model: route.model, version: route.version, adapters: [] }
    if (route.adapter !== undefined && !entry.adapters.includes(route.adapter)) entry.adapters.push(route.adapter)
    routed.set(key, entry)
  }
  return [...routed.values()]
}
