import { connect } from 'node:net'
import t, { type Test } from 'tap'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import { holdConnections, waitUntil } from '../testing/delayed-connections.js'
import type { RawExchange } from '../testing/raw-runner.js'

const PAUSE_MS = 400

function refuse ({ requestId, socket }: RawExchange, seconds = PAUSE_MS / 1_000): void {
  socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\nRetry-After: ${seconds}\r\nContent-Length: 0\r\n\r\n`)
}

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  return fixture
}

function sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}

t.test('a runner that asks for a pause gets no requests until the pause ends', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', (exchange) => exchange.number === 1 ? refuse(exchange) : answer(exchange))
  const first = await fixture.call({})
  t.equal(first.status, 503)
  const statuses = await Promise.all(['2', '3', '4'].map(async (id) => (await fixture.call({ id })).status))
  t.same(statuses, [503, 503, 503])
  t.equal(runner.requests.length, 1)
  await sleep(PAUSE_MS)
  t.equal((await fixture.call({ id: '5' })).status, 200)
})

t.test('callers of a paused runner are asked to retry when its pause ends', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', refuse)
  await fixture.call({})
  const { headers } = await fixture.call({ id: '2' })
  const seconds = Number(/Retry-After: (\S+)/i.exec(headers)?.[1])
  t.ok(seconds > 0.1 && seconds < 1.5, `${seconds} s`)
})

t.test('one request probes a runner when its pause ends, before others are sent', async (t) => {
  const fixture = await createFixture(t)
  const unanswered: RawExchange[] = []
  const runner = await fixture.addRunner('runner-1', (exchange) => exchange.number === 1 ? refuse(exchange) : unanswered.push(exchange))
  await fixture.call({})
  await sleep(PAUSE_MS + 20)
  const calls = ['2', '3', '4', '5'].map((id) => fixture.call({ id }))
  await waitUntil(() => unanswered.length > 0)
  await sleep(100)
  t.equal(runner.requests.length, 2)
  for (const exchange of unanswered) answer(exchange)
  const statuses = (await Promise.all(calls)).map(({ status }) => status)
  t.same(statuses.sort(), [200, 503, 503, 503])
  const next = fixture.call({ id: '6' })
  await waitUntil(() => unanswered.length > 1)
  answer(unanswered[1] as RawExchange)
  t.equal((await next).status, 200)
})

t.test('requests that waited for a connection are not written to a runner that has paused meanwhile', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', (exchange) => refuse(exchange, 5))
  const releaseConnections = holdConnections(fixture)
  const calls = ['1', '2', '3', '4'].map((id) => fixture.call({ id }))
  await waitUntil(() => fixture.context.runners.get('runner-1')?.inFlight === 4)
  const entry = fixture.context.runners.get('runner-1')?.entry
  if (entry !== undefined) fixture.context.closures.onAnswer({ runner: entry, requestId: 'before', signals: { leaving: false, pause: { signal: 'named', pauseMs: 5_000 } } })
  releaseConnections()
  t.same((await Promise.all(calls)).map(({ status }) => status), [503, 503, 503, 503])
  t.equal(runner.requests.length, 0)
})

t.test('if the caller of the probing request disconnects, the next request probes', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', (exchange) => {
    if (exchange.number === 1) refuse(exchange)
    if (exchange.number === 3) answer(exchange)
  })
  await fixture.call({})
  await sleep(PAUSE_MS + 20)
  const caller = connect(fixture.port, '127.0.0.1')
  caller.write('GET / HTTP/1.1\r\nHost: test\r\nRequest-Id: 2\r\n\r\n')
  await waitUntil(() => runner.requests.length === 2)
  caller.destroy()
  await waitUntil(() => fixture.context.runners.get('runner-1')?.inFlight === 0)
  t.equal((await fixture.call({ id: '3' })).status, 200)
})
