// Guards against streams that go on at another version of the runners' software than the one that began them (issue 39).
import t, { type Test } from 'tap'
import { RouteKind, type Service } from '../config/types.js'
import { waitUntil } from '../testing/delayed-connections.js'
import { createRoute, GatewayFixture, type RawAnswer } from '../testing/gateway-fixture.js'
import { StreamRecords } from '../testing/memory-stream-log.js'
import type { RawExchange } from '../testing/raw-runner.js'

const HEAD = 'Signed: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n'

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
const HOLDS_M = { models: [{ name: 'm', version: 1, adapters: [] }] }

async function createFixture (t: Test, records = StreamRecords.create(), service?: Service): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.Stream, resumable: true, maxAttempts: 3 })], service, records)
  t.teardown(() => fixture.close())
  return fixture
}

/** Sends the events from this one on; with `breaksOff`, the connection ends behind them: a reset might overtake them. */
function sendEvents ({ requestId, text, socket }: RawExchange, count: number, breaksOff: boolean): void {
  const from = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? -1) + 1
  const events = Array.from({ length: count }, (_, index) => `id: ${from + index}\ndata: x\n\n`).join('')
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nTransfer-Encoding: chunked\r\n${HEAD}${events.length.toString(16)}\r\n${events}\r\n`)
  if (breaksOff) setTimeout(() => socket.end(), 30)
  else socket.end('0\r\n\r\n')
}

const breakOff = (exchange: RawExchange) => sendEvents(exchange, 2, true)
const complete = (exchange: RawExchange) => sendEvents(exchange, 2, false)
const takeUp = (id: string, continues?: string) => ({ id, headers: ['Last-Event-Id: 1', ...continues === undefined ? [] : [`Continues: ${continues}`]] })

function checkRefused (t: Test, { status, body, headers }: RawAnswer): void {
  t.equal(status, 503)
  t.match(JSON.parse(body), { error: { code: 2010, type: 'stream_not_continuable', ran: 'no' } })
  t.notMatch(headers, /retry-after/i)
}

t.test('a host continues a broken stream at the version that began it, and breaks it off where there is none', async (t) => {
  for (const [version, expected] of [['v1', 'whole'], ['v2', 'cut']] as const) {
    const fixture = await createFixture(t)
    await fixture.addRunner('runner-1', breakOff, { softwareVersion: 'v1' })
    const call = fixture.call({ id: `id-${version}` })
    await waitUntil(() => fixture.context.runners.get('runner-1')?.inFlight === 1)
    const second = await fixture.addRunner('runner-2', complete, { softwareVersion: version })
    const { text } = await call
    t.equal(second.requests.length, expected === 'whole' ? 1 : 0)
    t.equal(text.includes('id: 2\n'), expected === 'whole')
  }
})

t.test('a stalled stream is not moved to another version', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', (exchange) => {
    exchange.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${exchange.requestId}\r\nTransfer-Encoding: chunked\r\n${HEAD}f\r\nid: 0\ndata: x\n\n\r\n`)
    setTimeout(() => exchange.socket.end(), 1_500)
  }, { softwareVersion: 'v1' })
  const call = fixture.call({})
  await waitUntil(() => fixture.context.runners.get('runner-1')?.inFlight === 1)
  const other = await fixture.addRunner('runner-2', complete, { softwareVersion: 'v2' })
  await call
  t.equal(other.requests.length, 0)
})

t.test('a caller\'s take-up goes on at the version that began the stream, over several take-ups', async (t) => {
  const fixture = await createFixture(t)
  const first = await fixture.addRunner('runner-1', breakOff, { softwareVersion: 'v1' })
  await fixture.call({ id: 'began' })
  const other = await fixture.addRunner('runner-2', complete, { softwareVersion: 'v2' })
  const same = await fixture.addRunner('runner-3', complete, { softwareVersion: 'v1' })
  fixture.context.runners.remove('runner-1', 0, 0)
  t.equal((await fixture.call(takeUp('again', 'began'))).status, 200)
  t.equal((await fixture.call(takeUp('once-more', 'began'))).status, 200)
  t.same([first, other, same].map(({ requests }) => requests.length), [1, 0, 2])
})

t.test('a take-up is refused as not run if it is not known at which of two versions the stream began', async (t) => {
  const fixture = await createFixture(t)
  const runners = [await fixture.addRunner('runner-1', complete, { softwareVersion: 'v1' }), await fixture.addRunner('runner-2', complete, { softwareVersion: 'v2' })]
  for (const call of [takeUp('a'), takeUp('b', 'unknown'), takeUp('c', ''), takeUp('d', 'x'.repeat(4_000))]) checkRefused(t, await fixture.call(call))
  t.same(runners.map(({ requests }) => requests.length), [0, 0])
})

