import type { Tables } from '../types.js'
import { canonicalJson } from './canonical.js'
import { compareText, rowKey, rowsOf, sortTables, type Row, type RowChange } from './rows.js'

/** Changes that turn `before` into `after`, sorted by row key. */
export function diffTables (before: Tables, after: Tables): RowChange[] {
  const old = indexRows(before)
  const target = indexRows(after)
  const changed = [...target].filter(([key, row]) => !isSame(old.get(key), row)).map(([, row]): RowChange => row)
  const removed = [...old].filter(([key]) => !target.has(key)).map(([, row]): RowChange => ({ ...row, value: null }))
  return [...changed, ...removed].sort((a, b) => compareText(rowKey(a), rowKey(b)))
}

/** Whether two versions of the tables have the same rows. */
export function sameTables (a: Tables, b: Tables): boolean {
  return canonicalJson(sortTables(a)) === canonicalJson(sortTables(b))
}

function indexRows (tables: Tables): Map<string, Row> {
  return new Map(rowsOf(sortTables(tables)).map((row) => [rowKey(row), row]))
}

function isSame (a: Row | undefined, b: Row): boolean {
  return a !== undefined && canonicalJson(a.value) === canonicalJson(b.value)
}
