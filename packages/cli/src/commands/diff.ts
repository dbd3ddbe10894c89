import { diffTables, planTransition, tablesOf, type RowChange, type Tables } from '@figloom/tables'
import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { reportDone, reportFailure, reportIssues, type Report } from '../output/report.js'
import { formatChange } from '../output/rows.js'
import { readConfig } from '../remote/config-reader.js'
import { completeTables, readTables } from './tables-files.js'

/** `figloom diff FILE…`: rows that differ between the files and the configuration in force. */
export async function diff (environment: Environment, settings: ClientSettings, paths: readonly string[]): Promise<Report> {
  const parsed = await readTables(paths)
  if (parsed.isErr()) return reportIssues(parsed.error)
  const view = await readConfig(environment.createLogClient(settings.log), settings.log.stream)
  if (view.isErr()) return reportFailure(view.error)
  const { state } = view.value
  const inForce = tablesOf(state)
  const wanted = completeTables(parsed.value.tables, inForce)
  return reportChanges(state.version, state.offset, diffTables(inForce, wanted), peakMode(inForce, wanted))
}

function peakMode (before: Tables, after: Tables): string {
  const names = [...before.pools, ...after.pools].map(({ name }) => name)
  const { mode, issues } = planTransition(before, after, new Set(names))
  return issues.length > 0 ? 'no room' : mode
}

function reportChanges (version: number, baseOffset: number, changes: readonly RowChange[], peak: string): Report {
  const head = `${changes.length} rows differ from version ${version} (offset ${baseOffset}); rollout mode for peak memory: ${peak}`
  return reportDone({ outcome: 'ok', version, baseOffset, peak, changes }, [head, ...changes.map(formatChange)])
}
