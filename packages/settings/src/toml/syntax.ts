import { parseTOML, type AST } from 'toml-eslint-parser'
import { err, ok, type Result } from 'neverthrow'
import type { ConfigIssue } from './issue.js'

/** Syntax errors reported for one file at most. */
const MAX_SYNTAX_ISSUES = 50

type SyntaxFault = { lineNumber: number, column: number, message: string }

/**
 * Parses TOML. The parser stops at its first error, so the line of an error is blanked and the rest parsed again,
 * until the rest is sound; errors that would only follow from a blanked table header are left out.
 */
export function parseSyntax (file: string, text: string): Result<AST.TOMLProgram, ConfigIssue[]> {
  const lines = text.split('\n')
  const issues: ConfigIssue[] = []
  while (issues.length < MAX_SYNTAX_ISSUES) {
    const parsed = tryParse(file, lines.join('\n'))
    if (parsed.isOk()) return issues.length === 0 ? ok(parsed.value) : err(issues)
    const fault = placeFault(parsed.error, lines)
    issues.push({ file, line: fault.lineNumber, column: fault.column + 1, key: '', message: `syntax: ${fault.message}` })
    const line = lines[fault.lineNumber - 1]
    if (line === undefined || line.trim() === '' || line.trimStart().startsWith('[')) break
    lines[fault.lineNumber - 1] = ''
  }
  return err(issues)
}

/** The parser reports a value that is missing at the end of a line at the start of the next one. */
function placeFault (fault: SyntaxFault, lines: readonly string[]): SyntaxFault {
  const before = lines[fault.lineNumber - 2]
  if (fault.column > 0 || before === undefined) return fault
  const isBefore = fault.message.includes('on the same line') || before.trimEnd().endsWith('=')
  if (!isBefore) return fault
  return { lineNumber: fault.lineNumber - 1, column: before.trimEnd().length, message: 'the line is not complete' }
}

function tryParse (file: string, text: string): Result<AST.TOMLProgram, SyntaxFault> {
  try {
    return ok(parseTOML(text, { filePath: file, tomlVersion: '1.0' }))
  } catch (error) {
    if (error instanceof SyntaxError && 'lineNumber' in error) return err(error as unknown as SyntaxFault)
    throw error
  }
}
