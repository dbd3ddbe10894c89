import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import type { EngineOrder } from '@figloom/clients'
import { EngineCore } from './engine-core.js'
import { MemoryEngines } from './memory-engines.js'
import { WeightStore } from '../store/weight-store.js'
import { answerText } from './tokens.js'
import type { EngineConfig, GenerateRequest, GenerateSink } from './types.js'

const url = 'http://127.0.0.1:7101'
const copy = { model: 'vinho-8b', version: '3', weightsMiB: 100, kvReserveMiB: 50, adapters: [{ name: 'douro', sizeMiB: 4 }] }

function createEngine (config: Partial<EngineConfig> = {}) {
  const clock = ManualClock.create()
  const engines = MemoryEngines.create({ clock })
  return { clock, engines, engine: engines.add(url, { config: { memoryMiB: 200, ...config } }) }
}

function loadOrder (fence: number, model = 'vinho-8b'): EngineOrder {
  return { orderId: `load-${fence}`, fence, action: 'load', model, version: '3', weightsMiB: 100, kvReserveMiB: 50 }
}

function unloadOrder (fence: number): EngineOrder {
  return { orderId: `unload-${fence}`, fence, action: 'unload', model: 'vinho-8b', version: '3' }
}

function request (attemptId: string, options: Partial<GenerateRequest> = {}): GenerateRequest {
  return { attemptId, model: 'vinho-8b', version: '3', prompt: 'user: hello', maxTokens: 3, resumeFrom: 0, priority: 'interactive', ...options }
}

function createSink () {
  const seen = { text: '', events: [] as string[] }
  const sink: GenerateSink = {
    onToken: (_, token) => { seen.text += token },
    onEnd: () => seen.events.push('end'),
    onRefused: () => seen.events.push('refused'),
    onCanceled: (started) => seen.events.push(started ? 'stopped' : 'not-started'),
    onCut: () => seen.events.push('cut')
  }
  return { sink, seen }
}

t.test('load becomes resident, unload frees', async (t) => {
  const { clock, engine } = createEngine()
  t.equal((await engine.order(loadOrder(1)))?.outcome, 'accepted')
  t.match(await engine.report(), { usedMiB: 150, copies: [{ state: 'loading' }], highestFence: 1 })
  await clock.advance(500)
  t.match(await engine.report(), { copies: [{ state: 'resident' }] })
  t.equal((await engine.order(unloadOrder(2)))?.outcome, 'accepted')
  await clock.advance(50)
  t.match(await engine.report(), { usedMiB: 0, copies: [] })
})

t.test('old fence refused or ignored', async (t) => {
  for (const checksFencing of [true, false]) {
    const { engine } = createEngine({ checksFencing })
    await engine.order(unloadOrder(9))
    t.equal((await engine.order(loadOrder(8)))?.outcome, checksFencing ? 'stale-fence' : 'accepted')
    t.equal((await engine.report())?.highestFence, checksFencing ? 9 : 0)
  }
})

t.test('overcommit is counted', async (t) => {
  const { engine } = createEngine()
  await engine.order(loadOrder(1))
  t.equal(engine.stats().overcommitCount, 0)
  await engine.order(loadOrder(2, 'mesa-8b'))
  t.match(engine.stats(), { overcommitCount: 1, peakUsedMiB: 300 })
})

t.test('lost order, lost answer, late order, repeated order', async (t) => {
  const { clock, engine, engines } = createEngine({ checksFencing: false })
  engine.setFaults({ loseOrders: 1 })
  const lost = engines.order(url, loadOrder(1))
  t.equal((await lost)._unsafeUnwrapErr().ran, 'unknown')
  t.equal(engine.stats().loads, 0)
  engine.setFaults({ loseOrderAnswers: 1 })
  t.ok((await engines.order(url, loadOrder(2))).isErr())
  t.equal(engine.stats().loads, 1)

  engine.setFaults({ delayOrders: 1, orderDelayMs: 60_000 })
  const late = engines.order(url, unloadOrder(3))
  await clock.advance(2_000)
  t.ok((await late).isErr(), 'the sender gave up')
  t.equal(engine.stats().unloads, 0)
  await clock.advance(58_000)
  t.equal(engine.stats().unloads, 1, 'it arrives all the same')

  engine.setFaults({ repeatOrders: 1, orderRepeatMs: 10_000 })
  await engines.order(url, loadOrder(4))
  await engines.order(url, unloadOrder(5))
  await clock.advance(9_000)
  t.equal(engine.stats().usedMiB, 0)
  await clock.advance(1_000)
  t.equal(engine.stats().usedMiB, 150, 'the second copy loads again')
})

t.test('frozen engine answers nothing and goes on later', async (t) => {
  const { clock, engine, engines } = createEngine()
  engine.setFaults({ frozen: true })
  const order = engines.order(url, loadOrder(1))
  await clock.advance(2_000)
  t.ok((await order).isErr())
  t.equal(engine.stats().loads, 0)
  engine.setFaults({ frozen: false })
  await clock.advance(0)
  t.equal(engine.stats().loads, 1)
})

t.test('no engine at the address: not sent', async (t) => {
  const { engines } = createEngine()
  t.equal((await engines.report('http://127.0.0.1:1'))._unsafeUnwrapErr().ran, 'no')
})

