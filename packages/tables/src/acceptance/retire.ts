import { rowKey, type RowChange } from '../rows/rows.js'
import type { RetiringRow } from './state.js'

/**
 * What a change leaves behind: a removed pool or runner, whose memory and requests outlive its row. Removed models and
 * adapters need no entry, since the runner's own books and reports go on naming them.
 */
export function findRetired (old: RowChange | undefined, change: RowChange, retiredAt: number): RetiringRow | undefined {
  if (change.value !== null || old === undefined || old.value === null) return undefined
  const row = rowKey(change)
  if (old.row === 'pool') return { row, pool: old.pool, retiredAt, kind: 'pool', value: old.value }
  if (old.row === 'runner') return { row, pool: old.pool, retiredAt, kind: 'runner', value: old.value }
  return undefined
}
