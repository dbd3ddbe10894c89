import type { ConfigIssue } from '@figloom/settings'
import type { ParsedTables, Verdict } from '@figloom/tables'
import { ExitCode } from '../exit-codes.js'
import { reportDone, reportIssues, type Report } from '../output/report.js'

/** Report of the verdict on an edit; issues are given with their position in the files. */
export function reportVerdict (editId: string, verdict: Verdict, files: ParsedTables): Report {
  switch (verdict.kind) {
    case 'accepted': return reportAccepted(editId, verdict.version)
    case 'conflicting': return reportConflict(editId, verdict)
    case 'invalid': return reportInvalid(editId, verdict.issues.map(files.locate))
  }
}

function reportAccepted (editId: string, version: number): Report {
  return reportDone({ outcome: 'accepted', editId, version }, [`accepted as version ${version} (edit ${editId})`])
}

function reportConflict (editId: string, { rows, oldestBase }: Extract<Verdict, { kind: 'conflicting' }>): Report {
  const lines = rows.map(({ row, author, offset }) => `conflict: ${row} was changed by ${author} at offset ${offset}`)
  const note = rows.length > 0 ? [] : [`conflict: the base offset of the edit is older than ${oldestBase}, the oldest that edits can be based on`]
  return { exitCode: ExitCode.Conflict, json: { outcome: 'conflicting', editId, rows, oldestBase }, lines: [...lines, ...note] }
}

function reportInvalid (editId: string, issues: readonly ConfigIssue[]): Report {
  const report = reportIssues(issues)
  return { ...report, json: { ...report.json as object, editId } }
}
