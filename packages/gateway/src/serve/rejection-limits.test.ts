// Guards against a host that makes a runner fail by requests that it has to reject for want of room.
import t, { type Test } from 'tap'
import { RouteKind, type Service } from '../config/types.js'
import { GateState } from '../gates/types.js'
import { waitUntil } from '../testing/delayed-connections.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const SLOTS = 4
const REJECTIONS_HEADER = 'Rejections-Per-S: 2'

/** Its connections limit nothing. */
const SERVICE: Service = { name: 'plain', maxConnections: 1_000 }

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({})], SERVICE)
  t.teardown(() => fixture.close())
  return fixture
}

function answer ({ requestId, socket }: RawExchange, header = REJECTIONS_HEADER): void {
  const line = header === '' ? '' : `${header}\r\n`
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n${line}Content-Length: 2\r\n\r\nok`)
}

function reject ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\n${REJECTIONS_HEADER}\r\nContent-Length: 0\r\n\r\n`)
}

function sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}

t.test('a runner that names a limit on rejections gets no more requests at a time than it has slots', async (t) => {
  const fixture = await createFixture(t)
  const held: RawExchange[] = []
  let most = 0
  const runner = await fixture.addRunner('runner-1', (exchange) => {
    if (exchange.number === 1) return answer(exchange)
    held.push(exchange)
    most = Math.max(most, held.length)
  }, { slots: SLOTS })
  await fixture.call({})
  const calls: ReturnType<GatewayFixture['call']>[] = []
  // Long enough for the host to rely on its own count alone.
  for (let round = 0; round < 30; round += 1) {
    calls.push(fixture.call({ id: `a-${round}` }), fixture.call({ id: `b-${round}` }))
    await sleep(100)
  }
  t.equal(most, SLOTS)
  for (const exchange of held.splice(0)) answer(exchange)
  const answers = await Promise.all(calls)
  const refused = answers.filter(({ status }) => status === 503)
  t.equal(answers.filter(({ status }) => status === 200).length, SLOTS)
  t.equal(refused.length, answers.length - SLOTS)
  t.ok(refused.every(({ headers }) => Number(/Retry-After: (\S+)/i.exec(headers)?.[1]) > 0), 'refusals tell when to come back')
  t.equal(runner.requests.length, 1 + SLOTS)
})

t.test('slots that become free are used again at once', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', (exchange) => answer(exchange), { slots: SLOTS })
  for (let number = 0; number < 30; number += 1) {
    t.equal((await fixture.call({ id: `r-${number}` })).status, 200)
    await sleep(10)
  }
  t.equal(runner.requests.length, 30)
})

t.test('after a rejection the runner gets no request for a second', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', (exchange) => exchange.number === 2 ? reject(exchange) : answer(exchange), { slots: SLOTS })
  await fixture.call({})
  t.equal((await fixture.call({ id: '2' })).status, 503)
  await sleep(300)
  const statuses = await Promise.all(['3', '4', '5'].map(async (id) => (await fixture.call({ id })).status))
  t.same(statuses, [503, 503, 503])
  t.equal(runner.requests.length, 2)
})

t.test('a rejected request goes to another runner that has room', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', reject, { slots: SLOTS })
  await fixture.addRunner('runner-2', (exchange) => answer(exchange), { slots: SLOTS })
  const statuses = []
  for (let number = 0; number < 10; number += 1) {
    statuses.push((await fixture.call({ id: `r-${number}` })).status)
    await sleep(170)
  }
  t.same(statuses, statuses.map(() => 200))
})

t.test('a runner whose answers name no limit any more needs no permits', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', (exchange) => answer(exchange, exchange.number === 1 ? REJECTIONS_HEADER : ''), { slots: SLOTS })
  const gate = () => fixture.context.limits.gate({ id: 'runner-1' }).state
  await fixture.call({})
  t.equal(gate(), GateState.NeedsPermit)
  await fixture.call({ id: '2' })
  await waitUntil(() => gate() === GateState.Open)
  t.equal(gate(), GateState.Open)
})

t.test('a runner that has just started is treated like the others of its service', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', (exchange) => answer(exchange), { slots: SLOTS })
  await fixture.call({})
  await fixture.addRunner('runner-2', (exchange) => answer(exchange), { slots: SLOTS })
  await fixture.addRunner('runner-3', (exchange) => answer(exchange), { slots: SLOTS, service: 'other' })
  t.equal(fixture.context.limits.gate({ id: 'runner-2' }).state, GateState.NeedsPermit)
  t.equal(fixture.context.limits.gate({ id: 'runner-3' }).state, GateState.Open)
})

const STREAMS = createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, resumable: true })

async function createStreamFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([STREAMS], SERVICE)
  t.teardown(() => fixture.close())
  return fixture
}

function writeEvents ({ requestId, socket }: RawExchange, from: number, to: number): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n${REJECTIONS_HEADER}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
  for (let id = from; id <= to; id += 1) {
    const event = `id: ${id}\ndata: x\n\n`
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
  }
}

t.test('streams count at their runner until they end, though their answers begin early', async (t) => {
  const fixture = await createStreamFixture(t)
  const open: RawExchange[] = []
  const runner = await fixture.addRunner('runner-1', (exchange) => {
    writeEvents(exchange, 0, 1)
    open.push(exchange)
  }, { slots: SLOTS })
  const calls: ReturnType<GatewayFixture['call']>[] = []
  for (let number = 0; number < 12; number += 1) {
    calls.push(fixture.call({ path: '/stream/1', id: `r-${number}` }))
    await sleep(170)
  }
  t.equal(runner.requests.length, SLOTS)
  for (const { socket } of open.splice(0)) socket.write('0\r\n\r\n')
  const statuses = (await Promise.all(calls)).map(({ status }) => status)
  t.equal(statuses.filter((status) => status === 200).length, SLOTS)
  t.equal(statuses.filter((status) => status === 503).length, 12 - SLOTS)
})

t.test('a broken stream does not go on at a runner that has no room', async (t) => {
  const fixture = await createStreamFixture(t)
  const broken = await fixture.addRunner('runner-1', (exchange) => {
    writeEvents(exchange, 0, 1)
    setTimeout(() => exchange.socket.resetAndDestroy(), 300)
  }, { slots: 1 })
  const filled = await fixture.addRunner('runner-2', (exchange) => writeEvents(exchange, 0, 1), { slots: 1 })
  for (const id of ['a', 'b']) {
    fixture.call({ path: '/stream/1', id }).catch((error: Error) => t.comment(error.message))
    await sleep(50)
  }
  t.same([broken.requests.length, filled.requests.length], [1, 1])
  await sleep(600)
  t.same([broken.requests.length, filled.requests.length], [1, 1])
})

t.test('a broken stream goes on at a runner that has room', async (t) => {
  const fixture = await createStreamFixture(t)
  const answerOnce = (exchange: RawExchange) => {
    const last = /last-event-id: (\d+)/i.exec(exchange.text)?.[1]
    writeEvents(exchange, last === undefined ? 0 : Number(last) + 1, last === undefined ? 1 : 4)
    if (last === undefined) setTimeout(() => exchange.socket.resetAndDestroy(), 300)
    else exchange.socket.write('0\r\n\r\n')
  }
  await fixture.addRunner('runner-1', answerOnce, { slots: SLOTS })
  await fixture.addRunner('runner-2', answerOnce, { slots: SLOTS })
  const { status, text } = await fixture.call({ path: '/stream/1' })
  t.equal(status, 200)
  t.same([...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1])), [0, 1, 2, 3, 4])
})
