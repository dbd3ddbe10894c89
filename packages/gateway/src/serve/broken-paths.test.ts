// Guards against requests that fail, or runners that are taken for lost, when only this host's links to the runners are broken.
import t, { type Test } from 'tap'
import { RouteKind, type Route } from '../config/types.js'
import { FixedPaths } from '../testing/fixed-paths.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import { PassingHost } from '../testing/passing-host.js'
import { RawRunner, type RawExchange } from '../testing/raw-runner.js'

type Hosts = { host: GatewayFixture, paths: FixedPaths, passing: PassingHost }

async function startHosts (t: Test, route: Partial<Route>): Promise<Hosts> {
  const host = await GatewayFixture.create([createRoute(route)])
  const passing = await PassingHost.create()
  const paths = FixedPaths.create()
  host.context.paths = paths
  t.teardown(() => Promise.all([host.close(), passing.close()]))
  return { host, paths, passing }
}

async function addRunner (t: Test, { host, passing }: Hosts, id: string, answer: (exchange: RawExchange) => void): Promise<RawRunner> {
  const runner = await RawRunner.create(answer)
  t.teardown(() => runner.close())
  for (const { context } of [host, passing.fixture]) context.runners.upsert(createEntry({ id, address: runner.address }))
  return runner
}

function answerOk ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

async function until (condition: () => boolean): Promise<boolean> {
  const endMs = performance.now() + 3_000
  while (!condition() && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 5))
  return condition()
}

t.test('a runner that only this host can not connect to is reached over another host, and stays sound', async (t) => {
  const hosts = await startHosts(t, { kind: RouteKind.NonIdempotent, maxAttempts: 1 })
  const { host, paths, passing } = hosts
  const runner = await addRunner(t, hosts, 'runner-1', answerOk)
  const { runners, budget, clock } = host.context
  while (budget.take('plain', 1, clock.monotonicMs()));
  // The runner's address as this host would have to use it; the other host reaches the runner under the listed one.
  const { dispatcherFor } = host.context.connections
  host.context.connections.dispatcherFor = (id) => dispatcherFor.call(host.context.connections, id, '127.0.0.1:9')
  paths.onFailure = () => { paths.hosts.push(passing.peerAddress) }
  const reply = await host.call({ method: 'POST' })
  t.equal(reply.status, 200)
  t.equal(reply.body, 'ok')
  t.equal(runner.requests.length, 1)
  t.same(paths.connectFailed, ['runner-1'])
  const state = runners.get('runner-1')
  t.equal(state?.unreachableUntilMs, -Infinity)
  t.ok(state?.health.accepts(clock.monotonicMs()))
})

t.test('a runner that accepts no connection while the direct path is whole counts as unreachable', async (t) => {
  const hosts = await startHosts(t, { kind: RouteKind.NonIdempotent, maxAttempts: 1 })
  hosts.host.context.runners.upsert(createEntry({ id: 'runner-1', address: '127.0.0.1:9' }))
  const reply = await hosts.host.call({ method: 'POST' })
  t.equal(reply.status, 503)
  t.match(reply.body, /"ran":"no"/)
  t.same(hosts.paths.connectFailed, ['runner-1'])
  t.ok((hosts.host.context.runners.get('runner-1')?.unreachableUntilMs ?? 0) > 0)
})

t.test('an idempotent request on a path that breaks is sent again at once, a booking waits', async (t) => {
  for (const kind of [RouteKind.Idempotent, RouteKind.NonIdempotent]) {
    const hosts = await startHosts(t, { kind, maxAttempts: 2, timeoutMs: 700 })
    const { host, paths, passing } = hosts
    const silent = await addRunner(t, hosts, 'runner-1', () => {})
    const startMs = performance.now()
    const reply = host.call({ method: 'POST' })
    t.ok(await until(() => silent.requests.length === 1))
    const other = await addRunner(t, hosts, 'runner-2', answerOk)
    t.equal(paths.openCount, 1)
    paths.hosts.push(passing.peerAddress)
    paths.breakPaths()
    const isIdempotent = kind === RouteKind.Idempotent
    t.equal((await reply).status, isIdempotent ? 200 : 504)
    t.equal(performance.now() - startMs < 500, isIdempotent)
    t.equal(other.requests.length, isIdempotent ? 1 : 0)
    t.equal(paths.openCount, 0)
    t.ok(host.context.runners.get('runner-1')?.health.accepts(host.context.clock.monotonicMs()))
  }
})

t.test('a resumable stream on a path that breaks goes on over another host', async (t) => {
  const hosts = await startHosts(t, { kind: RouteKind.Stream, resumable: true, maxPauseMs: 5_000 })
  const { host, paths, passing } = hosts
  const answer = (exchange: RawExchange) => {
    const after = Number(/last-event-id: (\d+)/.exec(exchange.text)?.[1] ?? 0)
    const event = `id: ${after + 1}\ndata: a\n\n`
    exchange.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${exchange.requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`)
    if (after > 0) exchange.socket.write('0\r\n\r\n')
  }
  await addRunner(t, hosts, 'runner-1', answer)
  const reply = host.call({})
  t.ok(await until(() => paths.reached.length >= 2))
  await addRunner(t, hosts, 'runner-2', answer)
  paths.hosts.push(passing.peerAddress)
  paths.breakPaths()
  t.same([...(await reply).body.matchAll(/id: (\d+)/g)].map(([, id]) => id), ['1', '2'])
})

t.test('a request on a path that breaks goes on over another host to the same runner where no other one is left', async (t) => {
  const hosts = await startHosts(t, { kind: RouteKind.Idempotent, maxAttempts: 2 })
  const { host, paths, passing } = hosts
  const runner = await addRunner(t, hosts, 'runner-1', (exchange) => { if (exchange.number > 1) answerOk(exchange) })
  const reply = host.call({})
  t.ok(await until(() => runner.requests.length === 1))
  paths.hosts.push(passing.peerAddress)
  paths.breakPaths()
  t.equal((await reply).status, 200)
  t.equal(runner.requests.length, 2)
})
