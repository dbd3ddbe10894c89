/** Command line of figloom-load. */
import meow from 'meow'
import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '@figloom/runtime'
import { formatIssue, readText, readToml, type ConfigIssue } from '@figloom/settings'
import { formatReport } from './report/format.js'
import { runLoad } from './run/run-load.js'
import type { LoadReport } from './report/types.js'
import { loadFileSchema, loadSchema, type LoadInput } from './settings/schema.js'

const Exit = { Done: 0, InvalidInput: 1, Usage: 2, GuaranteeViolated: 3, Unreachable: 4 } as const

/** Clock and outputs of the command line; `signal` ends the load early. */
export type CliEnvironment = { clock: Clock, stdout: (text: string) => void, stderr: (text: string) => void, signal: AbortSignal }

const help = `
  Usage
    $ figloom-load --settings FILE [--json]
    $ figloom-load --entry URL --route NAME [options]

  Options
    --settings, -s     TOML file that describes the load
    --entry            URL of a host to send lookups to; may be given several times
    --route            Route to send chat requests to
    --rate             Requests per second
    --duration-ms      How long new requests are sent
    --max-requests     Number of requests after which the load ends early
    --concurrency      Maximum number of requests in flight
    --seed             Seed of arrival times and prompts
    --json             Print the report as JSON

  Only loopback addresses are accepted.

  Exit codes
    0 done  1 invalid input  2 usage  3 an answer was partial or belonged to another request, a call with a key ran
    twice, or a call ran although it was refused
    4 no request was answered
`

const flagTypes = {
  settings: { type: 'string', shortFlag: 's' },
  entry: { type: 'string', isMultiple: true },
  route: { type: 'string' },
  rate: { type: 'number' },
  durationMs: { type: 'number' },
  maxRequests: { type: 'number' },
  concurrency: { type: 'number' },
  seed: { type: 'number' },
  json: { type: 'boolean', default: false }
} as const

type Flags = ReturnType<typeof meow<typeof flagTypes>>['flags']

/** Parses the arguments, runs the load and prints the report; returns the exit code. */
export async function runCli (argv: string[], environment: CliEnvironment): Promise<number> {
  const { flags } = meow(help, { importMeta: import.meta, argv, flags: flagTypes, allowUnknownFlags: false })
  if (flags.settings === undefined && flags.route === undefined) {
    environment.stderr(help)
    return Exit.Usage
  }
  const input = await readInput(flags)
  if (input.isErr()) {
    for (const line of input.error) environment.stderr(line + '\n')
    return Exit.InvalidInput
  }
  const report = await runLoad(input.value, environment.clock, environment.signal)
  environment.stdout(flags.json ? JSON.stringify(report, null, 2) + '\n' : formatReport(report))
  return toExitCode(report)
}

/** Settings of the file, overridden by flags and then validated. */
async function readInput (flags: Flags): Promise<Result<LoadInput, string[]>> {
  const file: Result<LoadInput, string[]> = flags.settings === undefined ? ok({ route: [] }) : await readFileSettings(flags.settings)
  return file.andThen((settings) => {
    const parsed = loadSchema.safeParse(withFlags(settings, flags))
    if (parsed.success) return ok(parsed.data)
    return err(parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`))
  })
}

async function readFileSettings (file: string): Promise<Result<LoadInput, string[]>> {
  const read = await readText(file).andThen((text) => readToml(file, text, loadFileSchema))
  return read.map(({ value }): LoadInput => value).mapErr((issues: ConfigIssue[]) => issues.map(formatIssue))
}

function withFlags (settings: LoadInput, flags: Flags): LoadInput {
  const { entry, route, rate, durationMs, maxRequests, concurrency, seed } = flags
  const given = Object.entries({ durationMs, maxRequests, concurrency, seed }).filter(([, value]) => value !== undefined)
  const routes = route === undefined ? settings.route : [{ name: route }]
  return {
    ...settings,
    ...Object.fromEntries(given),
    ...(entry === undefined || entry.length === 0 ? {} : { entries: entry }),
    route: rate === undefined ? routes : routes.map((setting) => ({ ...setting, requestsPerSecond: rate }))
  }
}

function toExitCode ({ total, runs }: LoadReport): number {
  const violations = total.foreign + total.partial + (runs?.ranTwice ?? 0) + (runs?.ranThoughRefused ?? 0)
  if (violations > 0) return Exit.GuaranteeViolated
  return total.sent > 0 && total.answered === 0 ? Exit.Unreachable : Exit.Done
}
