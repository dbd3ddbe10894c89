import type { PoolModel } from '../types.js'
import { rowKey, type RowChange, type RowKey } from '../rows/rows.js'
import type { RetiringRow } from './state.js'

/** Rows that retire or come back by a change from `old` to `change`. */
export type Retirement = { retired: RetiringRow[], returned: RowKey[] }

/** Key of an adapter, which is part of a model's row. */
export function adapterKey (pool: string, model: string, version: string, adapter: string): RowKey {
  return `adapter:${pool}:${model}:${version}:${adapter}`
}

/** What a change leaves behind in memory: removed pools, runners, models and adapters. Routes hold no memory. */
export function findRetirement (old: RowChange | undefined, change: RowChange, retiredAt: number): Retirement {
  const row = rowKey(change)
  const returned = change.value === null ? [] : [row, ...adapterKeysOf(change)]
  const removed = change.value === null && old !== undefined ? describeRemoved(old, row, retiredAt) : []
  return { retired: [...removed, ...droppedAdapters(old, change, retiredAt)], returned }
}

function describeRemoved (old: RowChange, row: RowKey, retiredAt: number): RetiringRow[] {
  if (old.value === null || old.row === 'route') return []
  const entry = { row, pool: old.pool, retiredAt }
  if (old.row === 'pool') return [{ ...entry, kind: 'pool', value: old.value }]
  if (old.row === 'runner') return [{ ...entry, kind: 'runner', value: old.value }]
  return [{ ...entry, kind: 'model', value: old.value }]
}

function droppedAdapters (old: RowChange | undefined, change: RowChange, retiredAt: number): RetiringRow[] {
  if (old?.row !== 'model' || old.value === null || change.row !== 'model' || change.value === null) return []
  const kept = new Set(change.value.adapters.map(({ name }) => name))
  const { pool, name: model, version } = change
  return old.value.adapters
    .filter(({ name }) => !kept.has(name))
    .map((value) => ({ row: adapterKey(pool, model, version, value.name), pool, retiredAt, kind: 'adapter', model, version, value }))
}

function adapterKeysOf (change: RowChange): RowKey[] {
  if (change.row !== 'model' || change.value === null) return []
  const { adapters }: PoolModel = change.value
  return adapters.map(({ name }) => adapterKey(change.pool, change.name, change.version, name))
}
