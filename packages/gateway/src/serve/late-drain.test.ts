import t, { type Test } from 'tap'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import { holdConnections, until } from '../testing/held-connections.js'
import type { RawExchange } from '../testing/raw-runner.js'

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

/** A request that was chosen for the runner `leaving` and waits for a connection. */
async function startWaiting (t: Test) {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  const { runners } = fixture.context
  const leaving = await fixture.addRunner('leaving', answer)
  const letGo = holdConnections(fixture)
  const reply = fixture.call({})
  await until(() => runners.get('leaving')?.inFlight === 1)
  return { fixture, runners, leaving, letGo, reply }
}

t.test('a request that waited for a connection is not written to a runner that drains by then', async (t) => {
  const { fixture, runners, leaving, letGo, reply } = await startWaiting(t)
  runners.upsert(createEntry({ id: 'leaving', address: leaving.address, draining: true }))
  const staying = await fixture.addRunner('staying', answer)
  letGo()
  t.equal((await reply).status, 200)
  t.equal(leaving.requests.length, 0)
  t.equal(staying.requests.length, 1)
})

t.test('a request for a runner that left is refused as not run where no other is there', async (t) => {
  const { runners, leaving, letGo, reply } = await startWaiting(t)
  runners.remove('leaving', 0, 0)
  letGo()
  t.equal((await reply).status, 503)
  t.equal(leaving.requests.length, 0)
})

t.test('requests wait for no connection when the share of a host has grown', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  const { runners, host } = fixture.context
  const held: RawExchange[] = []
  await fixture.addRunner('runner', (exchange) => { held.push(exchange) })
  host.hostCount = () => 1_000
  const first = fixture.call({ id: 'first' })
  await until(() => held.length === 1)
  host.hostCount = () => 1
  const second = fixture.call({ id: 'second' })
  await until(() => runners.get('runner')?.inFlight === 2)
  await until(() => held.length === 2)
  held.forEach(answer)
  t.same([(await first).status, (await second).status], [200, 200])
})
