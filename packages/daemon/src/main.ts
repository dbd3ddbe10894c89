#!/usr/bin/env node
/** figloomd: runs one entry host until it gets SIGTERM or SIGINT; a second signal ends it at once. */
import meow from 'meow'
import { createLogger, ProcessGuard, RandomIdSource, startTraces, SystemClock } from '@figloom/runtime'
import { formatIssue, loadDaemonSettings, type DaemonSettings } from '@figloom/settings'
import { Daemon } from './app.js'
import { PROGRAM } from './program.js'

const INVALID_SETTINGS_EXIT = 1
const USAGE_EXIT = 2
const SECOND_SIGNAL_EXIT = 130

const cli = meow(`
  Usage
    $ figloomd --settings FILE

  Prints {"listening":{"host","callerUrl","operatorUrl"}} once it listens.
  SIGTERM or SIGINT shuts it down gracefully; a second one ends it at once.
`, {
  importMeta: import.meta,
  flags: { settings: { type: 'string', shortFlag: 's' } }
})

if (cli.flags.settings === undefined) cli.showHelp(USAGE_EXIT)
else await main(cli.flags.settings)

async function main (file: string): Promise<void> {
  const settings = await loadDaemonSettings(file)
  if (settings.isErr()) {
    for (const issue of settings.error) process.stderr.write(formatIssue(issue) + '\n')
    process.exitCode = INVALID_SETTINGS_EXIT
    return
  }
  await run(settings.value)
}

async function run (settings: DaemonSettings): Promise<void> {
  const { host, traces, logs } = settings
  const clock = SystemClock.create()
  const logger = createLogger({ program: PROGRAM, host: host.name, availabilityZone: host.availabilityZone }, clock, { level: logs.level })
  const endTraces = startTraces({ service: PROGRAM, host: host.name, exporter: traces.exporter, sampleRatio: traces.sampleRatio, ...(traces.otlpUrl === undefined ? {} : { otlpUrl: traces.otlpUrl }) })
  const daemon = Daemon.create({ settings, clock, ids: RandomIdSource.create(), logger, random: Math.random })
  const shutDown = async () => {
    process.once('SIGTERM', () => process.exit(SECOND_SIGNAL_EXIT))
    process.once('SIGINT', () => process.exit(SECOND_SIGNAL_EXIT))
    await daemon.shutDown()
    await endTraces()
    process.exit(0)
  }
  let stopping = false
  const onSignal = () => {
    if (stopping) return
    stopping = true
    shutDown()
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
  ProcessGuard.create({ process, clock, log: logger, stop: onSignal })
  const addresses = await daemon.start()
  process.stdout.write(JSON.stringify({ listening: { host: host.name, ...addresses } }) + '\n')
}