t.test('own tokens, resume, residency', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy] })
  const whole = createSink()
  const resumed = createSink()
  t.equal(await engine.generate(request('a'), whole.sink), 'accepted')
  t.equal(await engine.generate(request('b', { resumeFrom: 2, adapter: 'douro' }), resumed.sink), 'accepted')
  t.equal(await engine.generate(request('c', { version: '4' }), whole.sink), 'not-resident')
  t.equal(await engine.generate(request('d', { adapter: 'minho' }), whole.sink), 'not-resident')
  await clock.advance(100)
  t.equal(whole.seen.text, answerText('user: hello', 3))
  t.equal(whole.seen.text, answerText('user: hello', 2) + resumed.seen.text)
  t.match(engine.stats(), { started: 2, finished: 2, refused: 2, runs: { a: 1, b: 1 } })
})

t.test('slow tokens', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy] })
  engine.setFaults({ slowTokenMs: 100 })
  const { sink, seen } = createSink()
  await engine.generate(request('a'), sink)
  await clock.advance(329)
  t.same(seen.events, [])
  await clock.advance(1)
  t.same(seen.events, ['end'])
})

t.test('queue by priority', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy], slots: 1 })
  const ended: string[] = []
  for (const [id, priority] of [['first', 'batch'], ['batch', 'batch'], ['interactive', 'interactive']] as const) {
    await engine.generate(request(id, { priority }), { ...createSink().sink, onEnd: () => ended.push(id) })
  }
  t.match(await engine.report(), { running: 1, queued: 2 })
  await clock.advance(1_000)
  t.same(ended, ['first', 'interactive', 'batch'])
})

t.test('cancel before arrival, in the queue, while running, afterwards', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy], slots: 1 })
  const { sink, seen } = createSink()
  t.equal(await engine.cancel('ahead'), 'not-started')
  t.equal(await engine.generate(request('ahead'), sink), 'canceled')
  await engine.generate(request('running'), sink)
  await engine.generate(request('queued'), sink)
  t.equal(await engine.cancel('queued'), 'not-started')
  t.equal(await engine.cancel('running'), 'stopped')
  await engine.generate(request('done'), sink)
  await clock.advance(1_000)
  t.equal(await engine.cancel('done'), 'finished')
  t.same(seen.events, ['not-started', 'stopped', 'end'])
  t.same(engine.stats().runs, { running: 1, done: 1 })
})

t.test('unload refuses the queue and waits for what runs', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy], slots: 1 })
  const { sink, seen } = createSink()
  await engine.generate(request('running'), sink)
  await engine.generate(request('queued'), sink)
  await engine.order(unloadOrder(1))
  t.same(seen.events, ['refused'])
  await clock.advance(30)
  t.same(seen.events, ['refused', 'end'])
  await clock.advance(30)
  t.equal((await engine.report())?.usedMiB, 154)
  await clock.advance(20)
  t.equal((await engine.report())?.usedMiB, 0)
})

t.test('restart cuts off, empties and forgets', async (t) => {
  const { engine } = createEngine({ copies: [copy] })
  const { sink, seen } = createSink()
  await engine.generate(request('a'), sink)
  const before = (await engine.report())?.instance
  engine.restart()
  t.same(seen.events, ['cut'])
  t.match(await engine.report(), { copies: [], running: 0, highestFence: 0 })
  t.not((await engine.report())?.instance, before)
  t.equal(await engine.cancel('a'), 'unknown')
})

t.test('report lags', async (t) => {
  const { clock, engine } = createEngine({ reportLagMs: 100 })
  await engine.report()
  await engine.order(loadOrder(1))
  await clock.advance(99)
  t.match(await engine.report(), { copies: [], ageMs: 99 })
  await clock.advance(1)
  t.match(await engine.report(), { copies: [{ state: 'loading' }], ageMs: 0 })
})

t.test('cache events with a gap', async (t) => {
  const { engine } = createEngine({ copies: [copy], cachedPrefixes: 1 })
  const { sink } = createSink()
  await engine.generate(request('a', { prompt: 'one' }), sink)
  engine.setFaults({ skipCacheEvents: 1 })
  await engine.generate(request('b', { prompt: 'two' }), sink)
  const page = await engine.cacheEvents(1)
  t.same(page?.events.map(({ sequence, kind }) => [sequence, kind]), [[1, 'stored'], [3, 'evicted']])
  t.equal(page?.nextSequence, 4)
})

t.test('store paces starts and slows down beyond full speed', async (t) => {
  const clock = ManualClock.create()
  const store = WeightStore.create({ clock, config: { startsPerSecond: 2, fullSpeedLoads: 1 } })
  const doneMs: number[] = []
  for (let load = 0; load < 3; load += 1) store.load(800, () => doneMs.push(clock.monotonicMs()))
  await clock.advance(5_000)
  t.same(doneMs, [800, 500 + 1_600, 1_000 + 1_600])
  t.match(store.stats, { loads: 3, peakLoads: 2 })
})

t.test('engines share a store', async (t) => {
  const clock = ManualClock.create()
  const store = WeightStore.create({ clock, config: { startsPerSecond: 1 } })
  const engines = ['one', 'two'].map((runner) => EngineCore.create({ clock, config: { runner }, store }))
  for (const engine of engines) await engine.order(loadOrder(1))
  await clock.advance(500)
  const states = async () => (await Promise.all(engines.map((engine) => engine.report()))).map((report) => report?.copies[0]?.state)
  t.same(await states(), ['resident', 'loading'])
  await clock.advance(1_000)
  t.same(await states(), ['resident', 'resident'])
})
