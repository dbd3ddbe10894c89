import t, { type Test } from 'tap'
import { RouteKind, type Service } from '../config/types.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'
import { LoadWait } from './load-wait.js'
import { LoadForecast } from './types.js'

class FixedForecast extends LoadForecast {
  private constructor (public readyMs: number | undefined) {
    super()
  }

  static create (readyMs: number | undefined): FixedForecast {
    return new FixedForecast(readyMs)
  }

  override readyInMs (): number | undefined {
    return this.readyMs
  }

  override freeInMs (): number {
    return 0
  }
}

function create (forecast: LoadForecast, targetLatencyMs = 10_000): LoadWait {
  return LoadWait.create(forecast, { service: 's', model: 'm', arrivedMs: 0, targetLatencyMs })
}

t.test('a request waits for a load that ends in time', async (t) => {
  t.ok(create(FixedForecast.create(5_000)).nextPollMs(0))
})

t.test('a request does not wait for a load that ends too late', async (t) => {
  t.equal(create(FixedForecast.create(5_000), 500).nextPollMs(0), undefined)
  t.equal(create(FixedForecast.create(9_000)).nextPollMs(0), undefined)
})

t.test('a request does not wait if nothing is being loaded', async (t) => {
  t.equal(create(FixedForecast.create(undefined)).nextPollMs(0), undefined)
})

t.test('after a load the wait goes on for a limited time, until the list shows the model', async (t) => {
  const forecast = FixedForecast.create(1_000)
  const wait = create(forecast)
  wait.nextPollMs(0)
  forecast.readyMs = undefined
  t.ok(wait.nextPollMs(1_200))
  t.equal(wait.nextPollMs(2_000), undefined)
})

t.test('the wait ends before the latency target', async (t) => {
  const wait = create(FixedForecast.create(0))
  t.ok(wait.nextPollMs(8_000))
  t.equal(wait.nextPollMs(9_000), undefined)
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

t.test('a request with too short a target is refused at once', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({ targetLatencyMs: 100 })], ENGINE)
  t.teardown(() => fixture.close())
  await fixture.addRunner('r1', answer)
  fixture.expectedLoads.push({ service: 'plain', model: 'm', readyInMs: 3_000 })
  t.equal((await fixture.call({ headers: ['Model: m'] })).status, 503)
})

/** A runner that has no room until `freeAfterMs` after the call. */
async function callFull (t: Test, headers: string[], freeAfterMs: number) {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.Stream, resumable: true })], ENGINE)
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner', ({ requestId, socket }) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: y\n\n`)
  }, { models: [{ name: 'm', version: 1, adapters: [] }] })
  const runner = fixture.context.runners.get('runner')
  if (runner !== undefined) runner.inFlight = 100
  setTimeout(() => { if (runner !== undefined) runner.inFlight = 0 }, freeAfterMs)
  const startMs = performance.now()
  const { status } = await fixture.call({ method: 'POST', headers: ['Model: m', ...headers] })
  return { status, tookMs: performance.now() - startMs }
}

const TAKE_UP = ['Last-Event-Id: 0', 'Continues: request-0']

t.test('a caller that continues a stream waits for room at full runners', async (t) => {
  t.equal((await callFull(t, TAKE_UP, 400)).status, 200)
})

t.test('a caller that continues a stream is refused when there is no room within half of its wait', async (t) => {
  const { status, tookMs } = await callFull(t, TAKE_UP, 10_000)
  t.equal(status, 503)
  t.ok(tookMs < 1_800, `${Math.round(tookMs)} ms`)
})

t.test('a new stream is refused at once where all runners are full', async (t) => {
  const { status, tookMs } = await callFull(t, [], 400)
  t.equal(status, 503)
  t.ok(tookMs < 300, `${Math.round(tookMs)} ms`)
})
