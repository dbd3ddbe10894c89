/** Guards against silent streams that use up the retry budget for moves that reach no runner, and streams that leave a sound runner for one that sends nothing. */
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const SILENT_MS = 1_900
const DEAD_RUNNERS = 6

function write ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
}

function writeEvent ({ socket }: RawExchange, id: number): void {
  const text = `id: ${id}\ndata: x\n\n`
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
}

/** Sends an event, is silent, and sends the rest. */
function pause (exchange: RawExchange): void {
  write(exchange)
  writeEvent(exchange, 0)
  setTimeout(() => {
    writeEvent(exchange, 1)
    exchange.socket.write('0\r\n\r\n')
  }, SILENT_MS)
}

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.Stream, resumable: true })])
  t.teardown(() => fixture.close())
  return fixture
}

t.test('moves of a silent stream that reach no runner use one retry at most', async (t) => {
  const fixture = await createFixture(t)
  const { context } = fixture
  let retries = 0
  const take = context.budget.take.bind(context.budget)
  context.budget.take = (...args) => {
    const granted = take(...args)
    if (granted) retries += 1
    return granted
  }
  await fixture.addRunner('runner-1', (exchange) => {
    pause(exchange)
    for (let index = 0; index < DEAD_RUNNERS; index += 1) context.runners.upsert(createEntry({ id: `dead-${index}`, address: '127.0.0.1:1' }))
  })
  const { text } = await fixture.call({ method: 'POST' })
  t.match(text, /id: 1\n/)
  t.ok(retries <= 1, `${retries} retries taken, and no other runner received the request`)
})

t.test('a silent stream stays at its runner until the other one has sent an event', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', (exchange) => {
    pause(exchange)
    fixture.addRunner('runner-2', (second) => {
      write(second)
      setTimeout(() => second.socket.resetAndDestroy(), 200)
    }).catch((error: Error) => t.fail(error.message))
  })
  const { text } = await fixture.call({ method: 'POST' })
  t.match(text, /id: 1\n/, 'the first runner goes on')
  t.match(text, /\r\n0\r\n\r\n$/)
})
