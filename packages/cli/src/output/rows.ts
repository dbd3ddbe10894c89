import { canonicalJson, rowKey, type RowChange } from '@figloom/tables'

/** Formats a changed or removed row as one line. */
export function formatChange (change: RowChange): string {
  return change.value === null ? `- ${rowKey(change)}` : `~ ${rowKey(change)} ${canonicalJson(change.value)}`
}
