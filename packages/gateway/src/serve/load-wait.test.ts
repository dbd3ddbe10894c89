import t from 'tap'
import type { Service } from '../config/types.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'
import { LoadWait } from './load-wait.js'
import { LoadOutlook } from './types.js'

class FixedOutlook extends LoadOutlook {
  private constructor (public readyMs: number | undefined) {
    super()
  }

  static create (readyMs: number | undefined): FixedOutlook {
    return new FixedOutlook(readyMs)
  }

  override readyInMs (): number | undefined {
    return this.readyMs
  }
}

function create (outlook: LoadOutlook, targetLatencyMs = 10_000): LoadWait {
  return LoadWait.create(outlook, { service: 's', model: 'm', arrivedMs: 0, targetLatencyMs })
}

t.test('a load that ends in time is waited for', async (t) => {
  t.ok(create(FixedOutlook.create(5_000)).nextLookMs(0))
})

t.test('a load that ends too late is not', async (t) => {
  t.equal(create(FixedOutlook.create(5_000), 500).nextLookMs(0), undefined)
  t.equal(create(FixedOutlook.create(9_000)).nextLookMs(0), undefined)
})

t.test('without a load there is no wait', async (t) => {
  t.equal(create(FixedOutlook.create(undefined)).nextLookMs(0), undefined)
})

t.test('behind a load the list is given some time, once', async (t) => {
  const outlook = FixedOutlook.create(1_000)
  const wait = create(outlook)
  wait.nextLookMs(0)
  outlook.readyMs = undefined
  t.ok(wait.nextLookMs(1_200))
  t.equal(wait.nextLookMs(2_000), undefined)
})

t.test('the wait ends with the target', async (t) => {
  const wait = create(FixedOutlook.create(0))
  t.ok(wait.nextLookMs(8_000))
  t.equal(wait.nextLookMs(9_000), undefined)
})

const ENGINE: Service = {
  name: 'plain',
  maxConnections: 50,
  engine: {
    slots: 8,
    memoryTokens: 1_000,
    weightsMb: 100,
    adapterSlots: 2,
    loadsPerS: 2,
    models: new Map([['m', { name: 'm', sizeMb: 70, loadMs: 9_000, diskLoadMs: 2_000, adapters: [], adapterSizeMb: 1 }]])
  }
}

function answer ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
}

t.test('a request waits at the host until its model is listed', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({ targetLatencyMs: 10_000, timeoutMs: 20_000 })], ENGINE)
  t.teardown(() => fixture.close())
  const runner = await fixture.addRunner('r1', answer)
  fixture.expectedLoads.push({ service: 'plain', model: 'm', readyInMs: 200 })
  const reply = fixture.call({ headers: ['Model: m'] })
  setTimeout(() => fixture.context.runners.upsert(createEntry({ id: 'r1', address: runner.address, models: [{ name: 'm', version: 1, adapters: [] }] })), 250)
  t.equal((await reply).status, 200)
})

t.test('a request without such time is refused at once', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({ targetLatencyMs: 100 })], ENGINE)
  t.teardown(() => fixture.close())
  await fixture.addRunner('r1', answer)
  fixture.expectedLoads.push({ service: 'plain', model: 'm', readyInMs: 3_000 })
  t.equal((await fixture.call({ headers: ['Model: m'] })).status, 503)
})
