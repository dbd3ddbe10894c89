import { readFile } from 'node:fs/promises'
import { getStaticTOMLValue, type AST } from 'toml-eslint-parser'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { z } from 'zod'
import { formatKey, sortIssues, type ConfigIssue, type KeyPath } from './issue.js'
import { toPathIssues } from './messages.js'
import { PositionIndex } from './positions.js'
import { parseSyntax } from './syntax.js'

/** A validated file, with a function to report further issues at its keys. */
export type TomlDocument<T> = {
  file: string
  value: T
  /** Creates an issue at a path, with the position of the path or of its nearest parent in the file. */
  issueAt: (path: KeyPath, message: string) => ConfigIssue
}

/** Parses TOML text and validates it against a schema; reports all issues at once, sorted by position. */
export function readToml<T> (file: string, text: string, schema: z.ZodType<T>): Result<TomlDocument<T>, ConfigIssue[]> {
  return parseSyntax(file, text).andThen((program) => validateProgram(file, program, schema))
}

/** Reads a file; if it cannot be read, the result is a single issue. */
export function readText (path: string): ResultAsync<string, ConfigIssue[]> {
  return ResultAsync.fromPromise(readFile(path, 'utf8'), (error) => {
    const reason = error instanceof Error && 'code' in error ? String(error.code) : 'unreadable'
    return [{ file: path, line: 1, column: 1, key: '', message: `cannot be read (${reason})` }]
  })
}

function validateProgram<T> (file: string, program: AST.TOMLProgram, schema: z.ZodType<T>): Result<TomlDocument<T>, ConfigIssue[]> {
  const positions = PositionIndex.create(program)
  const issueAt = (path: KeyPath, message: string): ConfigIssue =>
    ({ file, ...positions.find(path), key: formatKey(path), message })
  const raw: unknown = getStaticTOMLValue(program)
  const parsed = schema.safeParse(raw)
  const reserved = positions.reservedPaths().map((path) => issueAt(path, 'reserved key'))
  if (parsed.success && reserved.length === 0) return ok({ file, value: parsed.data, issueAt })
  const found = (parsed.error?.issues ?? []).flatMap((issue) => toPathIssues(issue, raw))
  return err(sortIssues([...reserved, ...found.map(({ path, message }) => issueAt(path, message))]))
}
