/** Guards against the memory of answers that isn't given back when their callers leave. */
import { connect, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { ByteBudget, ByteKind } from '../memory/byte-budget.js'
import { createUnlimitedBudgets } from '../memory/memory-budgets.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

const LIMIT_BYTES = 4_000_000
const ANSWER_BYTES = 200_000
const ANSWERS = 10
const SERVICE = { name: 'plain', maxConnections: 500 }
const route = createRoute({ kind: RouteKind.NonIdempotent, maxAttempts: 1 })

/** A gateway whose runner answers requests for `/large`, begins a stream for `/events`, and is silent to others. */
async function createFixture (t: Test) {
  const answers = ByteBudget.create({ kind: ByteKind.Answers, limitBytes: LIMIT_BYTES, onNearlyFull: () => {}, onRefused: () => {} })
  const fixture = await GatewayFixture.create([route], SERVICE, undefined, { ...createUnlimitedBudgets(), answers })
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner-1', ({ requestId, text, socket }) => {
    if (text.includes(' /large ')) socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: ${ANSWER_BYTES}\r\n\r\n${'y'.repeat(ANSWER_BYTES)}`)
    if (text.includes(' /events ')) socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ${'y'.repeat(ANSWER_BYTES)}\n\n`)
  }, { slots: 500 })
  return { fixture, answers }
}

function openCaller (t: Test, { port }: GatewayFixture): Socket {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  t.teardown(() => { socket.destroy() })
  return socket
}

async function until (condition: () => boolean, withinMs = 2_000): Promise<boolean> {
  const endMs = performance.now() + withinMs
  while (!condition() && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 5))
  return condition()
}

t.test('an answer that waits behind another one of its connection is given back when the caller leaves', async (t) => {
  const { fixture, answers } = await createFixture(t)
  const caller = openCaller(t, fixture)
  const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: test\r\nRequest-Id: request-${path.slice(1)}\r\n\r\n`
  caller.write(request('/silent') + request('/large'))
  t.ok(await until(() => answers.usedBytes > 0))
  caller.destroy()
  t.ok(await until(() => answers.usedBytes === 0), `${answers.usedBytes} bytes still counted`)
})

t.test('a stream that is collected for its caller is given back when the caller leaves while it waits behind another answer', async (t) => {
  const { fixture, answers } = await createFixture(t)
  const caller = openCaller(t, fixture)
  const request = (path: string) => `GET ${path} HTTP/1.0\r\nHost: test\r\nConnection: keep-alive\r\nRequest-Id: request-${path.slice(1)}\r\n\r\n`
  caller.write(request('/silent') + request('/events'))
  t.ok(await until(() => answers.usedBytes > 0))
  caller.destroy()
  t.ok(await until(() => answers.usedBytes === 0), `${answers.usedBytes} bytes still counted`)
})

t.test('answers that callers have are given back while their connections stay open', async (t) => {
  const { fixture, answers } = await createFixture(t)
  const caller = openCaller(t, fixture)
  const received: number[] = []
  caller.on('data', ({ length }) => received.push(length))
  for (let count = 0; count < ANSWERS; count += 1) caller.write(`GET /large HTTP/1.1\r\nHost: test\r\nRequest-Id: request-${count}\r\n\r\n`)
  t.ok(await until(() => received.reduce((sum, length) => sum + length, 0) > ANSWERS * ANSWER_BYTES))
  t.ok(await until(() => answers.usedBytes === 0))
  t.equal(caller.destroyed, false)
})

t.test('a request that waits behind another one of its connection is taken back when the caller leaves', async (t) => {
  const { fixture } = await createFixture(t)
  const caller = openCaller(t, fixture)
  const request = (id: number) => `GET /silent HTTP/1.1\r\nHost: test\r\nRequest-Id: request-${id}\r\n\r\n`
  const inFlight = () => fixture.context.runners.get('runner-1')?.inFlight
  caller.write(request(1) + request(2))
  t.ok(await until(() => inFlight() === 2))
  caller.destroy()
  t.ok(await until(() => inFlight() === 0), `${inFlight()} still at the runner`)
})
