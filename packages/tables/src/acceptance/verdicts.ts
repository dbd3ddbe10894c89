import type { TableIssue } from '../check/check.js'
import type { RowKey } from '../rows/rows.js'

/** A row that changed after the base of an edit. */
export type RowConflict = { row: RowKey, author: string, offset: number }

/** What the rule says of an edit. The wording of issues is part of the rule's version. */
export type Verdict =
  | { kind: 'accepted', version: number }
  /** Rows changed since the base; no row if the base is older than `oldestBase`. */
  | { kind: 'conflicting', rows: RowConflict[], oldestBase: number }
  | { kind: 'invalid', issues: TableIssue[] }

/** Issues kept in a verdict at most. */
export const MAX_ISSUES = 20

/** Verdict on an edit with faults. */
export function invalid (issues: readonly TableIssue[]): Verdict {
  return { kind: 'invalid', issues: issues.slice(0, MAX_ISSUES) }
}

/** Verdict on an edit with a fault in its envelope. */
export function invalidEnvelope (field: string, message: string): Verdict {
  return invalid([{ row: '', field, message }])
}
