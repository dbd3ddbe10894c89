import { canonicalJson, rowKey, type RowChange } from '@figloom/tables'

/** One line for a changed row. */
export function formatChange (change: RowChange): string {
  return change.value === null ? `- ${rowKey(change)}` : `~ ${rowKey(change)} ${canonicalJson(change.value)}`
}
