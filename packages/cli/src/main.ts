#!/usr/bin/env node
/** Entry point of the `figloom` command. */
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { HttpLogClient } from '@figloom/clients'
import { InnerService } from '@figloom/protocol'
import { RandomIdSource, SystemClock } from '@figloom/runtime'
import { runFigloom } from './app.js'
import { Output } from './output/report.js'

class ConsoleOutput extends Output {
  override write (line: string): void {
    process.stdout.write(`${line}\n`)
  }

  override writeError (line: string): void {
    process.stderr.write(`${line}\n`)
  }
}

const abort = new AbortController()
const clock = SystemClock.create()
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => abort.abort())

const exitCode = await runFigloom(process.argv.slice(2), {
  clock,
  ids: RandomIdSource.create(),
  output: new ConsoleOutput(),
  createLogClient: ({ url, timeoutMs }) => HttpLogClient.create({ url, clock, timeoutMs }),
  createDaemonClient: (operatorUrl) => createClient(InnerService, createConnectTransport({ baseUrl: operatorUrl, httpVersion: '2' })),
  signal: abort.signal
})
// Open keep-alive connections would keep the process running.
process.exit(exitCode)