t.test('a take-up is refused at once if no runner of the version that began the stream is left', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', breakOff, { softwareVersion: 'v1' })
  await fixture.call({ id: 'began' })
  fixture.context.runners.remove('runner-1', 0, 0)
  const other = await fixture.addRunner('runner-2', complete, { softwareVersion: 'v2' })
  checkRefused(t, await fixture.call(takeUp('again', 'began')))
  t.equal(other.requests.length, 0)
})

t.test('a host that knows nothing continues a stream where only one version can have begun it', async (t) => {
  const records = StreamRecords.create()
  records.versions.set('plain/v1', { service: 'plain', softwareVersion: 'v1', lastSeenAt: new Date() })
  const fixture = await createFixture(t, records)
  await fixture.addRunner('runner-1', complete, { softwareVersion: 'v1' })
  t.equal((await fixture.call(takeUp('again', 'began-elsewhere'))).status, 200)
})

t.test('a host that was restarted does not take the only version that is left for the only one there was', async (t) => {
  const records = StreamRecords.create()
  records.versions.set('plain/v1', { service: 'plain', softwareVersion: 'v1', lastSeenAt: new Date(Date.now() - 20_000) })
  const fixture = await createFixture(t, records)
  const runner = await fixture.addRunner('runner-1', complete, { softwareVersion: 'v2' })
  checkRefused(t, await fixture.call(takeUp('again', 'began-before')))
  t.equal(runner.requests.length, 0)
})

t.test('a host that does not reach the platform refuses a take-up that it knows nothing of', async (t) => {
  const records = StreamRecords.create()
  records.down = true
  const fixture = await createFixture(t, records)
  const runner = await fixture.addRunner('runner-1', complete, { softwareVersion: 'v1' })
  checkRefused(t, await fixture.call(takeUp('again', 'began-elsewhere')))
  t.equal(runner.requests.length, 0)
})

t.test('a host learns from the platform where another host began a stream', async (t) => {
  const records = StreamRecords.create()
  records.batches.push({ service: 'plain', softwareVersion: 'v1', requestIds: ['began-elsewhere'] })
  const fixture = await createFixture(t, records)
  const runners = [await fixture.addRunner('runner-1', complete, { softwareVersion: 'v1' }), await fixture.addRunner('runner-2', complete, { softwareVersion: 'v2' })]
  t.equal((await fixture.call(takeUp('again', 'began-elsewhere'))).status, 200)
  t.same(runners.map(({ requests }) => requests.length), [1, 0])
})

t.test('a stream does not begin at a runner whose listed process has ended, as the next one may have another version', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', complete, { softwareVersion: 'v1', startedUnixMs: 1 })
  const process = `runner-1@${runner.address}/1`
  fixture.context.crashes.receive('host-2', { to: { listId: 'list', version: 1 }, ends: [{ process, endedAgoMs: 5, requests: [['request-x']], running: [], inherited: false }], begun: [], blocks: [] })
  t.equal((await fixture.call({ id: 'too-early' })).status, 503)
  fixture.context.runners.upsert({ ...fixture.context.runners.get('runner-1')!.entry, softwareVersion: 'v2', startedUnixMs: 2 })
  t.equal((await fixture.call({ id: 'listed' })).status, 200)
})

t.test('a stream that began at a process that the list showed only later goes on nowhere', async (t) => {
  const fixture = await createFixture(t)
  const first = await fixture.addRunner('runner-1', breakOff, { softwareVersion: 'v1', startedUnixMs: 1 })
  const call = fixture.call({ id: 'began' })
  // Before the request is written, the host would rightly send it elsewhere.
  await waitUntil(() => first.requests.length === 1)
  const { entry } = fixture.context.runners.get('runner-1')!
  fixture.context.runners.upsert({ ...entry, softwareVersion: 'v2', startedUnixMs: Date.now() - 100 })
  const second = await fixture.addRunner('runner-2', complete, { softwareVersion: 'v1' })
  await call
  t.equal(second.requests.length, 0)
})

t.test('runners that state no version continue no stream', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', breakOff, { softwareVersion: undefined })
  const call = fixture.call({ id: 'began' })
  await waitUntil(() => fixture.context.runners.get('runner-1')?.inFlight === 1)
  const second = await fixture.addRunner('runner-2', complete, { softwareVersion: undefined })
  await call
  checkRefused(t, await fixture.call(takeUp('again', 'began')))
  t.equal(second.requests.length, 0)
})

