import t, { type Test } from 'tap'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import { holdConnections, waitUntil } from '../testing/delayed-connections.js'
import type { RawExchange } from '../testing/raw-runner.js'

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

/** Starts a request for which the runner `leaving` was chosen, and which waits for a connection. */
async function startWaiting (t: Test) {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  const { runners } = fixture.context
  const leaving = await fixture.addRunner('leaving', answer)
  const releaseConnections = holdConnections(fixture)
  const reply = fixture.call({})
  await waitUntil(() => runners.get('leaving')?.inFlight === 1)
  return { fixture, runners, leaving, releaseConnections, reply }
}

t.test('a request that waited for a connection is not written to a runner that has started to drain meanwhile', async (t) => {
  const { fixture, runners, leaving, releaseConnections, reply } = await startWaiting(t)
  runners.upsert(createEntry({ id: 'leaving', address: leaving.address, draining: true }))
  const staying = await fixture.addRunner('staying', answer)
  releaseConnections()
  t.equal((await reply).status, 200)
  t.equal(leaving.requests.length, 0)
  t.equal(staying.requests.length, 1)
})

t.test('a request for a runner that was removed is refused as not run if there is no other runner', async (t) => {
  const { runners, leaving, releaseConnections, reply } = await startWaiting(t)
  runners.remove('leaving', 0, 0)
  releaseConnections()
  t.equal((await reply).status, 503)
  t.equal(leaving.requests.length, 0)
})

t.test('requests do not wait for a connection after the host\'s share of connections has grown', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  const { runners, host } = fixture.context
  const unanswered: RawExchange[] = []
  await fixture.addRunner('runner', (exchange) => { unanswered.push(exchange) })
  host.hostCount = () => 1_000
  const first = fixture.call({ id: 'first' })
  await waitUntil(() => unanswered.length === 1)
  host.hostCount = () => 1
  const second = fixture.call({ id: 'second' })
  await waitUntil(() => runners.get('runner')?.inFlight === 2)
  await waitUntil(() => unanswered.length === 2)
  unanswered.forEach(answer)
  t.same([(await first).status, (await second).status], [200, 200])
})
