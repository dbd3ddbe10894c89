// Guards against requests with a blocked prompt part that reach a runner, on each way there is to one.
import t, { type Test } from 'tap'
import { RouteKind, type Service } from '../config/types.js'
import { holdConnections, waitUntil } from '../testing/delayed-connections.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const DEADLY = ['Prompt-Parts: shared,deadly,own']
const SOUND = ['Prompt-Parts: shared,own']

async function createFixture (t: Test, service?: Service): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.Stream, resumable: true })], service)
  t.teardown(() => fixture.close())
  return fixture
}

function block ({ context }: GatewayFixture, featureId = 'deadly', revision = 1): void {
  const blocks = [{ featureId, revision, blocked: true, sinceAgoMs: 0, trials: 0, reason: 'a test' }]
  context.crashes.receive('host-2', { to: { listId: 'list', version: revision }, ends: [], begun: [], blocks })
}

function answerStream ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 0\ndata: x\n\n`)
  socket.end()
}

t.test('a request with a blocked part is refused as not run, with its own code and without a time to come back', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', answerStream)
  block(fixture)
  const { status, body, headers } = await fixture.call({ headers: DEADLY })
  t.equal(status, 503)
  t.match(JSON.parse(body), { error: { code: 2008, type: 'prompt_blocked', ran: 'no' } })
  t.notMatch(headers, /retry-after/i)
  t.equal(runner.requests.length, 0)
  t.equal((await fixture.call({ id: 'request-2', headers: SOUND })).status, 200)
})

t.test('the last part of a prompt is never blocked', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', answerStream)
  block(fixture, 'own')
  t.equal((await fixture.call({ headers: SOUND })).status, 200)
})

t.test('a request that waits for a connection when its part is blocked is not written', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', answerStream)
  const release = holdConnections(fixture)
  const call = fixture.call({ headers: DEADLY })
  await waitUntil(() => fixture.context.runners.get('runner-1')?.inFlight === 1)
  block(fixture)
  t.match(JSON.parse((await call).body), { error: { code: 2008 } })
  release()
  await new Promise((resolve) => setTimeout(resolve, 50))
  t.equal(runner.requests.length, 0)
})

t.test('a request that waits at a runner when its part is blocked is taken back and may have run', async (t) => {
  const fixture = await createFixture(t)
  let closed = false
  const runner = await fixture.addRunner('runner-1', ({ socket }) => { socket.on('close', () => { closed = true }) })
  const call = fixture.call({ headers: DEADLY })
  await waitUntil(() => runner.requests.length > 0)
  block(fixture)
  const { status, body } = await call
  t.equal(status, 502)
  t.match(JSON.parse(body), { error: { ran: 'unknown' } })
  await waitUntil(() => closed)
})

t.test('a stream that has begun is not broken off when a part of its prompt is blocked', async (t) => {
  const fixture = await createFixture(t)
  const exchanges: RawExchange[] = []
  await fixture.addRunner('runner-1', (exchange) => {
    exchanges.push(exchange)
    exchange.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${exchange.requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 0\ndata: x\n\n`)
  })
  const call = fixture.call({ headers: DEADLY })
  await waitUntil(() => exchanges.length > 0)
  await new Promise((resolve) => setTimeout(resolve, 50))
  block(fixture)
  exchanges[0]?.socket.end('id: 1\ndata: x\n\n')
  t.match((await call).text, /id: 1\n/)
})

t.test('a request whose first runner broke off is not sent again after its part is blocked', async (t) => {
  const fixture = await createFixture(t)
  const breakOff = ({ socket }: RawExchange) => {
    block(fixture)
    socket.destroy()
  }
  const runners = [await fixture.addRunner('runner-1', breakOff), await fixture.addRunner('runner-2', breakOff)]
  t.equal((await fixture.call({ headers: DEADLY })).status, 502)
  t.equal(runners.reduce((sum, { requests }) => sum + requests.length, 0), 1)
})

t.test('a request with a blocked part counts as no demand for its model', async (t) => {
  const engine = { slots: 8, memoryTokens: 1, weightsMb: 150, adapterSlots: 2, loadsPerS: 2, models: new Map() }
  const fixture = await createFixture(t, { name: 'plain', maxConnections: 10, engine })
  const { context } = fixture
  block(fixture)
  await fixture.call({ headers: [...DEADLY, 'Model: m'] })
  t.same(context.demand.rates(context.clock.monotonicMs()), [])
  await fixture.call({ id: 'request-2', headers: [...SOUND, 'Model: m'] })
  t.match(context.demand.rates(context.clock.monotonicMs()), [{ model: 'm' }])
})