t.test('an id that came twice, at two versions, continues nothing', async (t) => {
  const records = StreamRecords.create()
  for (const softwareVersion of ['v1', 'v2']) records.batches.push({ service: 'plain', softwareVersion, requestIds: ['twice'] })
  const fixture = await createFixture(t, records)
  await fixture.addRunner('runner-1', complete, { softwareVersion: 'v1' })
  await fixture.addRunner('runner-2', complete, { softwareVersion: 'v2' })
  checkRefused(t, await fixture.call(takeUp('again', 'twice')))
})

t.test('a new stream begins at a version at which a second runner could continue it', async (t) => {
  const fixture = await createFixture(t)
  const alone = await fixture.addRunner('runner-1', complete, { softwareVersion: 'v1' })
  const pair = [await fixture.addRunner('runner-2', complete, { softwareVersion: 'v2' }), await fixture.addRunner('runner-3', complete, { softwareVersion: 'v2' })]
  for (let count = 0; count < 8; count += 1) t.equal((await fixture.call({ id: `id-${count}` })).status, 200)
  t.equal(alone.requests.length, 0)
  for (const runner of pair) fixture.context.runners.remove(runner === pair[0] ? 'runner-2' : 'runner-3', 0, 0)
  t.equal((await fixture.call({ id: 'last' })).status, 200)
  t.equal(alone.requests.length, 1)
})

/** A stream of v1 broke off with the only runner of v1 that held its model; another one of v1 doesn't hold it, one of v2 does. */
async function createWithoutHolder (t: Test) {
  const fixture = await createFixture(t, undefined, ENGINE)
  await fixture.addRunner('runner-1', breakOff, { softwareVersion: 'v1', ...HOLDS_M })
  await fixture.call({ id: 'began', headers: ['Model: m'] })
  fixture.context.runners.remove('runner-1', 0, 0)
  const same = await fixture.addRunner('runner-2', complete, { softwareVersion: 'v1' })
  const other = await fixture.addRunner('runner-3', complete, { softwareVersion: 'v2', ...HOLDS_M })
  const takeUp = (id: string) => fixture.call({ id, headers: ['Last-Event-Id: 1', 'Continues: began', 'Model: m'] })
  return { fixture, same, other, takeUp }
}

t.test('a take-up whose version holds its model no longer is refused with the time until a load there has ended, and counted for the planner', async (t) => {
  const { fixture, other, takeUp } = await createWithoutHolder(t)
  fixture.expectedLoads.push({ service: 'plain', model: 'm', softwareVersion: 'v2', readyInMs: 50 })
  const { status, body, headers } = await takeUp('again')
  t.equal(status, 503)
  t.match(JSON.parse(body), { error: { code: 2003, ran: 'no' } })
  t.match(headers, /retry-after: 10\.2\r/i)
  t.match(fixture.context.demand.rates(fixture.context.clock.monotonicMs()).filter(({ softwareVersion }) => softwareVersion !== undefined), [{ model: 'm', softwareVersion: 'v1' }])
  t.equal(other.requests.length, 0)
})

t.test('the time until a load has ended counts the loads that keep all runners of the version busy, and the weights on their disks', async (t) => {
  const { fixture, takeUp } = await createWithoutHolder(t)
  fixture.expectedLoads.push({ service: 'plain', model: 'n', softwareVersion: 'v1', readyInMs: 4_000 })
  t.match((await takeUp('again')).headers, /retry-after: 14\.2\r/i)
  fixture.context.runners.upsert({ ...fixture.context.runners.get('runner-2')!.entry, localWeights: ['m'] })
  t.match((await takeUp('on-disk')).headers, /retry-after: 7\.2\r/i)
})

t.test('a take-up waits for a load at its version that ends before its caller abandons the stream, and for no other', async (t) => {
  const { fixture, same, other, takeUp } = await createWithoutHolder(t)
  fixture.expectedLoads.push({ service: 'plain', model: 'm', softwareVersion: 'v1', readyInMs: 9_000 })
  t.match(await takeUp('too-late'), { status: 503, headers: /retry-after: 10\.2\r/i })
  fixture.expectedLoads.splice(0, 1, { service: 'plain', model: 'm', softwareVersion: 'v1', readyInMs: 600 })
  const call = takeUp('in-time')
  setTimeout(() => fixture.context.runners.upsert({ ...fixture.context.runners.get('runner-2')!.entry, ...HOLDS_M }), 700)
  t.equal((await call).status, 200)
  t.same([same, other].map(({ requests }) => requests.length), [1, 0])
})
