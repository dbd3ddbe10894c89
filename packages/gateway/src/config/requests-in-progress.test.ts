// Guards against requests that a change of the configuration leaves without an answer.
import { connect, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { createConfig, configure, startHost, type TestHost } from '../testing/gateway-host.js'
import { RawRunner, type RawExchange } from '../testing/raw-runner.js'
import type { GatewayConfig } from './types.js'

const EVENT = 'id: 0\ndata: x\n\n'

/** Changes that an operator may make while requests are in progress. */
const CHANGES: { name: string, change: (config: GatewayConfig) => GatewayConfig }[] = [
  { name: 'all routes are dropped', change: (config) => ({ ...config, routes: [] }) },
  { name: 'the service is dropped', change: (config) => ({ ...config, services: new Map() }) },
  { name: 'routes lead to another service', change: (config) => ({ ...config, routes: config.routes.map((route) => ({ ...route, services: [{ service: 'other', weight: 1 }] })) }) },
  { name: 'timeouts fall below the time that requests have taken', change: (config) => ({ ...config, routes: config.routes.map((route) => ({ ...route, timeoutMs: 10 })) }) },
  { name: 'attempts fall to one and streams may no longer be resumed', change: (config) => ({ ...config, routes: config.routes.map((route) => ({ ...route, maxAttempts: 1, resumable: false })) }) },
  { name: 'limits of callers fall', change: (config) => ({ ...config, limits: { maxHeaderBytes: 10, maxBodyBytes: 1, headerTimeoutMs: 50, idleTimeoutMs: 10 } }) }
]

type Caller = { socket: Socket, received: () => string, closed: () => boolean }

function openCaller (t: Test, { callerAddress }: TestHost): Caller {
  const [host, port] = callerAddress.split(':')
  const socket = connect({ host, port: Number(port) })
  let text = ''
  let closed = false
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.on('error', () => {})
  socket.on('close', () => { closed = true })
  t.teardown(() => socket.destroy())
  return { socket, received: () => text, closed: () => closed }
}

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5))
}

// Each host takes some seconds to stop.
t.jobs = CHANGES.length

for (const { name, change } of CHANGES) {
  t.test(`requests in progress get their whole answers when ${name}`, { buffered: true }, async (t) => {
    const exchanges = new Map<string, RawExchange>()
    const runner = await RawRunner.create((exchange) => exchanges.set(exchange.requestId, exchange))
    const host = await startHost()
    t.teardown(async () => {
      await host.gateway.stop()
      await runner.close()
    })
    configure(host, [runner])
    const [plain, stream, uploading] = [openCaller(t, host), openCaller(t, host), openCaller(t, host)]
    plain.socket.write('GET /plain/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: plain\r\n\r\n')
    stream.socket.write('POST /stream/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: stream\r\nContent-Length: 0\r\n\r\n')
    uploading.socket.write('POST /plain/2 HTTP/1.1\r\nHost: test\r\nRequest-Id: upload\r\nContent-Length: 8\r\n\r\nhalf')
    await waitFor(() => exchanges.size === 2)
    exchanges.get('stream')?.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: stream\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n`)
    await waitFor(() => stream.received().includes('id: 0'))
    host.watch.events?.onConfig(change(createConfig(4)), Buffer.from('4'))
    await new Promise((resolve) => setTimeout(resolve, 700))
    uploading.socket.write('half')
    await waitFor(() => exchanges.size === 3 || uploading.closed())
    for (const id of ['plain', 'upload']) exchanges.get(id)?.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
    exchanges.get('stream')?.socket.write('0\r\n\r\n')
    await waitFor(() => stream.received().endsWith('0\r\n\r\n') || stream.closed())
    t.match(stream.received(), /id: 0[\s\S]*\r\n0\r\n\r\n$/)
    for (const caller of [plain, uploading]) {
      await waitFor(() => caller.received().endsWith('ok') || caller.closed())
      t.match(caller.received(), /^HTTP\/1\.1 200 OK[\s\S]*ok$/)
    }
  })
}
