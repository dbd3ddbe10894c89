/** Joined check of routes against pools. */
import type { Pool, Route, Tables } from '../types.js'
import { rowKey, type RowKey } from '../rows/rows.js'
import { groupRoutes, indexPools, neededCopies, type CopyNeed } from './copies.js'
import { packItems } from './packing.js'

/** A fault of the tables, at a row and one of its fields; an empty field is the row itself. */
export type TableIssue = { row: RowKey, field: string, message: string }

/** Part of the tables to check; the rest is taken as checked before. */
export type CheckScope = {
  /** Pools whose rows or routes changed. */
  pools: ReadonlySet<string>
  /** Whether names or URLs of runners changed anywhere. */
  runners: boolean
}

/** Finds all faults of tables, or of the part in scope. Rows of one key must be unique already. */
export function checkTables (tables: Tables, scope?: CheckScope): TableIssue[] {
  const pools = indexPools(tables)
  const inScope = (pool: string): boolean => scope === undefined || scope.pools.has(pool)
  const routes = tables.routes.filter((route) => inScope(route.pool))
  const routesByPool = groupRoutes(routes)
  return [
    ...routes.flatMap((route) => checkRoute(route, pools.get(route.pool))),
    ...(scope === undefined || scope.runners ? checkRunners(tables.pools) : []),
    ...tables.pools.filter(({ name }) => inScope(name)).flatMap((pool) => checkPool(pool, routesByPool.get(pool.name) ?? []))
  ]
}

function checkRoute (route: Route, pool: Pool | undefined): TableIssue[] {
  const issue = (field: string, message: string): TableIssue => ({ row: rowKey({ row: 'route', name: route.name }), field, message })
  if (pool === undefined) return [issue('pool', `no pool is named ${route.pool}`)]
  if (pool.runners.length === 0) return [issue('pool', `pool ${pool.name} has no runner`)]
  if (route.kind === 'service') {
    return pool.models.length === 0 ? [] : [issue('pool', `pool ${pool.name} holds models; a plain service needs a pool without`)]
  }
  const versions = pool.models.filter(({ name }) => name === route.model)
  const held = versions.find(({ version }) => version === route.version)
  if (versions.length === 0) return [issue('model', `pool ${pool.name} does not hold model ${route.model}`)]
  if (held === undefined) {
    return [issue('version', `pool ${pool.name} holds ${route.model} in ${listVersions(versions)}, not in version ${route.version}`)]
  }
  if (route.adapter === undefined || held.adapters.some(({ name }) => name === route.adapter)) return []
  return [issue('adapter', `${route.model} version ${route.version} in pool ${pool.name} has no adapter ${route.adapter}`)]
}

function listVersions (models: readonly { version: string }[]): string {
  return `version ${models.map(({ version }) => version).join(', ')}`
}

/** Names and URLs of runners are unique over all pools. */
function checkRunners (pools: readonly Pool[]): TableIssue[] {
  const names = new Map<string, string>()
  const urls = new Map<string, string>()
  const issues: TableIssue[] = []
  for (const pool of pools) {
    for (const { name, address } of addressesOf(pool)) {
      const sameName = names.get(name)
      const sameUrl = urls.get(address)
      if (sameName !== undefined) issues.push(runnerIssue(pool, name, 'name', `pool ${sameName} has a runner of the same name`))
      if (sameUrl !== undefined) issues.push(runnerIssue(pool, name, 'url', `runner ${sameUrl} has the same address`))
      names.set(name, pool.name)
      urls.set(address, name)
    }
  }
  return issues
}

function runnerIssue (pool: Pool, name: string, field: string, message: string): TableIssue {
  return { row: rowKey({ row: 'runner', pool: pool.name, name }), field, message }
}

type RunnerAddress = { name: string, address: string }

/** Addresses by pool; parsing the URLs of all runners anew for each change of one would take longer than the rest. */
const addressesByPool = new WeakMap<Pool, RunnerAddress[]>()

function addressesOf (pool: Pool): RunnerAddress[] {
  const known = addressesByPool.get(pool)
  if (known !== undefined) return known
  const addresses = pool.runners.map(({ name, url }) => ({ name, address: normalizeUrl(url) }))
  addressesByPool.set(pool, addresses)
  return addresses
}

/** Form of a URL in which equal addresses are equal texts. */
export function normalizeUrl (url: string): string {
  return URL.canParse(url) ? new URL(url).href.replace(/\/+$/, '') : url
}

function checkPool (pool: Pool, routes: readonly Route[]): TableIssue[] {
  return [...checkAdapters(pool), ...checkMemory(pool, routes)]
}

function checkAdapters (pool: Pool): TableIssue[] {
  return pool.models
    .filter(({ adapters }) => new Set(adapters.map(({ name }) => name)).size < adapters.length)
    .map(({ name, version }) => rowKey({ row: 'model', pool: pool.name, name, version }))
    .map((row) => ({ row, field: 'adapters', message: 'an adapter is named twice' }))
}

function checkMemory (pool: Pool, routes: readonly Route[]): TableIssue[] {
  const needs = neededCopies(pool, routes)
  if (pool.runners.length === 0) return []
  const tooLarge = needs.filter(({ sizeMiB }) => pool.runners.every(({ memoryMiB }) => memoryMiB < sizeMiB))
  if (tooLarge.length > 0) return tooLarge.map((need) => describeTooLarge(pool, need))
  const { unplaced } = packItems(needs, pool.runners.map(({ name, memoryMiB }) => ({ runner: name, freeMiB: memoryMiB })))
  if (unplaced.length === 0) return []
  return [{ row: rowKey({ row: 'pool', pool: pool.name }), field: '', message: describeShortage(pool, needs, unplaced.length) }]
}

function describeTooLarge (pool: Pool, { model, version, sizeMiB }: CopyNeed): TableIssue {
  const largestMiB = Math.max(...pool.runners.map(({ memoryMiB }) => memoryMiB))
  const message = `one copy with its KV reserve and adapters takes ${sizeMiB} MiB, ` +
    `but the largest runner of pool ${pool.name} has ${largestMiB} MiB`
  return { row: rowKey({ row: 'model', pool: pool.name, name: model, version }), field: 'weightsMiB', message }
}

function describeShortage (pool: Pool, needs: readonly CopyNeed[], unplacedCount: number): string {
  const needMiB = needs.reduce((sumMiB, { sizeMiB }) => sumMiB + sizeMiB, 0)
  const memoryMiB = pool.runners.reduce((sumMiB, runner) => sumMiB + runner.memoryMiB, 0)
  return `${unplacedCount} of ${needs.length} routed models find no room: one copy of each takes ${needMiB} MiB, ` +
    `the ${pool.runners.length} runners have ${memoryMiB} MiB together`
}
