/** Faults of a settings file or table, each with its place. */

/** One fault. Lines and columns count from 1. */
export type ConfigIssue = {
  file: string
  line: number
  column: number
  /** Dotted path of the key, such as `pool[0].runner[2].url`; empty for the whole file. */
  key: string
  message: string
}

/** Path of a value in a file: keys and array indexes from the root. */
export type KeyPath = readonly (string | number)[]

/** Dotted form of a path, with indexes in brackets. */
export function formatKey (path: KeyPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`
    return text === '' ? part : `${text}.${part}`
  }, '')
}

/** One line for people: `file:line:column: key: message`. */
export function formatIssue (issue: ConfigIssue): string {
  const place = `${issue.file}:${issue.line}:${issue.column}`
  return issue.key === '' ? `${place}: ${issue.message}` : `${place}: ${issue.key}: ${issue.message}`
}

/** Issues in the order of the file. */
export function sortIssues (issues: readonly ConfigIssue[]): ConfigIssue[] {
  return [...issues].sort((a, b) => a.line - b.line || a.column - b.column || compareText(a.key, b.key))
}

function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}
