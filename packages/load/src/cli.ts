/** Command line of figloom-load. */
import meow from 'meow'
import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '@figloom/runtime'
import { formatIssue, readText, readToml, type ConfigIssue } from '@figloom/settings'
import { formatReport } from './report/format.js'
import { runLoad } from './run/run-load.js'
import type { LoadReport } from './report/types.js'
import { loadFileSchema, loadSchema, type LoadInput } from './settings/schema.js'

const Exit = { Done: 0, InvalidInput: 1, Usage: 2, BrokenPromise: 3, Unreachable: 4 } as const

/** Where the command line writes to, and what ends its load early. */
export type CliEnvironment = { clock: Clock, stdout: (text: string) => void, stderr: (text: string) => void, signal: AbortSignal }

const help = `
  Usage
    $ figloom-load --settings FILE [--json]
    $ figloom-load --entry URL --route NAME [options]

  Options
    --settings, -s     Load as a TOML file
    --entry            Entry host to ask for lookups; may be repeated
    --route            Route to send generations to
    --rate             Requests a second
    --duration-ms      How long requests arrive
    --max-requests     Requests after which it ends early
    --concurrency      Requests in flight
    --seed             Seed of arrivals and prompts
    --json             Print the report as JSON

  Only loopback addresses are accepted.

  Exit codes
    0 done  1 invalid input  2 usage  3 a foreign or partial answer, a second run, or a run after a refusal was seen
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

/** Parses the arguments, sends the load and reports; returns the exit code. */
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
  return exitCodeOf(report)
}

/** Settings of the file with the flags over them, checked as a whole. */
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
    route: rate === undefined ? routes : routes.map((one) => ({ ...one, requestsPerSecond: rate }))
  }
}

function exitCodeOf ({ total, runs }: LoadReport): number {
  const broken = total.foreign + total.partial + (runs?.ranTwice ?? 0) + (runs?.ranThoughRefused ?? 0)
  if (broken > 0) return Exit.BrokenPromise
  return total.sent > 0 && total.answered === 0 ? Exit.Unreachable : Exit.Done
}
