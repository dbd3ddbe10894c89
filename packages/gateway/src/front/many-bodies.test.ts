/** Guards against bodies of many callers that together take more memory than the process has, though each is within its own limit. */
import { connect, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { ByteBudget, ByteKind, FREE_BYTES } from '../memory/byte-budget.js'
import { createUnlimitedBudgets } from '../memory/memory-budgets.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const LIMIT_BYTES = 500_000
const AT_ONCE = 20
/** Limit of the fixture's configuration on one body. */
const MAX_BODY_BYTES = 100_000
const BODY_BYTES = 95_000
const SENT_BYTES = 90_000
/** So small that several have room. */
const PART_BYTES = 40_000
const SERVICE = { name: 'plain', maxConnections: 500 }
const routes = [
  createRoute({ pathPrefix: '/book/', kind: RouteKind.NonIdempotent, maxAttempts: 1, timeoutMs: 20_000 }),
  createRoute({ pathPrefix: '/short/', kind: RouteKind.NonIdempotent, maxAttempts: 1, timeoutMs: 300 })
]

/** A gateway with little memory for bodies. Its runner answers `/…/1` at once, and `/…/silent` when the test says so. */
async function createFixture (t: Test) {
  const requests = ByteBudget.create({ kind: ByteKind.Requests, limitBytes: LIMIT_BYTES, onNearlyFull: () => {}, onRefused: () => {} })
  const fixture = await GatewayFixture.create(routes, SERVICE, undefined, { ...createUnlimitedBudgets(), requests })
  t.teardown(() => fixture.close())
  const waiting: RawExchange[] = []
  const runner = await fixture.addRunner('runner-1', async (exchange) => {
    await untilReceived(exchange)
    if (exchange.text.includes('/silent')) waiting.push(exchange)
    else answer(exchange)
  }, { slots: 500 })
  return { fixture, requests, waiting, runner }
}

/** Resolves when the runner has the whole body. */
function untilReceived ({ text, socket }: RawExchange): Promise<void> {
  let missingBytes = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0) - (text.length - text.indexOf('\r\n\r\n') - 4)
  return new Promise((resolve) => {
    const onData = (chunk: Buffer) => {
      missingBytes -= chunk.length
      if (missingBytes > 0) return
      socket.off('data', onData)
      resolve()
    }
    socket.on('data', onData)
    onData(Buffer.alloc(0))
  })
}

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

type Caller = { socket: Socket, text: () => string }

/** Sends the head of a request and a part of its body. */
function begin (fixture: GatewayFixture, path: string, id: string, sentBytes = SENT_BYTES, bodyBytes = BODY_BYTES): Caller {
  return send(fixture, `POST ${path} HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nContent-Length: ${bodyBytes}\r\n\r\n${'x'.repeat(sentBytes)}`)
}

function beginChunked (fixture: GatewayFixture, path: string, id: string, sentBytes: number): Caller {
  return send(fixture, `POST ${path} HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${sentBytes.toString(16)}\r\n${'x'.repeat(sentBytes)}\r\n`)
}

function send (fixture: GatewayFixture, request: string): Caller {
  const socket = connect(fixture.port, '127.0.0.1')
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.write(request)
  return { socket, text: () => text }
}

async function waitFor (condition: () => boolean): Promise<boolean> {
  const endMs = performance.now() + 4_000
  while (!condition() && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 5))
  return condition()
}

t.test('bodies that do not end give way at once, and their requests are refused as not run', async (t) => {
  const { fixture, requests, runner } = await createFixture(t)
  const callers = Array.from({ length: AT_ONCE }, (_, index) => begin(fixture, '/book/1', `request-${index}`))
  const refused = () => callers.filter(({ text }) => text() !== '')
  t.ok(await waitFor(() => refused().length >= AT_ONCE - Math.ceil(LIMIT_BYTES / (SENT_BYTES - FREE_BYTES))))
  t.ok(requests.usedBytes <= LIMIT_BYTES)
  for (const { text } of refused()) {
    t.match(text(), /^HTTP\/1.1 503/)
    t.match(text(), /Retry-After: /)
    t.match(text(), /"code":2011/)
    t.equal(text().split('HTTP/1.1').length, 2)
  }
  t.equal(runner.requests.length, 0)
  const { status } = await fixture.call({ path: '/book/1', method: 'POST', body: 'x'.repeat(SENT_BYTES) })
  t.equal(status, 200)
  for (const { socket } of callers) socket.destroy()
  t.ok(await waitFor(() => requests.usedBytes === 0))
})

