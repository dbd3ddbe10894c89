import meow from 'meow'
import { err, ok, Result } from 'neverthrow'

const HELP = `
  Usage
    figloom check FILE...       parse and check tables
    figloom publish FILE...     publish tables as one edit
    figloom diff FILE...        rows in which files differ from the configuration in force
    figloom status              hosts, cells and runners
    figloom explain ROUTE       how a route is served at present
    figloom explain-request ID FILE...
                                one request's story and cause, from collected logs of hosts
    figloom drain HOST|RUNNER   stop new work to a host or runner
    figloom watch               print the status whenever it changes

  Options
    --json            print one line of JSON
    --settings FILE   settings of the command line (figloom.toml)
    --base OFFSET     publish: offset that the files were edited from (the present one)
    --edit-id ID      publish: the same for each repeat of one edit (a new one)
    --wait            publish: wait until the version is in force on every host

  Exit codes
    0 done, 1 invalid input, 2 usage, 3 conflict, 4 platform unreachable, 5 not yet in force everywhere
`

/** Digits of an offset, few enough for an exact number. */
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

/** Parses arguments without the program's name; an error says what is wrong with them. */
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

/** Options that are given twice make meow throw. */
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
