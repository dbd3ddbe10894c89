// Guards against a blocked request that reaches a runner under another id, and against whole answers that clear nothing.
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { requestKeyOf } from '../crashes/request-key.js'
import { waitUntil } from '../testing/delayed-connections.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const DEADLY = { method: 'POST', path: '/a?b=c', body: 'deadly' }
const KEY = requestKeyOf({ method: 'POST', target: '/a?b=c', body: Buffer.from('deadly') })
const UPDATE = { to: { listId: 'list', version: 1 }, ends: [], begun: [], blocks: [] }

async function createFixture (t: Test, kind: RouteKind = RouteKind.Idempotent): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({ kind })])
  t.teardown(() => fixture.close())
  return fixture
}

function block ({ context }: GatewayFixture): void {
  context.crashes.receive('host-2', { ...UPDATE, blocks: [{ featureId: KEY, revision: 1, blocked: true, sinceAgoMs: 0, trials: 0, reason: 'a test' }] })
}

function reportEnd ({ context }: GatewayFixture): void {
  context.crashes.receive('host-2', { ...UPDATE, ends: [{ process: 'p', endedAgoMs: 5, requests: [[KEY]], running: [], inherited: false }] })
}

function answer ({ requestId, socket }: RawExchange): void {
  socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

t.test('a blocked request is refused as not run, under each id, with its own code and without a time to come back', async (t) => {
  for (const kind of [RouteKind.Idempotent, RouteKind.NonIdempotent, RouteKind.Stream]) {
    const fixture = await createFixture(t, kind)
    const runner = await fixture.addRunner('runner-1', answer)
    block(fixture)
    const { status, body, headers } = await fixture.call({ ...DEADLY, id: `id-${kind}` })
    t.equal(status, 503)
    t.match(JSON.parse(body), { error: { code: 2009, type: 'request_blocked', ran: 'no' } })
    t.notMatch(headers, /retry-after/i)
    t.equal(runner.requests.length, 0)
  }
})

t.test('requests with another method, path, query or body are run', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', answer)
  block(fixture)
  const others = [{ method: 'PUT' }, { path: '/a' }, { path: '/a?b=d' }, { path: '/b?b=c' }, { body: 'sound' }, { body: '' }]
  for (const [index, change] of others.entries()) t.equal((await fixture.call({ ...DEADLY, ...change, id: `id-${index}` })).status, 200)
})

t.test('a request that waits at a runner when it is blocked is taken back and may have run', async (t) => {
  const fixture = await createFixture(t)
  let closed = false
  const runner = await fixture.addRunner('runner-1', ({ socket }) => { socket.on('close', () => { closed = true }) })
  const call = fixture.call(DEADLY)
  await waitUntil(() => runner.requests.length > 0)
  block(fixture)
  t.match(JSON.parse((await call).body), { error: { code: 3001, ran: 'unknown' } })
  await waitUntil(() => closed)
})

t.test('a whole answer without a stream clears the request of the ends before it', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', answer)
  reportEnd(fixture)
  await fixture.call(DEADLY)
  t.match(fixture.context.crashes.update(undefined)?.begun, [{ featureId: KEY }])
})

t.test('an answer that is broken off clears nothing', async (t) => {
  const fixture = await createFixture(t, RouteKind.NonIdempotent)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 9\r\n\r\nok`)
  })
  reportEnd(fixture)
  await fixture.call(DEADLY)
  t.same(fixture.context.crashes.update(undefined)?.begun, [])
})

t.test('the id of a prompt part that looks like the key of a request blocks no request', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', answer)
  block(fixture)
  t.equal((await fixture.call({ path: '/other', headers: [`Prompt-Parts: ${KEY},own`] })).status, 200)
})
