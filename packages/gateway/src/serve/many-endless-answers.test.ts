/** Guards against answers without end that together take more memory than the process has, though each is within its own limit. */
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { ByteBudget, ByteKind } from '../memory/byte-budget.js'
import { createUnlimitedBudgets } from '../memory/memory-budgets.js'
import { EndlessWriter } from '../testing/endless-writer.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

const LIMIT_BYTES = 4_000_000
const AT_ONCE = 30
const SERVICE = { name: 'plain', maxConnections: 500 }
const read = createRoute({ pathPrefix: '/read/', maxAttempts: 2 })
const book = createRoute({ pathPrefix: '/book/', kind: RouteKind.NonIdempotent, maxAttempts: 1 })
const stream = createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, resumable: false, maxAttempts: 1 })
const EVENTS = 'Content-Type: text/event-stream'

const head = (requestId: string, ...headers: string[]) => ['HTTP/1.1 200 OK', `Request-Id: ${requestId}`, 'Signed: s', ...headers, '', ''].join('\r\n')

/** A gateway with little memory for answers. Its only runner answers `/…/endless` without end and `/…/large` with 200 kB. */
async function createFixture (t: Test, endlessHead: string[] = []) {
  const answers = ByteBudget.create({ kind: ByteKind.Answers, limitBytes: LIMIT_BYTES, onNearlyFull: () => {}, onRefused: () => {} })
  const fixture = await GatewayFixture.create([read, book, stream], SERVICE, undefined, { ...createUnlimitedBudgets(), answers })
  t.teardown(() => fixture.close())
  const peak = { usedBytes: 0 }
  const timer = setInterval(() => { peak.usedBytes = Math.max(peak.usedBytes, answers.usedBytes) }, 1)
  t.teardown(() => clearInterval(timer))
  const addRunner = (id: string, isEndless: boolean) => fixture.addRunner(id, ({ requestId, socket }) => {
    if (isEndless) EndlessWriter.start(socket, head(requestId, ...endlessHead), 'x')
    else socket.write(`${head(requestId, 'Content-Length: 200000')}${'y'.repeat(200_000)}`)
  }, { slots: 500 })
  return { fixture, answers, addRunner, peak }
}

for (const [name, path, headers] of [['bodies', '/book/1', []], ['events', '/stream/1', [EVENTS]]] as const) {
  t.test(`many ${name} without end stay within the memory for all answers, and each request fails at once`, async (t) => {
    const { fixture, answers, addRunner, peak } = await createFixture(t, [...headers])
    await addRunner('endless', true)
    const startMs = performance.now()
    const calls = await Promise.all(Array.from({ length: AT_ONCE }, (_, index) => fixture.call({ path, method: 'POST', id: `request-${index}` })))
    t.ok(performance.now() - startMs < 4_000)
    for (const { status, body } of calls) {
      t.equal(status, 502)
      t.match(body, /"code":3006/)
    }
    t.ok(peak.usedBytes <= LIMIT_BYTES)
    t.equal(answers.usedBytes, 0)
  })
}

t.test('answers of a sound runner have room beside those without end', async (t) => {
  const { fixture, answers, addRunner } = await createFixture(t)
  await addRunner('endless', true)
  const endless = Array.from({ length: AT_ONCE }, (_, index) => fixture.call({ path: '/book/1', method: 'POST', id: `endless-${index}` }))
  fixture.context.runners.remove('endless', performance.now(), 0)
  await addRunner('sound', false)
  for (let count = 0; count < 10; count += 1) {
    const { status, body } = await fixture.call({ path: '/book/1', method: 'POST', id: `sound-${count}` })
    t.equal(status, 200)
    t.equal(body.length, 200_000)
  }
  await Promise.all(endless)
  t.equal(answers.usedBytes, 0)
})

t.test('an idempotent request whose answer has no end is answered by another runner', async (t) => {
  const { fixture, answers, addRunner } = await createFixture(t)
  await addRunner('endless', true)
  await addRunner('sound', false)
  const calls = await Promise.all(Array.from({ length: 10 }, (_, index) => fixture.call({ path: '/read/1', id: `request-${index}` })))
  for (const { status } of calls) t.equal(status, 200)
  t.equal(answers.usedBytes, 0)
})
