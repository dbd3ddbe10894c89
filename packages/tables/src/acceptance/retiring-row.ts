import { rowKey, type RowChange } from '../rows/rows.js'
import type { RetiringRow } from './state.js'

/**
 * Entry for a pool or runner that a change removes: its memory stays in use and its requests run on after the row is
 * gone. Removed models and adapters need no entry, since the runner's ledger and reports still list them.
 */
export function toRetiringRow (old: RowChange | undefined, change: RowChange, retiredAt: number): RetiringRow | undefined {
  if (change.value !== null || old === undefined || old.value === null) return undefined
  const row = rowKey(change)
  if (old.row === 'pool') return { row, pool: old.pool, retiredAt, kind: 'pool', value: old.value }
  if (old.row === 'runner') return { row, pool: old.pool, retiredAt, kind: 'runner', value: old.value }
  return undefined
}
