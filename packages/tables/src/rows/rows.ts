/** Rows of the tables: the units that edits change and between which conflicts are detected. */
import type { Pool, PoolModel, Route, Runner, Tables } from '../types.js'

/** Properties of a pool, without its runners and models, which are rows of their own. */
export type PoolProperties = Pick<Pool, 'name' | 'region' | 'moveWeight'>

/** Unique key of a row: kind and names, joined by colons, such as `runner:drafting:drafting-01`. */
export type RowKey = string

/** One row with its value. */
export type Row =
  | { row: 'route', name: string, value: Route }
  | { row: 'pool', pool: string, value: PoolProperties }
  | { row: 'runner', pool: string, name: string, value: Runner }
  | { row: 'model', pool: string, name: string, version: string, value: PoolModel }

/** Change of one row by an edit: `value` is the new row, or null to remove it. */
export type RowChange = Row | (RowName & { value: null })

/** Kind and names that identify a row. */
export type RowName =
  | { row: 'route', name: string }
  | { row: 'pool', pool: string }
  | { row: 'runner', pool: string, name: string }
  | { row: 'model', pool: string, name: string, version: string }

/** Key of a row, unique across both tables. */
export function rowKey (row: RowName): RowKey {
  switch (row.row) {
    case 'route': return `route:${row.name}`
    case 'pool': return `pool:${row.pool}`
    case 'runner': return `runner:${row.pool}:${row.name}`
    case 'model': return `model:${row.pool}:${row.name}:${row.version}`
  }
}

/** Splits a pool into its rows. */
export function rowsOfPool (pool: Pool): Row[] {
  const { name, region, moveWeight, runners, models } = pool
  return [
    { row: 'pool', pool: name, value: { name, region, moveWeight } },
    ...runners.map((value): Row => ({ row: 'runner', pool: name, name: value.name, value })),
    ...models.map((value): Row => ({ row: 'model', pool: name, name: value.name, version: value.version, value }))
  ]
}

/** All rows of the tables. */
export function rowsOf ({ routes, pools }: Tables): Row[] {
  return [
    ...routes.map((value): Row => ({ row: 'route', name: value.name, value })),
    ...pools.flatMap(rowsOfPool)
  ]
}

/** Assembles a pool from its rows; undefined if the row of the pool itself is missing. */
export function poolFromRows (rows: Iterable<Row>): Pool | undefined {
  let properties: PoolProperties | undefined
  const runners: Runner[] = []
  const models: PoolModel[] = []
  for (const row of rows) {
    if (row.row === 'pool') properties = row.value
    if (row.row === 'runner') runners.push(row.value)
    if (row.row === 'model') models.push(row.value)
  }
  if (properties === undefined) return undefined
  return { ...properties, runners: runners.sort(byName), models: models.sort(byNameAndVersion) }
}

/** Sorts tables in canonical order, which does not depend on the order of the input. */
export function sortTables ({ routes, pools }: Tables): Tables {
  return {
    routes: [...routes].sort(byName),
    pools: pools.map(sortPool).sort(byName)
  }
}

/** Compares two strings by UTF-16 code units, independently of the locale. */
export function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}

function sortPool (pool: Pool): Pool {
  const models = pool.models.map((model) => ({ ...model, adapters: [...model.adapters].sort(byName) }))
  return { ...pool, runners: [...pool.runners].sort(byName), models: models.sort(byNameAndVersion) }
}

function byName (a: { name: string }, b: { name: string }): number {
  return compareText(a.name, b.name)
}

function byNameAndVersion (a: PoolModel, b: PoolModel): number {
  return compareText(a.name, b.name) || compareText(a.version, b.version)
}
