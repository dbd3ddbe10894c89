import type { TableIssue } from '../check/check.js'
import type { RowKey } from '../rows/rows.js'

/** A row that changed after the base of an edit. */
export type RowConflict = { row: RowKey, author: string, offset: number }

/** Verdict of the acceptance rule on an edit. The texts of its issues are part of the rule's version. */
export type Verdict =
  | { kind: 'accepted', version: number }
  /** `rows` changed since the base; empty if the base is older than `oldestBase`. */
  | { kind: 'conflicting', rows: RowConflict[], oldestBase: number }
  | { kind: 'invalid', issues: TableIssue[] }

/** Maximum number of issues in a verdict. */
export const MAX_ISSUES = 20

/** Verdict on an edit whose result would not be valid. */
export function invalid (issues: readonly TableIssue[]): Verdict {
  return { kind: 'invalid', issues: issues.slice(0, MAX_ISSUES) }
}

/** Verdict on an edit with an error in a field of its own, not in a row. */
export function invalidEnvelope (field: string, message: string): Verdict {
  return invalid([{ row: '', field, message }])
}
