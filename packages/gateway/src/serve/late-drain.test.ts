import t from 'tap'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

async function until (isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5))
}

t.test('a request that waited for a connection is not written to a runner that drains by then', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  const { runners, host } = fixture.context
  const seen: string[] = []
  const held: RawExchange[] = []
  const leaving = await fixture.addRunner('leaving', (exchange) => {
    seen.push(exchange.requestId)
    held.push(exchange)
  })
  // The share of connections that this host may use grows when other hosts go.
  host.hostCount = () => 1_000
  const first = fixture.call({ id: 'first' })
  await until(() => held.length === 1)
  host.hostCount = () => 1
  const second = fixture.call({ id: 'second' })
  await until(() => runners.get('leaving')?.inFlight === 2)
  runners.upsert(createEntry({ id: 'leaving', address: leaving.address, draining: true }))
  await fixture.addRunner('staying', answer)
  held.forEach(answer)
  t.equal((await first).status, 200)
  t.equal((await second).status, 200)
  t.same(seen, ['first'])
})
