#!/usr/bin/env node
/** figloom-standin: runs the stand-ins in a settings file until SIGTERM or SIGINT. */
import meow from 'meow'
import { SystemClock } from '@figloom/runtime'
import { formatIssue, readText, readToml } from '@figloom/settings'
import { standinsSchema } from './config.js'
import { startStandins } from './start.js'

const INVALID_INPUT_EXIT = 1
const USAGE_EXIT = 2

const cli = meow(`
  Usage
    $ figloom-standin --settings FILE

  Prints {"listening":[{"name","kind","url"}]} once every stand-in listens.
`, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: { settings: { type: 'string', shortFlag: 's' } }
})

if (cli.flags.settings === undefined) cli.showHelp(USAGE_EXIT)
else await run(cli.flags.settings)

async function run (file: string): Promise<void> {
  const config = await readText(file).andThen((text) => readToml(file, text, standinsSchema))
  if (config.isErr()) {
    for (const issue of config.error) process.stderr.write(formatIssue(issue) + '\n')
    process.exitCode = INVALID_INPUT_EXIT
    return
  }
  const running = await startStandins(config.value.value, SystemClock.create()).catch(reportStartFailure)
  if (running === undefined) return
  const listening = running.standins.map(({ name, url, core }) => ({ name, kind: core.kind, url }))
  process.stdout.write(JSON.stringify({ listening }) + '\n')
  const stop = () => { running.close().then(() => process.exit(0)) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

function reportStartFailure (error: Error): undefined {
  process.stderr.write(error.message + '\n')
  process.exitCode = INVALID_INPUT_EXIT
}
