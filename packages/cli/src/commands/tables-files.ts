import { okAsync, type ResultAsync } from 'neverthrow'
import type { ConfigIssue } from '@figloom/settings'
import { parseTables, readSources, type ParsedTables, type Tables } from '@figloom/tables'

/** Reads and parses files of tables, without checking references between routes and pools. */
export function readTables (paths: readonly string[]): ResultAsync<ParsedTables, ConfigIssue[]> {
  return readSources(paths).andThen((sources) => parseTables(sources)).andThen((parsed) => okAsync(parsed))
}

/** The tables given by the files; a table that has no row in any file is taken from the configuration in force. */
export function completeTables (wanted: Tables, inForce: Tables): Tables {
  return {
    routes: wanted.routes.length > 0 ? wanted.routes : inForce.routes,
    pools: wanted.pools.length > 0 ? wanted.pools : inForce.pools
  }
}

/** Whether the files hold rows of both tables, so that references between them can be checked without the log. */
export function holdsBothTables ({ routes, pools }: Tables): boolean {
  return routes.length > 0 && pools.length > 0
}
