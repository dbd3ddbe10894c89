import { readFile } from 'node:fs/promises'
import t, { type Test } from 'tap'
import { silentLogger, SystemClock } from '@figloom/runtime'
import { RouteKind, type GatewayConfig } from './config/types.js'
import { Gateway } from './gateway.js'
import { AppendOutcome, LeaseLog, type LeaseTail } from './lease/types.js'
import { ConnectPeerCalls } from './members/peer-service.js'
import { HostRegistry } from './members/types.js'
import { FakeRunnerOrders } from './testing/fake-runner.js'
import { freeAddress } from './testing/free-address.js'
import { createEntry, createRoute } from './testing/gateway-fixture.js'
import { RawRunner, type RawExchange } from './testing/raw-runner.js'
import { TestCodec } from './testing/test-codec.js'
import { PlatformWatch, type PlatformEvents } from './types.js'

class FixedWatch extends PlatformWatch {
  events: PlatformEvents | undefined

  override start (events: PlatformEvents): void {
    this.events = events
  }

  override stop (): void {}

  override readConfig (): void {}

  override decodeConfig (encoded: Uint8Array): GatewayConfig {
    return createConfig(Number(Buffer.from(encoded).toString()))
  }

  override configReadAgoMs (): undefined {}
}

class NoRegistry extends HostRegistry {
  override async announce (): Promise<void> {}

  override async list (): Promise<never[]> {
    return []
  }
}

class NoLeases extends LeaseLog {
  override async readTail (): Promise<LeaseTail> {
    throw new Error('no log')
  }

  override async append (): Promise<AppendOutcome> {
    return AppendOutcome.Unknown
  }
}

type Host = { gateway: Gateway, watch: FixedWatch, callers: string, lookup: string, readiness: string, peers: string, runner: RawRunner }

/** A host with one runner; `answer` gets each of its requests. */
async function createHost (t: Test, answer: (exchange: RawExchange) => void, seedPeerAddresses: string[] = []): Promise<Host> {
  const [callers, lookup, readiness, peers] = await Promise.all([freeAddress(), freeAddress(), freeAddress(), freeAddress()])
  const clock = SystemClock.create()
  const runner = await RawRunner.create(answer)
  const watch = new FixedWatch()
  const gateway = Gateway.create({
    clock,
    log: silentLogger,
    random: () => 0.5,
    settings: {
      self: { host: `host-${callers}`, availabilityZone: 'z', callerAddress: callers, peerAddress: peers, capacityCores: 1 },
      callerListener: callers,
      readinessListener: readiness,
      lookupListener: lookup,
      peerListener: peers,
      seedPeerAddresses,
      budget: { ratio: 0.2, slack: 50, windowMs: 10_000 },
      graceMs: 8_000,
      contactMs: 3_000,
      orderGapMs: 3_000,
      drainNoticeMs: 2_000,
      maxLookupTtlMs: 5_000
    },
    platform: {
      codec: TestCodec.create(),
      watch,
      registry: new NoRegistry(),
      leaseLog: new NoLeases(),
      orders: FakeRunnerOrders.create([], clock, () => 'carried'),
      lookupWire: { lookupPath: '/hosts', readinessPath: '/ready', formatLookup: (addresses) => JSON.stringify(addresses) }
    }
  })
  await gateway.start()
  t.teardown(async () => {
    await gateway.stop()
    await runner.close()
  })
  return { gateway, watch, callers, lookup, readiness, peers, runner }
}

function createConfig (version: number): GatewayConfig {
  return {
    version,
    routes: [createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, timeoutMs: 20_000 })],
    services: new Map([['plain', { name: 'plain', maxConnections: 20 }]]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  }
}

function configure (host: Host): void {
  host.watch.events?.onConfig(createConfig(3), Buffer.from('3'))
  listRunner(host)
}

function listRunner ({ watch, runner }: Host): void {
  watch.events?.onRunners({ to: 1, records: [{ id: 'runner-1', position: 0, entry: createEntry({ address: runner.address }) }], ageMs: 60_000 })
}

async function status (address: string, path: string): Promise<number> {
  const response = await fetch(`http://${address}${path}`)
  await response.arrayBuffer()
  return response.status
}

