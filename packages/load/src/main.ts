#!/usr/bin/env node
/** Entry point of figloom-load: generates load against hosts on this machine and prints a report. */
import { SystemClock } from '@figloom/runtime'
import { runCli } from './cli.js'

const abort = new AbortController()
process.once('SIGINT', () => abort.abort())
process.once('SIGTERM', () => abort.abort())

process.exitCode = await runCli(process.argv.slice(2), {
  clock: SystemClock.create(),
  stdout: (text) => { process.stdout.write(text) },
  stderr: (text) => { process.stderr.write(text) },
  signal: abort.signal
})
