/** Validation issues of settings and table files, each with its position in the file. */

/** One issue. Lines and columns start at 1. */
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

/** Formats a path with dots between keys and indexes in brackets. */
export function formatKey (path: KeyPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`
    return text === '' ? part : `${text}.${part}`
  }, '')
}

/** Formats an issue as `file:line:column: key: message`. */
export function formatIssue (issue: ConfigIssue): string {
  const position = `${issue.file}:${issue.line}:${issue.column}`
  return issue.key === '' ? `${position}: ${issue.message}` : `${position}: ${issue.key}: ${issue.message}`
}

/** Sorts issues by their position in the file. */
export function sortIssues (issues: readonly ConfigIssue[]): ConfigIssue[] {
  return [...issues].sort((a, b) => a.line - b.line || a.column - b.column || compareText(a.key, b.key))
}

function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}