t.test('a host is ready once it knows a configuration and runners', async (t) => {
  const host = await createHost(t, () => {})
  t.equal(await status(host.readiness, '/ready'), 503)
  t.equal(await status(host.lookup, '/hosts?name=x'), 503)
  t.equal(await status(host.callers, '/stream/1'), 503)
  configure(host)
  t.equal(await status(host.readiness, '/ready'), 200)
  const answer = await fetch(`http://${host.lookup}/hosts?name=x`)
  t.same(await answer.json(), [host.callers])
})

t.test('a stop takes the host out of lookups and lets a stream end', async (t) => {
  let finish: () => void = () => {}
  const host = await createHost(t, ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
    const event = 'id: 0\ndata: x\n\n'
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
    finish = () => socket.write('0\r\n\r\n')
  })
  configure(host)
  const socket = (await import('node:net')).connect({ host: '127.0.0.1', port: Number(host.callers.split(':')[1]) })
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  const closed = new Promise<void>((resolve) => socket.on('close', () => resolve()))
  socket.write('POST /stream/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n')
  while (!text.includes('id: 0')) await new Promise((resolve) => setTimeout(resolve, 10))
  const stopped = host.gateway.stop()
  t.equal(await status(host.readiness, '/ready'), 503)
  t.equal(await status(host.lookup, '/hosts?name=x'), 503)
  setTimeout(finish, 4_500)
  await Promise.all([stopped, closed])
  t.match(text, /0\r\n\r\n$/)
})

t.test('a host that can not read the configuration gets it from another one', async (t) => {
  const host = await createHost(t, () => {})
  configure(host)
  const restarted = await createHost(t, () => {}, [host.peers])
  listRunner(restarted)
  t.equal(await status(restarted.readiness, '/ready'), 503)
  while (await status(restarted.readiness, '/ready') !== 200) await new Promise((resolve) => setTimeout(resolve, 50))
  t.match(await metricsOf(restarted), /^figloom_gateway_config_version\{.*\} 3$/m)
})

/** What a host that reports to this one is told of runners. */
async function toldRunners ({ peers }: Host): Promise<string[]> {
  const address = { host: 'reporting', availabilityZone: 'z', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', capacityCores: 1 }
  const sender = { address, incarnation: 'i', ready: true, leaving: false, relay: false, holdsLease: false, hearsay: false }
  const lease = { heldBySender: false, fencingToken: 0 }
  const report = { sender, number: 1, configVersion: 0, runnerUses: new Map(), demand: [], expectedLoads: [], lease, sentAt: new Date(), speaksForAll: false }
  const answer = await ConnectPeerCalls.create().exchange(peers, report, 1_000)
  return answer.runners?.records.map(({ id }) => id) ?? []
}

async function metricsOf ({ peers }: Host): Promise<string> {
  return await (await fetch(`http://${peers}/metrics`)).text()
}

t.test('a runner that left while the store was away is not passed on as listed', async (t) => {
  const host = await createHost(t, () => {})
  configure(host)
  host.watch.events?.onRunners({ since: 1, to: 2, records: [{ id: 'left', position: 1, entry: createEntry({ id: 'left' }) }], ageMs: 60_000 })
  host.watch.events?.onRunnersUnread(100)
  host.watch.events?.onRunners({ since: 2, to: 3, records: [{ id: 'left', position: 2 }], ageMs: 0 })
  t.match(await metricsOf(host), /^figloom_gateway_runners\{.*\} 2$/m, 'kept here for the grace')
  t.same(await toldRunners(host), ['runner-1'])
})

/** Names in the table of metrics, without their labels. */
async function documentedMetrics (): Promise<string[]> {
  const page = await readFile(new URL('../../../docs/OPERATIONS.md', import.meta.url), 'utf8')
  return [...page.matchAll(/^\| `(figloom_gateway_\w+)(?:\{[\w,]*\})?` \| \S/gm)].map((match) => match[1] ?? '')
}

t.test('the operators page lists every metric with its unit, and no other', async (t) => {
  const host = await createHost(t, () => {})
  const text = await (await fetch(`http://${host.peers}/metrics`)).text()
  const served = [...text.matchAll(/^# TYPE (figloom_gateway_\w+)/gm)].map((match) => match[1] ?? '')
  t.same((await documentedMetrics()).sort(), served.sort())
})
