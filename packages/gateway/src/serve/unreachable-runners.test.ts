import t from 'tap'
import { RouteKind } from '../config/types.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

/** An address at which nothing listens any more. */
async function closedAddress (fixture: GatewayFixture): Promise<string> {
  const runner = await fixture.addRunner('closed', answer)
  const { address } = runner
  await runner.close()
  return address
}

t.test('a request that meets several unreachable runners still reaches the live one', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.NonIdempotent, maxAttempts: 1 })])
  t.teardown(() => fixture.close())
  const address = await closedAddress(fixture)
  const { runners } = fixture.context
  for (const id of ['one', 'two', 'three', 'four', 'five']) runners.upsert(createEntry({ id, address }))
  runners.remove('closed', 0, 0)
  const live = await fixture.addRunner('live', answer)
  runners.upsert(createEntry({ id: 'live', address: live.address, availabilityZone: 'far', slots: 1 }))
  const reply = await fixture.call({ method: 'POST' })
  t.equal(reply.status, 200)
})

t.test('an attempt at an unreachable runner does not use the retry budget', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.NonIdempotent, maxAttempts: 1 })])
  t.teardown(() => fixture.close())
  const { runners, budget, clock } = fixture.context
  const address = await closedAddress(fixture)
  runners.upsert(createEntry({ id: 'closed', address, availabilityZone: 'zone-1' }))
  const live = await fixture.addRunner('live', answer)
  runners.upsert(createEntry({ id: 'live', address: live.address, availabilityZone: 'zone-2' }))
  while (budget.take('plain', 1, clock.monotonicMs()));
  const reply = await fixture.call({ method: 'POST' })
  t.equal(reply.status, 200)
  t.equal(reply.body, 'ok')
})
