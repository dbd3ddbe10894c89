/** State of a reader of the configuration stream. */
import type { Pool, Route, Runner, Tables } from '../types.js'
import { compareText, poolFromRows, type PoolProperties, type Row, type RowChange, type RowKey } from '../rows/rows.js'
import type { Verdict } from './verdicts.js'

/** Last change of a row. The entry of a removed row is kept as long as an edit could still conflict with the removal. */
export type RowEntry = { change: RowChange, author: string, offset: number }

/** Rows that are copied together when one of them changes: all routes, or the rows of one pool. */
export type Shard = ReadonlyMap<RowKey, RowEntry>

/** An edit that was read, with its verdict. */
export type EditEntry = { editId: string, offset: number, verdict: Verdict }

/** A removed pool or runner that may still hold memory or run requests. */
export type RetiringRow = { row: RowKey, pool: string, retiredAt: number } & (
  | { kind: 'pool', value: PoolProperties }
  | { kind: 'runner', value: Runner }
)

/** State after the record at `offset`. Immutable. */
export type ConfigState = {
  /** Highest rule version among the records that were applied. */
  ruleVersion: number
  offset: number
  /** Offset of the last accepted edit: the version of the configuration in force. */
  version: number
  /** Smallest base offset that an edit may have; older edits and removals are no longer kept. */
  oldestBase: number
  shards: ReadonlyMap<string, Shard>
  /** Latest edits by id, oldest first. */
  edits: ReadonlyMap<string, EditEntry>
  retiring: ReadonlyMap<RowKey, RetiringRow>
}

/** Name of the shard that contains all routes; each pool has a shard of its own. */
export const ROUTES_SHARD = 'routes'

const EMPTY_SHARD: Shard = new Map()

/** State before the first record. */
export function createConfigState (): ConfigState {
  return { ruleVersion: 1, offset: 0, version: 0, oldestBase: 0, shards: new Map(), edits: new Map(), retiring: new Map() }
}

/** Name of the shard that a row belongs to. */
export function shardOf (change: RowChange): string {
  return change.row === 'route' ? ROUTES_SHARD : `pool:${change.pool}`
}

/** Shard of a state by name; empty if it has no rows. */
export function getShard (state: ConfigState, shard: string): Shard {
  return state.shards.get(shard) ?? EMPTY_SHARD
}

/** Rows of a shard without the removed ones. */
export function liveRows (shard: Shard): Row[] {
  return [...shard.values()].flatMap(({ change }) => isRow(change) ? [change] : [])
}

/** Tables in force. Shards that did not change yield the same objects as before. */
export function tablesOf (state: ConfigState): Tables {
  const routes = memoizedRoutes(getShard(state, ROUTES_SHARD))
  const pools = [...state.shards]
    .filter(([name]) => name !== ROUTES_SHARD)
    .flatMap(([, shard]) => memoizedPool(shard) ?? [])
  return { routes, pools: pools.sort((a, b) => compareText(a.name, b.name)) }
}

const routesByShard = new WeakMap<Shard, Route[]>()
const poolByShard = new WeakMap<Shard, Pool | null>()

function memoizedRoutes (shard: Shard): Route[] {
  const cached = routesByShard.get(shard)
  if (cached !== undefined) return cached
  const routes = liveRows(shard).flatMap((row) => row.row === 'route' ? [row.value] : [])
  routes.sort((a, b) => compareText(a.name, b.name))
  routesByShard.set(shard, routes)
  return routes
}

function memoizedPool (shard: Shard): Pool | undefined {
  const cached = poolByShard.get(shard)
  if (cached !== undefined) return cached ?? undefined
  const pool = poolFromRows(liveRows(shard))
  poolByShard.set(shard, pool ?? null)
  return pool
}

function isRow (change: RowChange): change is Row {
  return change.value !== null
}
