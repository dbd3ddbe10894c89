import { readFile } from 'node:fs/promises'
import t, { type Test } from 'tap'
import { ConnectPeerClient } from './members/peer-service.js'
import { createEntry } from './testing/gateway-fixture.js'
import { configure as configureHost, listRunners, startHost, type TestHost } from './testing/gateway-host.js'
import { RawRunner, type RawExchange } from './testing/raw-runner.js'

type Host = TestHost & { runner: RawRunner }

/** A host with one runner; `answer` handles each request to that runner. */
async function createHost (t: Test, answer: (exchange: RawExchange) => void, seedPeerAddresses: string[] = []): Promise<Host> {
  const runner = await RawRunner.create(answer)
  const host = await startHost(seedPeerAddresses)
  t.teardown(async () => {
    await host.gateway.stop()
    await runner.close()
  })
  return { ...host, runner }
}

function configure (host: Host): void {
  configureHost(host, [host.runner])
}

function listRunner (host: Host): void {
  listRunners(host, [host.runner])
}

async function status (address: string, path: string): Promise<number> {
  const response = await fetch(`http://${address}${path}`)
  await response.arrayBuffer()
  return response.status
}

t.test('a host is ready once it knows a configuration and runners', async (t) => {
  const host = await createHost(t, () => {})
  t.equal(await status(host.readinessAddress, '/ready'), 503)
  t.equal(await status(host.lookupAddress, '/hosts?name=x'), 503)
  t.equal(await status(host.callerAddress, '/stream/1'), 503)
  configure(host)
  t.equal(await status(host.readinessAddress, '/ready'), 200)
  const answer = await fetch(`http://${host.lookupAddress}/hosts?name=x`)
  t.same(await answer.json(), [host.callerAddress])
})

t.test('a stop removes the host from lookups and lets a stream finish', async (t) => {
  let finish: () => void = () => {}
  const host = await createHost(t, ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
    const event = 'id: 0\ndata: x\n\n'
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
    finish = () => socket.write('0\r\n\r\n')
  })
  configure(host)
  const socket = (await import('node:net')).connect({ host: '127.0.0.1', port: Number(host.callerAddress.split(':')[1]) })
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  const closed = new Promise<void>((resolve) => socket.on('close', () => resolve()))
  socket.write('POST /stream/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n')
  while (!text.includes('id: 0')) await new Promise((resolve) => setTimeout(resolve, 10))
  const stopped = host.gateway.stop()
  t.equal(await status(host.readinessAddress, '/ready'), 503)
  t.equal(await status(host.lookupAddress, '/hosts?name=x'), 503)
  setTimeout(finish, 4_500)
  await Promise.all([stopped, closed])
  t.match(text, /0\r\n\r\n$/)
})

t.test('a host that can not read the configuration receives it from another host', async (t) => {
  const host = await createHost(t, () => {})
  configure(host)
  const restarted = await createHost(t, () => {}, [host.peerAddress])
  listRunner(restarted)
  t.equal(await status(restarted.readinessAddress, '/ready'), 503)
  while (await status(restarted.readinessAddress, '/ready') !== 200) await new Promise((resolve) => setTimeout(resolve, 50))
  t.match(await metricsOf(restarted), /^figloom_gateway_config_version\{.*\} 3$/m)
})

/** Ids of the runners that a host receives in the answer to its report. */
async function receivedRunners ({ peerAddress }: Host): Promise<string[]> {
  const address = { host: 'reporting', availabilityZone: 'z', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', capacityCores: 1 }
  const sender = { address, incarnation: 'i', ready: true, leaving: false, relay: false, holdsLease: false, hearsay: false, cutOff: false }
  const lease = { heldBySender: false, fencingToken: 0 }
  const report = { sender, number: 1, configVersion: 0, runnerUses: new Map(), demand: [], expectedLoads: [], lease, sentAt: new Date(), speaksForAll: false, limitReports: [], leavingReports: [], storeEra: 0 }
  const answer = await ConnectPeerClient.create().exchange(peerAddress, report, 1_000)
  return answer.runners?.records.map(({ id }) => id) ?? []
}

async function metricsOf ({ peerAddress }: Host): Promise<string> {
  return await (await fetch(`http://${peerAddress}/metrics`)).text()
}

t.test('a runner that left during an outage of the store is not forwarded as listed', async (t) => {
  const host = await createHost(t, () => {})
  configure(host)
  host.watch.events?.onRunnerUpdate({ since: 1, to: 2, records: [{ id: 'left', position: 1, entry: createEntry({ id: 'left' }) }], ageMs: 60_000 })
  host.watch.events?.onRunnerReadFailed(100)
  host.watch.events?.onRunnerUpdate({ since: 2, to: 3, records: [{ id: 'left', position: 2 }], ageMs: 0 })
  t.match(await metricsOf(host), /^figloom_gateway_runners\{.*\} 2$/m, 'kept on this host for the grace period')
  t.same(await receivedRunners(host), ['runner-1'])
})

/** Metric names in the operators page, without their labels. */
async function documentedMetrics (): Promise<string[]> {
  const page = await readFile(new URL('../../../docs/OPERATIONS.md', import.meta.url), 'utf8')
  return [...page.matchAll(/^\| `(figloom_gateway_\w+)(?:\{[\w,]*\})?` \| \S/gm)].map((match) => match[1] ?? '')
}

t.test('the operators page lists every metric with its unit, and no other', async (t) => {
  const host = await createHost(t, () => {})
  const text = await (await fetch(`http://${host.peerAddress}/metrics`)).text()
  const served = [...text.matchAll(/^# TYPE (figloom_gateway_\w+)/gm)].map((match) => match[1] ?? '')
  t.same((await documentedMetrics()).sort(), served.sort())
})
