import t, { type Test } from 'tap'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import { holdConnections, waitUntil } from '../testing/delayed-connections.js'
import type { RawExchange } from '../testing/raw-runner.js'

function answer (...headers: string[]) {
  return ({ requestId, socket }: RawExchange): void => {
    socket.write(['HTTP/1.1 200 OK', `Request-Id: ${requestId}`, 'Signed: s', 'Content-Length: 2', ...headers, '', 'ok'].join('\r\n'))
  }
}

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  return fixture
}

t.test('no request is sent to a runner that announced in an answer that it is leaving', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', answer('Leaving: 1'))
  t.equal((await fixture.call({})).status, 200)
  const refused = await fixture.call({ id: 'request-2' })
  t.equal(refused.status, 503)
  t.match(refused.headers, /Retry-After/)
  t.equal(runner.requests.length, 1)
})

t.test('a leaving runner is not used again, even if the list reports it ready, removed and ready again', async (t) => {
  const fixture = await createFixture(t)
  const { runners } = fixture.context
  const runner = await fixture.addRunner('runner-1', answer('Leaving: 1'))
  await fixture.call({})
  const entry = createEntry({ id: 'runner-1', address: runner.address })
  runners.upsert(entry)
  runners.remove('runner-1', fixture.context.clock.monotonicMs(), 0)
  runners.upsert(entry)
  t.equal((await fixture.call({ id: 'request-2' })).status, 503)
  t.equal(runner.requests.length, 1)
})

t.test('a leaving process is not used under another id either; a new process at its address is used', async (t) => {
  const fixture = await createFixture(t)
  const { runners } = fixture.context
  const runner = await fixture.addRunner('runner-1', answer('Leaving: 1'))
  const { address } = runner
  runners.upsert(createEntry({ id: 'runner-1', address, startedUnixMs: 5 }))
  await fixture.call({})
  runners.remove('runner-1', 0, 0)
  runners.upsert(createEntry({ id: 'runner-2', address, startedUnixMs: 5 }))
  t.equal((await fixture.call({ id: 'request-2' })).status, 503)
  runners.upsert(createEntry({ id: 'runner-2', address, startedUnixMs: 6 }))
  t.equal((await fixture.call({ id: 'request-3' })).status, 200)
})

t.test('a refusal can announce that its runner is leaving', async (t) => {
  const fixture = await createFixture(t)
  const leaving = await fixture.addRunner('leaving', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 503 No\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n`)
  })
  t.equal((await fixture.call({})).status, 503)
  await fixture.addRunner('staying', answer())
  for (const id of ['2', '3', '4', '5']) t.equal((await fixture.call({ id })).status, 200)
  t.equal(leaving.requests.length, 1)
})

t.test('a request that waited for a connection is not written to a runner that has announced meanwhile that it is leaving', async (t) => {
  const fixture = await createFixture(t)
  const leaving = await fixture.addRunner('leaving', answer())
  const releaseConnections = holdConnections(fixture)
  const reply = fixture.call({})
  await waitUntil(() => fixture.context.runners.get('leaving')?.inFlight === 1)
  fixture.context.closures.receive([{ runnerId: 'leaving', address: leaving.address, origin: 'host-2', heardAgoMs: 10 }], 0)
  const staying = await fixture.addRunner('staying', answer())
  releaseConnections()
  t.equal((await reply).status, 200)
  t.equal(leaving.requests.length, 0)
  t.equal(staying.requests.length, 1)
})

t.test('signals in an answer from another runner at the address do not apply to the intended runner', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 421 No\r\nRequest-Id: ${requestId}\r\nRunner-Id: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n`)
  })
  await fixture.call({})
  const { closures } = fixture.context
  t.equal(closures.gate(createEntry({ id: 'runner-1', address: runner.address })).state, 'open')
})
