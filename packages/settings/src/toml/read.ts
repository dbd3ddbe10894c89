import { readFile } from 'node:fs/promises'
import { getStaticTOMLValue, type AST } from 'toml-eslint-parser'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { z } from 'zod'
import { formatKey, sortIssues, type ConfigIssue, type KeyPath } from './issue.js'
import { explainIssue } from './messages.js'
import { PositionIndex } from './positions.js'
import { parseSyntax } from './syntax.js'

/** A checked file: its value, and a way to report further issues at its keys. */
export type TomlDocument<T> = {
  file: string
  value: T
  /** Builds an issue at a path, placed at the nearest key that the file has. */
  issueAt: (path: KeyPath, message: string) => ConfigIssue
}

/** Parses TOML text and checks it against a schema; all faults at once, in the order of the file. */
export function readToml<T> (file: string, text: string, schema: z.ZodType<T>): Result<TomlDocument<T>, ConfigIssue[]> {
  return parseSyntax(file, text).andThen((program) => checkProgram(file, program, schema))
}

/** Reads a file; one that cannot be read gives a single issue. */
export function readText (path: string): ResultAsync<string, ConfigIssue[]> {
  return ResultAsync.fromPromise(readFile(path, 'utf8'), (error) => {
    const reason = error instanceof Error && 'code' in error ? String(error.code) : 'unreadable'
    return [{ file: path, line: 1, column: 1, key: '', message: `cannot be read (${reason})` }]
  })
}

function checkProgram<T> (file: string, program: AST.TOMLProgram, schema: z.ZodType<T>): Result<TomlDocument<T>, ConfigIssue[]> {
  const positions = PositionIndex.create(program)
  const issueAt = (path: KeyPath, message: string): ConfigIssue =>
    ({ file, ...positions.find(path), key: formatKey(path), message })
  const raw: unknown = getStaticTOMLValue(program)
  const parsed = schema.safeParse(raw)
  const reserved = positions.reservedPaths().map((path) => issueAt(path, 'reserved key'))
  if (parsed.success && reserved.length === 0) return ok({ file, value: parsed.data, issueAt })
  const found = (parsed.error?.issues ?? []).flatMap((issue) => explainIssue(issue, raw))
  return err(sortIssues([...reserved, ...found.map(({ path, message }) => issueAt(path, message))]))
}
