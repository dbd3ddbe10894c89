/** Dispatches a command line: selects the command, loads settings, prints the report. */
import { loadClientSettings, type ClientSettings } from '@figloom/settings'
import { parseArguments, type CommandLine } from './arguments.js'
import { check } from './commands/check.js'
import { diff } from './commands/diff.js'
import { drain } from './commands/drain.js'
import { explain } from './commands/explain.js'
import { explainRequest } from './commands/explain-request.js'
import { publish } from './commands/publish.js'
import { status } from './commands/status.js'
import { watch } from './commands/watch.js'
import type { Environment } from './environment.js'
import { ExitCode } from './exit-codes.js'
import { printReport, reportIssues, reportUsage, type Report } from './output/report.js'

/** How many operands a command accepts. */
type Operands = { min: number, max: number }
type Command = { operands: Operands, run: (environment: Environment, settings: ClientSettings, line: CommandLine) => Promise<Report> }

const NONE: Operands = { min: 0, max: 0 }
const ONE: Operands = { min: 1, max: 1 }
const FILES: Operands = { min: 1, max: Infinity }
const ID_AND_FILES: Operands = { min: 2, max: Infinity }

const COMMANDS: Readonly<Record<string, Command>> = {
  publish: { operands: FILES, run: (environment, settings, line) => publish(environment, settings, { ...line, paths: line.operands }) },
  diff: { operands: FILES, run: (environment, settings, { operands }) => diff(environment, settings, operands) },
  status: { operands: NONE, run: (environment, settings) => status(environment, settings) },
  explain: { operands: ONE, run: (environment, settings, { operands }) => explain(environment, settings, operands[0] ?? '') },
  drain: { operands: ONE, run: (environment, settings, { operands }) => drain(environment, settings, operands[0] ?? '') },
  watch: { operands: NONE, run: (environment, settings, { json }) => watch(environment, settings, json) }
}

/** Runs a command line and returns the exit code. */
export async function runFigloom (argv: readonly string[], environment: Environment): Promise<ExitCode> {
  const { output } = environment
  const line = parseArguments(argv)
  if (line.isErr()) {
    printReport(output, reportUsage(line.error), false)
    return ExitCode.Usage
  }
  if (line.value.help) {
    output.write(line.value.helpText)
    return ExitCode.Done
  }
  const report = await runCommand(line.value, environment)
  printReport(output, report, line.value.json)
  return report.exitCode
}

async function runCommand (line: CommandLine, environment: Environment): Promise<Report> {
  if (line.command === 'check') return hasOperands(line, FILES) ? check(line.operands) : reportUsage('check needs at least one file')
  if (line.command === 'explain-request') return hasOperands(line, ID_AND_FILES) ? explainRequest(line.operands) : reportUsage('explain-request needs a request id and at least one log file')
  const command = Object.hasOwn(COMMANDS, line.command) ? COMMANDS[line.command] : undefined
  if (command === undefined) return reportUsage(line.command === '' ? 'no command was given' : `unknown command ${line.command}`)
  if (!hasOperands(line, command.operands)) return reportUsage(`wrong number of arguments for ${line.command}`)
  const settings = await loadClientSettings(line.settingsPath)
  if (settings.isErr()) return reportIssues(settings.error)
  return command.run(environment, settings.value, line)
}

function hasOperands ({ operands }: CommandLine, { min, max }: Operands): boolean {
  return operands.length >= min && operands.length <= max
}
