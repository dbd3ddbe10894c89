import { checkTables, type ParsedTables } from '@figloom/tables'
import { reportDone, reportIssues, type Report } from '../output/report.js'
import { holdsBothTables, readTables } from './tables-files.js'

/** `figloom check FILE…`: parses and validates files without access to the log. */
export async function check (paths: readonly string[]): Promise<Report> {
  return readTables(paths).match(checkAcrossTables, reportIssues)
}

function checkAcrossTables ({ tables, locate }: ParsedTables): Report {
  const joined = holdsBothTables(tables)
  const issues = joined ? checkTables(tables).map(locate) : []
  if (issues.length > 0) return reportIssues(issues)
  const counts = { routes: tables.routes.length, pools: tables.pools.length, joined }
  const note = joined ? '' : '; only one of the two tables was given, so references between them were not checked'
  return reportDone({ outcome: 'ok', ...counts }, [`ok: ${counts.routes} routes, ${counts.pools} pools${note}`])
}
