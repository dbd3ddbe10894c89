import t from 'tap'
import type { Service } from '../config/types.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const UNUSABLE_ADDRESS = '10.0.0.1:99999'

const ENGINE: Service = {
  name: 'plain',
  maxConnections: 50,
  engine: { slots: 8, memoryTokens: 1_000, weightsMb: 100, adapterSlots: 1, loadsPerS: 1, models: new Map() }
}

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

t.test('a request whose runner has an unusable address is sent to another runner', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  fixture.context.runners.upsert(createEntry({ id: 'unusable', address: UNUSABLE_ADDRESS, slots: 100 }))
  await fixture.addRunner('live', answer)
  const answers = await Promise.all(['a', 'b', 'c'].map((id) => fixture.call({ id })))
  t.same(answers.map(({ status }) => status), [200, 200, 200])
})

t.test('an unexpected error after a wait fails its request, not the process', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({ targetLatencyMs: 4_000 })], ENGINE)
  t.teardown(() => fixture.close())
  fixture.expectedLoads.push({ service: 'plain', model: 'm', readyInMs: 100 })
  const reply = fixture.call({ headers: ['Model: m'] })
  await new Promise((resolve) => setTimeout(resolve, 150))
  fixture.context.runners.holds = () => { throw new Error('internal error') }
  fixture.context.runners.upsert(createEntry({ id: 'runner' }))
  const { status, text } = await reply
  t.equal(status, 500)
  t.match(text, /"code":9001/)
})

t.test('headers over the configured limit are refused', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({})])
  t.teardown(() => fixture.close())
  const runner = await fixture.addRunner('live', answer)
  t.equal((await fixture.call({ headers: [`Long: ${'x'.repeat(17_000)}`] })).status, 431)
  t.equal((await fixture.call({ headers: [`Long: ${'x'.repeat(15_000)}`] })).status, 200)
  t.equal(runner.requests.length > 0, true)
})
