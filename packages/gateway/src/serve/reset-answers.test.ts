// Guards against answers without a length that were reset and pass for whole ones: where the reset is read together with the last
// bytes, the socket reports an end and no error.
import { setTimeout as sleep } from 'node:timers/promises'
import t, { type Test } from 'tap'
import { RouteKind, type Route } from '../config/types.js'
import { FixedPaths } from '../testing/fixed-paths.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import { PassingHost } from '../testing/passing-host.js'
import type { RawExchange } from '../testing/raw-runner.js'

const EVENTS = ['id: 0\ndata: x\n\n', 'id: 1\ndata: y\n\n']

const booking: Partial<Route> = { kind: RouteKind.NonIdempotent, maxAttempts: 2 }
const resumable: Partial<Route> = { kind: RouteKind.Stream, resumable: true }

async function createFixture (t: Test, route: Partial<Route>): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute(route)])
  t.teardown(() => fixture.close())
  return fixture
}

function head (requestId: string, ...headers: string[]): string {
  return ['HTTP/1.1 200 OK', `Request-Id: ${requestId}`, 'Signed: s', ...headers, '', ''].join('\r\n')
}

/** Writes an answer without a length; its reset arrives in the same turn of the event loop. */
function answerAndReset ({ requestId, socket }: RawExchange, body: string, ...headers: string[]): void {
  socket.write(head(requestId, ...headers) + body)
  socket.resetAndDestroy()
}

function answerWhole ({ requestId, socket }: RawExchange): void {
  socket.end(`${head(requestId)}whole`)
}

const isEvents = 'Content-Type: text/event-stream'

t.test('a booking whose answer is reset behind a part of the body fails', async (t) => {
  const fixture = await createFixture(t, booking)
  const runner = await fixture.addRunner('runner-1', (exchange) => answerAndReset(exchange, 'half'))
  await fixture.addRunner('runner-2', (exchange) => answerAndReset(exchange, 'half'))
  t.equal((await fixture.call({ method: 'POST' })).status, 502)
  t.ok(runner.requests.length <= 1)
})

t.test('a read whose answer is reset behind a part of the body is repeated at another runner', async (t) => {
  const fixture = await createFixture(t, {})
  let isFirst = true
  const answer = (exchange: RawExchange) => {
    if (isFirst) answerAndReset(exchange, 'half')
    else answerWhole(exchange)
    isFirst = false
  }
  await fixture.addRunner('runner-1', answer)
  await fixture.addRunner('runner-2', answer)
  t.match(await fixture.call({}), { status: 200, body: 'whole' })
})

t.test('an answer without a body that is reset behind its head fails', async (t) => {
  const fixture = await createFixture(t, booking)
  await fixture.addRunner('runner-1', (exchange) => answerAndReset(exchange, ''))
  t.equal((await fixture.call({ method: 'POST' })).status, 502)
})

t.test('a stream that is reset behind a whole event goes on at another runner', async (t) => {
  const fixture = await createFixture(t, resumable)
  const answer = (exchange: RawExchange) => {
    const { requestId, socket, text } = exchange
    if (/last-event-id/i.test(text)) socket.end(`${head(requestId, isEvents)}${EVENTS[1]}`)
    else answerAndReset(exchange, EVENTS[0] ?? '', isEvents)
  }
  await fixture.addRunner('runner-1', answer)
  await fixture.addRunner('runner-2', answer)
  const { body } = await fixture.call({ method: 'POST' })
  t.same([...body.matchAll(/^id: (\d)$/gm)].map(([, id]) => id), ['0', '1'])
  t.match(body, /0\r\n\r\n$/)
})

t.test('a stream that is reset behind a whole event, and can go on nowhere, is not whole', async (t) => {
  const fixture = await createFixture(t, { kind: RouteKind.Stream, maxAttempts: 1 })
  await fixture.addRunner('runner-1', (exchange) => answerAndReset(exchange, EVENTS[0] ?? '', isEvents))
  t.notMatch((await fixture.call({ method: 'POST' })).body, /0\r\n\r\n$/)
})

const FIRST_ANSWERS = [
  { name: 'one with a length', status: 200, write: (requestId: string) => `${head(requestId, 'Content-Length: 2')}ok` },
  { name: 'one without a body and a length', status: 204, write: (requestId: string) => `HTTP/1.1 204 No Content\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n\r\n` }
]

for (const { name, status, write } of FIRST_ANSWERS) {
  t.test(`the second answer on a connection, behind ${name}, that is reset behind a part of the body fails`, async (t) => {
    const fixture = await createFixture(t, booking)
    const runner = await fixture.addRunner('runner-1', (exchange) => {
      const { requestId, socket, number } = exchange
      if (number === 1) socket.write(write(requestId))
      else answerAndReset(exchange, 'half')
    })
    t.equal((await fixture.call({ method: 'POST', id: 'request-1' })).status, status)
    t.equal((await fixture.call({ method: 'POST', id: 'request-2' })).status, 502)
    t.equal(runner.connections, 1)
  })
}

t.test('an answer that is reset behind a part of the body fails over another host too', async (t) => {
  const host = await createFixture(t, booking)
  const passing = await PassingHost.create()
  t.teardown(() => passing.close())
  const runner = await passing.fixture.addRunner('runner-1', (exchange) => answerAndReset(exchange, 'half'))
  host.context.runners.upsert(createEntry({ id: 'runner-1', address: runner.address }))
  const paths = FixedPaths.create()
  paths.hosts.push(passing.peerAddress)
  host.context.paths = paths
  t.equal((await host.call({ method: 'POST' })).status, 502)
})

t.test('an answer without a length is whole when its connection ends in order with its last bytes, or later', async (t) => {
  for (const delayMs of [0, 30]) {
    const fixture = await createFixture(t, booking)
    await fixture.addRunner('runner-1', ({ requestId, socket }) => {
      socket.write(`${head(requestId)}whole`)
      if (delayMs === 0) socket.end()
      else setTimeout(() => socket.end(), delayMs)
    })
    t.match(await fixture.call({ method: 'POST' }), { status: 200, body: 'whole' })
  }
})

t.test('an answer without a length is whole when its connection is reset after its orderly end was read', async (t) => {
  const fixture = await createFixture(t, booking)
  await fixture.addRunner('runner-1', async ({ requestId, socket }) => {
    socket.end(`${head(requestId)}whole`)
    await sleep(20)
    socket.resetAndDestroy()
  })
  t.match(await fixture.call({ method: 'POST' }), { status: 200, body: 'whole' })
})

t.test('an answer with a length is whole although its connection is reset behind it', async (t) => {
  const fixture = await createFixture(t, booking)
  await fixture.addRunner('runner-1', (exchange) => answerAndReset(exchange, 'whole', 'Content-Length: 5'))
  t.match(await fixture.call({ method: 'POST' }), { status: 200, body: 'whole' })
})
