/** What a reader of the configuration stream knows after a record. */
import type { Pool, Route, Runner, Tables } from '../types.js'
import { compareText, poolFromRows, type PoolHead, type Row, type RowChange, type RowKey } from '../rows/rows.js'
import type { Verdict } from './verdicts.js'

/** Last change of a row; removed rows stay as long as an edit could still conflict with the removal. */
export type RowEntry = { change: RowChange, author: string, offset: number }

/** Rows that are copied together when one changes: all routes, or one pool. */
export type Shard = ReadonlyMap<RowKey, RowEntry>

/** An edit that was seen, with its verdict. */
export type KnownEdit = { editId: string, offset: number, verdict: Verdict }

/** A removed pool or runner whose memory or requests may not have ended yet. */
export type RetiringRow = { row: RowKey, pool: string, retiredAt: number } & (
  | { kind: 'pool', value: PoolHead }
  | { kind: 'runner', value: Runner }
)

/** State after the record at `offset`. Never changed in place. */
export type ConfigState = {
  /** Highest rule version among the records that it contains. */
  ruleVersion: number
  offset: number
  /** Offset of the last accepted edit: the version of the configuration in force. */
  version: number
  /** Oldest base that an edit may name; older edits and removals are forgotten. */
  oldestBase: number
  shards: ReadonlyMap<string, Shard>
  /** Edits by id, oldest first. */
  edits: ReadonlyMap<string, KnownEdit>
  retiring: ReadonlyMap<RowKey, RetiringRow>
}

/** Shard of all routes; pools have one shard each. */
export const ROUTES_SHARD = 'routes'

const EMPTY_SHARD: Shard = new Map()

/** State before the first record. */
export function createConfigState (): ConfigState {
  return { ruleVersion: 1, offset: 0, version: 0, oldestBase: 0, shards: new Map(), edits: new Map(), retiring: new Map() }
}

/** Shard of a row. */
export function shardOf (change: RowChange): string {
  return change.row === 'route' ? ROUTES_SHARD : `pool:${change.pool}`
}

/** A shard of a state; empty if it has no row. */
export function getShard (state: ConfigState, shard: string): Shard {
  return state.shards.get(shard) ?? EMPTY_SHARD
}

/** Rows of a shard that are not removed. */
export function liveRows (shard: Shard): Row[] {
  return [...shard.values()].flatMap(({ change }) => isRow(change) ? [change] : [])
}

/** Tables in force. Shards that did not change give the same objects as before. */
export function tablesOf (state: ConfigState): Tables {
  const routes = memoRoutes(getShard(state, ROUTES_SHARD))
  const pools = [...state.shards]
    .filter(([name]) => name !== ROUTES_SHARD)
    .flatMap(([, shard]) => memoPool(shard) ?? [])
  return { routes, pools: pools.sort((a, b) => compareText(a.name, b.name)) }
}

const routesByShard = new WeakMap<Shard, Route[]>()
const poolByShard = new WeakMap<Shard, Pool | null>()

function memoRoutes (shard: Shard): Route[] {
  const known = routesByShard.get(shard)
  if (known !== undefined) return known
  const routes = liveRows(shard).flatMap((row) => row.row === 'route' ? [row.value] : [])
  routes.sort((a, b) => compareText(a.name, b.name))
  routesByShard.set(shard, routes)
  return routes
}

function memoPool (shard: Shard): Pool | undefined {
  const known = poolByShard.get(shard)
  if (known !== undefined) return known ?? undefined
  const pool = poolFromRows(liveRows(shard))
  poolByShard.set(shard, pool ?? null)
  return pool
}

function isRow (change: RowChange): change is Row {
  return change.value !== null
}
