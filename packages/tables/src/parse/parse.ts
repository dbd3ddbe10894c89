/** Parses routes.toml and pools.toml. */
import { err, ok, Result, ResultAsync } from 'neverthrow'
import { crossCheck, readText, readToml, sortIssues, type ConfigIssue, type KeyPath, type TomlDocument } from '@figloom/settings'
import { checkTables, type TableIssue } from '../check/check.js'
import { rowKey, sortTables, type RowKey } from '../rows/rows.js'
import { tablesFileSchema, toPool, type TablesFile } from '../schema/rows.js'
import type { Tables } from '../types.js'
import { findDuplicates } from './duplicates.js'

/** Path and content of a file. */
export type TableSource = { file: string, text: string }

/** Tables parsed from files, with the position of each row. */
export type ParsedTables = {
  tables: Tables
  /** Adds the position in the files to an issue; the start of the first file if no file contains the row. */
  locate: (issue: TableIssue) => ConfigIssue
}

type Document = TomlDocument<TablesFile>
type RowLocation = { document: Document, path: KeyPath }

const checkedSchema = tablesFileSchema.check(crossCheck(findDuplicates))

/** Parses files, each with routes, pools or both, and reports all issues of single files at once. Does not run `checkTables`. */
export function parseTables (sources: readonly TableSource[]): Result<ParsedTables, ConfigIssue[]> {
  const documents = sources.map(({ file, text }) => readToml(file, text, checkedSchema))
  return Result.combineWithAllErrors(documents)
    .mapErr((issues) => issues.flat())
    .andThen(mergeDocuments)
}

/** Parses files and validates them together with `checkTables`. */
export function parseAndCheckTables (sources: readonly TableSource[]): Result<ParsedTables, ConfigIssue[]> {
  return parseTables(sources).andThen((parsed) => {
    const issues = checkTables(parsed.tables).map(parsed.locate)
    return issues.length === 0 ? ok(parsed) : err(sortByFile(issues))
  })
}

/** Reads files; each file that cannot be read yields an issue. */
export function readSources (paths: readonly string[]): ResultAsync<TableSource[], ConfigIssue[]> {
  const reads = paths.map((path) => readText(path).map((text) => ({ file: path, text })))
  return ResultAsync.combineWithAllErrors(reads).mapErr((issues) => issues.flat())
}

function mergeDocuments (documents: Document[]): Result<ParsedTables, ConfigIssue[]> {
  const locations = new Map<RowKey, RowLocation>()
  const issues: ConfigIssue[] = []
  for (const document of documents) {
    for (const [key, path] of listRows(document.value)) {
      const first = locations.get(key)
      if (first === undefined) locations.set(key, { document, path })
      else issues.push(document.issueAt([...path, 'name'], `duplicate row, also in ${first.document.file}`))
    }
  }
  if (issues.length > 0) return err(issues)
  const tables = sortTables({
    routes: documents.flatMap(({ value }) => value.route),
    pools: documents.flatMap(({ value }) => value.pool.map(toPool))
  })
  return ok({ tables, locate: (issue) => locateIssue(issue, locations, documents) })
}

function listRows (file: TablesFile): [RowKey, KeyPath][] {
  const routes = file.route.map((route, index): [RowKey, KeyPath] => [rowKey({ row: 'route', name: route.name }), ['route', index]])
  const pools = file.pool.flatMap((pool, index): [RowKey, KeyPath][] => [
    [rowKey({ row: 'pool', pool: pool.name }), ['pool', index]],
    ...pool.runner.map(({ name }, runnerIndex): [RowKey, KeyPath] =>
      [rowKey({ row: 'runner', pool: pool.name, name }), ['pool', index, 'runner', runnerIndex]]),
    ...pool.model.map(({ name, version }, modelIndex): [RowKey, KeyPath] =>
      [rowKey({ row: 'model', pool: pool.name, name, version }), ['pool', index, 'model', modelIndex]])
  ])
  return [...routes, ...pools]
}

function locateIssue (issue: TableIssue, locations: ReadonlyMap<RowKey, RowLocation>, documents: readonly Document[]): ConfigIssue {
  const location = locations.get(issue.row)
  const field = issue.field === '' ? [] : [issue.field]
  if (location !== undefined) return location.document.issueAt([...location.path, ...field], issue.message)
  return { file: documents[0]?.file ?? '', line: 1, column: 1, key: issue.row, message: issue.message }
}

function sortByFile (issues: readonly ConfigIssue[]): ConfigIssue[] {
  const files = [...new Set(issues.map(({ file }) => file))]
  return files.flatMap((file) => sortIssues(issues.filter((issue) => issue.file === file)))
}
