/** Guards against callers that don't read, whose answers take the memory for the answers of sound runners. */
import { connect, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { ByteBudget, ByteKind } from '../memory/byte-budget.js'
import { createUnlimitedBudgets } from '../memory/memory-budgets.js'
import { EndlessWriter } from '../testing/endless-writer.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

/** The share of answers of a process that may have 350 MB. */
const LIMIT_BYTES = 32_500_000
/** Each is within the limit for one answer. */
const SLOW_BYTES = [8_000_000, 8_000_000, 8_000_000, 8_000_000]
const SOUND_BYTES = 900_000
const STREAMS = 60
const EVENT = `data: ${'x'.repeat(1_000_000)}\n\n`
const SERVICE = { name: 'plain', maxConnections: 500 }
const routes = [
  createRoute({ pathPrefix: '/', kind: RouteKind.NonIdempotent, maxAttempts: 1, timeoutMs: 20_000 }),
  createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, maxAttempts: 1, timeoutMs: 20_000 })
]

/** A gateway whose runner answers `/N` with N bytes, and `/stream/…` with large events without end. */
async function createFixture (t: Test): Promise<{ fixture: GatewayFixture, answers: ByteBudget, refused: string[] }> {
  const refused: string[] = []
  const answers = ByteBudget.create({ kind: ByteKind.Answers, limitBytes: LIMIT_BYTES, onNearlyFull: () => {}, onRefused: (owner) => refused.push(owner) })
  const fixture = await GatewayFixture.create(routes, SERVICE, undefined, { ...createUnlimitedBudgets(), answers })
  t.teardown(() => fixture.close())
  await fixture.addRunner('sound', ({ requestId, text, socket }) => {
    if (text.includes('/stream/')) return EndlessWriter.start(socket, `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n`, EVENT)
    const body = 'y'.repeat(Number(/ \/(\d+) /.exec(text)?.[1] ?? 0))
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
  }, { slots: 500 })
  return { fixture, answers, refused }
}

/** Sends a request and reads nothing of its answer. */
function callWithoutReading (t: Test, fixture: GatewayFixture, path: string, id: string): Socket {
  const caller = connect(fixture.port, '127.0.0.1')
  t.teardown(() => { caller.destroy() })
  caller.on('error', () => {})
  caller.pause()
  caller.write(`GET ${path} HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\n\r\n`)
  return caller
}

async function until (condition: () => boolean): Promise<boolean> {
  const endMs = performance.now() + 5_000
  while (!condition() && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 10))
  return condition()
}

async function callSound (t: Test, fixture: GatewayFixture): Promise<void> {
  for (let count = 0; count < 5; count += 1) {
    const { status, body } = await fixture.call({ method: 'POST', path: `/${SOUND_BYTES}`, id: `sound-${count}` })
    t.equal(status, 200, body.slice(0, 200))
  }
}

t.test('requests get their answers beside callers that do not read theirs', async (t) => {
  const { fixture, answers } = await createFixture(t)
  SLOW_BYTES.forEach((bytes, index) => callWithoutReading(t, fixture, `/${bytes}`, `slow-${index}`))
  t.ok(await until(() => answers.usedBytes > LIMIT_BYTES - 1_000_000))
  await callSound(t, fixture)
  t.same(fixture.overlong, [])
})

t.test('streams that their callers do not read stay within the memory for all answers', async (t) => {
  const { fixture, answers, refused } = await createFixture(t)
  const callers = Array.from({ length: STREAMS }, (_, index) => callWithoutReading(t, fixture, `/stream/${index}`, `stream-${index}`))
  t.ok(await until(() => refused.includes('streams')), 'what they keep for their callers is counted')
  await callSound(t, fixture)
  t.ok(answers.usedBytes <= LIMIT_BYTES)
  for (const caller of callers) caller.destroy()
  t.ok(await until(() => answers.usedBytes === 0))
})