t.test('a complete body is counted until its request has ended, and does not give way', async (t) => {
  const { fixture, requests, waiting } = await createFixture(t)
  const complete = begin(fixture, '/book/silent', 'complete', SENT_BYTES, SENT_BYTES)
  await waitFor(() => waiting.length === 1)
  const callers = Array.from({ length: AT_ONCE }, (_, index) => begin(fixture, '/book/1', `request-${index}`))
  t.ok(await waitFor(() => callers.some(({ text }) => text() !== '')))
  for (const { socket } of callers) socket.destroy()
  t.ok(await waitFor(() => requests.usedBytes === SENT_BYTES - FREE_BYTES), `${requests.usedBytes} bytes`)
  t.equal(complete.text(), '')
  if (waiting[0] !== undefined) answer(waiting[0])
  t.ok(await waitFor(() => complete.text().startsWith('HTTP/1.1 200')))
  t.equal(requests.usedBytes, 0)
  complete.socket.destroy()
})

t.test('small bodies have room beside complete ones that take all of it', async (t) => {
  const { fixture, requests, waiting } = await createFixture(t)
  const full = Array.from({ length: AT_ONCE }, (_, index) => begin(fixture, '/book/silent', `request-${index}`, BODY_BYTES, BODY_BYTES))
  t.ok(await waitFor(() => full.filter(({ text }) => text() !== '').length + waiting.length === AT_ONCE))
  t.ok(waiting.length >= 4)
  const { status } = await fixture.call({ path: '/book/1', method: 'POST', body: 'x'.repeat(FREE_BYTES) })
  t.equal(status, 200)
  for (const { socket } of full) socket.destroy()
  t.ok(await waitFor(() => requests.usedBytes === 0))
})

t.test('a refused body that goes on is discarded, and its connection serves the next request', async (t) => {
  const { fixture, requests } = await createFixture(t)
  const callers = Array.from({ length: AT_ONCE }, (_, index) => begin(fixture, '/book/1', `request-${index}`))
  t.ok(await waitFor(() => callers.some(({ text }) => text() !== '')))
  const refused = callers.find(({ text }) => text() !== '')
  refused?.socket.write(Buffer.alloc(BODY_BYTES - SENT_BYTES, 'x'))
  refused?.socket.write('POST /book/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: next\r\nContent-Length: 2\r\n\r\nok')
  t.ok(await waitFor(() => refused?.text().includes('HTTP/1.1 200') === true))
  for (const { socket } of callers) socket.destroy()
  t.ok(await waitFor(() => requests.usedBytes === 0))
})

t.test('the memory of a body is given back however its request ends', async (t) => {
  const { fixture, requests, waiting } = await createFixture(t)
  const gone = begin(fixture, '/book/1', 'gone', PART_BYTES)
  const broken = begin(fixture, '/book/1', 'broken', PART_BYTES)
  const slow = begin(fixture, '/short/1', 'slow', PART_BYTES)
  const late = begin(fixture, '/short/silent', 'late', PART_BYTES, PART_BYTES)
  const left = begin(fixture, '/book/silent', 'left', PART_BYTES, PART_BYTES)
  const large = beginChunked(fixture, '/book/1', 'large', MAX_BODY_BYTES + 1)
  t.ok(await waitFor(() => waiting.length === 2))
  t.ok(requests.usedBytes > 0)
  gone.socket.end()
  broken.socket.resetAndDestroy()
  left.socket.destroy()
  t.ok(await waitFor(() => large.text().startsWith('HTTP/1.1 413')))
  t.ok(await waitFor(() => slow.text().startsWith('HTTP/1.1 408') && late.text().startsWith('HTTP/1.1 504')))
  t.ok(await waitFor(() => requests.usedBytes === 0), `${requests.usedBytes} bytes`)
})
