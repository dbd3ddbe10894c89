import { okAsync, type ResultAsync } from 'neverthrow'
import type { ConfigIssue } from '@figloom/settings'
import { parseTables, readSources, type ParsedTables, type Tables } from '@figloom/tables'

/** Reads and parses files of tables, without the joined check. */
export function readTables (paths: readonly string[]): ResultAsync<ParsedTables, ConfigIssue[]> {
  return readSources(paths).andThen((sources) => parseTables(sources)).andThen((parsed) => okAsync(parsed))
}

/** Tables as the files want them; a table of which no file has a row stays as it is in force. */
export function completeTables (wanted: Tables, inForce: Tables): Tables {
  return {
    routes: wanted.routes.length > 0 ? wanted.routes : inForce.routes,
    pools: wanted.pools.length > 0 ? wanted.pools : inForce.pools
  }
}

/** Whether files hold rows of both tables, so that the joined check can be made without the log. */
export function holdsBothTables ({ routes, pools }: Tables): boolean {
  return routes.length > 0 && pools.length > 0
}
