import { formatIssue, type ConfigIssue } from '@figloom/settings'
import { toFailureBody, type Failure } from '@figloom/runtime'
import { ExitCode } from '../exit-codes.js'

/** What a command prints and how it ends. */
export type Report = {
  exitCode: ExitCode
  /** Printed with `--json`, as one line. */
  json: unknown
  /** Printed without. */
  lines: string[]
}

/** Where reports go. */
export abstract class Output {
  abstract write (line: string): void
  abstract writeError (line: string): void
}

/** Prints a report: successes to standard output, the rest to standard error; JSON always to standard output. */
export function printReport (output: Output, report: Report, asJson: boolean): void {
  if (asJson) return output.write(JSON.stringify(report.json))
  for (const line of report.lines) {
    if (report.exitCode === ExitCode.Done) output.write(line)
    else output.writeError(line)
  }
}

/** Report of a command that did what it was asked. */
export function reportDone (json: unknown, lines: string[]): Report {
  return { exitCode: ExitCode.Done, json, lines }
}

/** Report of faults in files. */
export function reportIssues (issues: readonly ConfigIssue[]): Report {
  return { exitCode: ExitCode.Invalid, json: { outcome: 'invalid', issues }, lines: issues.map(formatIssue) }
}

/** Report of a failure of the platform or a daemon. */
export function reportFailure (failure: Failure, hint?: string): Report {
  const line = `${failure.message} (code ${failure.code.code} ${failure.code.type})`
  const json = { outcome: 'unreachable', ...toFailureBody(failure) }
  if (hint === undefined) return { exitCode: ExitCode.Unreachable, json, lines: [line] }
  return { exitCode: ExitCode.Unreachable, json: { ...json, hint }, lines: [line, hint] }
}

/** Report of a wrong command line. */
export function reportUsage (message: string): Report {
  return { exitCode: ExitCode.Usage, json: { outcome: 'usage', message }, lines: [message, 'figloom --help lists the commands.'] }
}
