import meow from 'meow'
import { err, ok, Result } from 'neverthrow'

const HELP = `
  Usage
    figloom check FILE...       parse and validate tables
    figloom publish FILE...     publish tables as a single edit
    figloom diff FILE...        rows that differ between the files and the configuration in force
    figloom status              hosts, cells and runners
    figloom explain ROUTE       how a route is served now
    figloom explain-request ID FILE...
                                timeline of a request and the cause of its result, from collected host logs
    figloom drain HOST|RUNNER   stop new work to a host or runner
    figloom watch               print the status whenever it changes

  Options
    --json            print one line of JSON
    --settings FILE   settings file of the command line (default: figloom.toml)
    --base OFFSET     publish: offset that the files were edited from (default: the latest)
    --edit-id ID      publish: id of the edit; pass the same id to retry (default: a new id)
    --wait            publish: wait until the version is in force on every host

  Exit codes
    0 done, 1 invalid input, 2 usage, 3 conflict, 4 platform unreachable, 5 not yet in force everywhere
`

/** An offset of at most 15 digits, so that it converts to a number without loss. */
const OFFSET = /^\d{1,15}$/

/** A parsed command line. */
export type CommandLine = {
  command: string
  operands: string[]
  json: boolean
  settingsPath: string
  baseOffset: number | undefined
  editId: string | undefined
  wait: boolean
  help: boolean
  helpText: string
}

const KNOWN_FLAGS: readonly string[] = ['json', 'settings', 'base', 'editId', 'wait', 'help']

/** Parses the arguments that follow the program name; the error is a message for the operator. */
export function parseArguments (argv: readonly string[]): Result<CommandLine, string> {
  const read = readFlags(argv)
  if (read.isErr()) return err(read.error)
  const { input, flags, help } = read.value
  const unknown = Object.keys(flags).find((flag) => !KNOWN_FLAGS.includes(flag))
  if (unknown !== undefined) return err(`unknown option ${unknown}`)
  if (flags.base !== undefined && !OFFSET.test(flags.base)) return err('--base must be an offset')
  const baseOffset = flags.base === undefined ? undefined : Number(flags.base)
  if (flags.editId === '') return err('--edit-id must not be empty')
  const [command = '', ...operands] = input
  return ok({
    command,
    operands,
    json: flags.json,
    settingsPath: flags.settings,
    baseOffset,
    editId: flags.editId,
    wait: flags.wait,
    help: flags.help,
    helpText: help
  })
}

/** meow throws when an option is given twice. */
const readFlags = Result.fromThrowable((argv: readonly string[]) => meow(HELP, {
  importMeta: import.meta,
  argv: [...argv],
  autoHelp: false,
  autoVersion: false,
  flags: {
    json: { type: 'boolean', default: false },
    settings: { type: 'string', default: 'figloom.toml' },
    base: { type: 'string' },
    editId: { type: 'string' },
    wait: { type: 'boolean', default: false },
    help: { type: 'boolean', default: false }
  }
}), (error) => error instanceof Error ? error.message : String(error))
