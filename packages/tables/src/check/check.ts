/** Validation across both tables: routes against pools, names and addresses of runners, memory. */
import type { Pool, Route, Tables } from '../types.js'
import { rowKey, type RowKey } from '../rows/rows.js'
import { groupRoutes, indexPools, requiredCopies, type RequiredCopy } from './copies.js'
import { packItems } from './packing.js'

/** An error in the tables, at a field of a row; an empty field means the row as a whole. */
export type TableIssue = { row: RowKey, field: string, message: string }

/** Part of the tables to check; the rest is known to be valid. */
export type CheckScope = {
  /** Pools whose rows or routes changed. */
  pools: ReadonlySet<string>
  /** Whether the name or URL of any runner changed. */
  runners: boolean
}

/** Finds all issues of the tables, or of the part in scope. Row keys must be unique already. */
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
  const poolModel = versions.find(({ version }) => version === route.version)
  if (versions.length === 0) return [issue('model', `pool ${pool.name} does not hold model ${route.model}`)]
  if (poolModel === undefined) {
    return [issue('version', `pool ${pool.name} holds ${route.model} in ${listVersions(versions)}, not in version ${route.version}`)]
  }
  if (route.adapter === undefined || poolModel.adapters.some(({ name }) => name === route.adapter)) return []
  return [issue('adapter', `${route.model} version ${route.version} in pool ${pool.name} has no adapter ${route.adapter}`)]
}

function listVersions (models: readonly { version: string }[]): string {
  return `version ${models.map(({ version }) => version).join(', ')}`
}

/** Checks that names and URLs of runners are unique across all pools. */
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

/** Cache of addresses by pool; parsing the URLs of all runners for each change would take longer than the rest of the check. */
const addressesByPool = new WeakMap<Pool, RunnerAddress[]>()

function addressesOf (pool: Pool): RunnerAddress[] {
  const cached = addressesByPool.get(pool)
  if (cached !== undefined) return cached
  const addresses = pool.runners.map(({ name, url }) => ({ name, address: normalizeUrl(url) }))
  addressesByPool.set(pool, addresses)
  return addresses
}

/** Normal form of a URL, so that equal addresses compare equal as strings. */
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
  const copies = requiredCopies(pool, routes)
  if (pool.runners.length === 0) return []
  const tooLarge = copies.filter(({ sizeMiB }) => pool.runners.every(({ memoryMiB }) => memoryMiB < sizeMiB))
  if (tooLarge.length > 0) return tooLarge.map((copy) => describeTooLarge(pool, copy))
  const { unplaced } = packItems(copies, pool.runners.map(({ name, memoryMiB }) => ({ runner: name, freeMiB: memoryMiB })))
  if (unplaced.length === 0) return []
  return [{ row: rowKey({ row: 'pool', pool: pool.name }), field: '', message: describeShortage(pool, copies, unplaced.length) }]
}

function describeTooLarge (pool: Pool, { model, version, sizeMiB }: RequiredCopy): TableIssue {
  const largestMiB = Math.max(...pool.runners.map(({ memoryMiB }) => memoryMiB))
  const message = `one copy with its KV reserve and adapters takes ${sizeMiB} MiB, ` +
    `but the largest runner of pool ${pool.name} has ${largestMiB} MiB`
  return { row: rowKey({ row: 'model', pool: pool.name, name: model, version }), field: 'weightsMiB', message }
}

function describeShortage (pool: Pool, copies: readonly RequiredCopy[], unplacedCount: number): string {
  const requiredMiB = copies.reduce((sumMiB, { sizeMiB }) => sumMiB + sizeMiB, 0)
  const memoryMiB = pool.runners.reduce((sumMiB, runner) => sumMiB + runner.memoryMiB, 0)
  return `${unplacedCount} of ${copies.length} routed models find no room: one copy of each takes ${requiredMiB} MiB, ` +
    `the ${pool.runners.length} runners have ${memoryMiB} MiB together`
}
