import { formatIssue, type ConfigIssue } from '@figloom/settings'
import { toFailureBody, type Failure } from '@figloom/runtime'
import { ExitCode } from '../exit-codes.js'

/** Output and exit code of a command. */
export type Report = {
  exitCode: ExitCode
  /** Printed with `--json`, as one line. */
  json: unknown
  /** Printed without `--json`. */
  lines: string[]
}

/** Destination of reports. */
export abstract class Output {
  abstract write (line: string): void
  abstract writeError (line: string): void
}

/** Prints a report: JSON to standard output; text to standard output on success and to standard error otherwise. */
export function printReport (output: Output, report: Report, asJson: boolean): void {
  if (asJson) return output.write(JSON.stringify(report.json))
  for (const line of report.lines) {
    if (report.exitCode === ExitCode.Done) output.write(line)
    else output.writeError(line)
  }
}

/** Report of a successful command. */
export function reportDone (json: unknown, lines: string[]): Report {
  return { exitCode: ExitCode.Done, json, lines }
}

/** Report of invalid files. */
export function reportIssues (issues: readonly ConfigIssue[]): Report {
  return { exitCode: ExitCode.Invalid, json: { outcome: 'invalid', issues }, lines: issues.map(formatIssue) }
}

/** Report of a failed call to the log or a daemon. */
export function reportFailure (failure: Failure, hint?: string): Report {
  const line = `${failure.message} (code ${failure.code.code} ${failure.code.type})`
  const json = { outcome: 'unreachable', ...toFailureBody(failure) }
  if (hint === undefined) return { exitCode: ExitCode.Unreachable, json, lines: [line] }
  return { exitCode: ExitCode.Unreachable, json: { ...json, hint }, lines: [line, hint] }
}

/** Report of an invalid command line. */
export function reportUsage (message: string): Report {
  return { exitCode: ExitCode.Usage, json: { outcome: 'usage', message }, lines: [message, 'figloom --help lists the commands.'] }
}
