import { parseTOML, type AST } from 'toml-eslint-parser'
import { err, ok, type Result } from 'neverthrow'
import type { ConfigIssue } from './issue.js'

/** Maximum number of syntax errors reported for one file. */
const MAX_SYNTAX_ISSUES = 50

type TomlSyntaxError = { lineNumber: number, column: number, message: string }

/**
 * Parses TOML and reports all syntax errors. The parser stops at the first error, so the line with the error is cleared
 * and the text is parsed again until it has no more errors. Stops at a table header with an error, since clearing it
 * would cause follow-up errors.
 */
export function parseSyntax (file: string, text: string): Result<AST.TOMLProgram, ConfigIssue[]> {
  const lines = text.split('\n')
  const issues: ConfigIssue[] = []
  while (issues.length < MAX_SYNTAX_ISSUES) {
    const parsed = tryParse(file, lines.join('\n'))
    if (parsed.isOk()) return issues.length === 0 ? ok(parsed.value) : err(issues)
    const error = correctPosition(parsed.error, lines)
    issues.push({ file, line: error.lineNumber, column: error.column + 1, key: '', message: `syntax: ${error.message}` })
    const line = lines[error.lineNumber - 1]
    if (line === undefined || line.trim() === '' || line.trimStart().startsWith('[')) break
    lines[error.lineNumber - 1] = ''
  }
  return err(issues)
}

/** Corrects the position of an incomplete line, which the parser reports at the start of the next line. */
function correctPosition (error: TomlSyntaxError, lines: readonly string[]): TomlSyntaxError {
  const previousLine = lines[error.lineNumber - 2]
  if (error.column > 0 || previousLine === undefined) return error
  const belongsToPreviousLine = error.message.includes('on the same line') || previousLine.trimEnd().endsWith('=')
  if (!belongsToPreviousLine) return error
  return { lineNumber: error.lineNumber - 1, column: previousLine.trimEnd().length, message: 'the line is not complete' }
}

function tryParse (file: string, text: string): Result<AST.TOMLProgram, TomlSyntaxError> {
  try {
    return ok(parseTOML(text, { filePath: file, tomlVersion: '1.0' }))
  } catch (error) {
    if (error instanceof SyntaxError && 'lineNumber' in error) return err(error as unknown as TomlSyntaxError)
    throw error
  }
}
