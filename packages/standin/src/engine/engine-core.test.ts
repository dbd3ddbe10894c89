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
  const received = { text: '', events: [] as string[] }
  const sink: GenerateSink = {
    onToken: (_, token) => { received.text += token },
    onEnd: () => received.events.push('end'),
    onRefused: () => received.events.push('refused'),
    onCanceled: (started) => received.events.push(started ? 'stopped' : 'not-started'),
    onProcessExit: () => received.events.push('process-exit')
  }
  return { sink, received }
}

t.test('a loaded model becomes resident; unloading frees its memory', async (t) => {
  const { clock, engine } = createEngine()
  t.equal((await engine.order(loadOrder(1)))?.outcome, 'accepted')
  t.match(await engine.report(), { usedMiB: 150, copies: [{ state: 'loading' }], highestFence: 1 })
  await clock.advance(500)
  t.match(await engine.report(), { copies: [{ state: 'resident' }] })
  t.equal((await engine.order(unloadOrder(2)))?.outcome, 'accepted')
  await clock.advance(50)
  t.match(await engine.report(), { usedMiB: 0, copies: [] })
})

t.test('a stale fencing token is refused, or ignored if the engine does not check tokens', async (t) => {
  for (const checksFencing of [true, false]) {
    const { engine } = createEngine({ checksFencing })
    await engine.order(unloadOrder(9))
    t.equal((await engine.order(loadOrder(8)))?.outcome, checksFencing ? 'stale-fence' : 'accepted')
    t.equal((await engine.report())?.highestFence, checksFencing ? 9 : 0)
  }
})

t.test('allocations beyond the memory are counted', async (t) => {
  const { engine } = createEngine()
  await engine.order(loadOrder(1))
  t.equal(engine.stats().overcommitCount, 0)
  await engine.order(loadOrder(2, 'mesa-8b'))
  t.match(engine.stats(), { overcommitCount: 1, peakUsedMiB: 300 })
})

t.test('injected faults: lost order, lost answer, delayed order, duplicated order', async (t) => {
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
  t.ok((await late).isErr(), 'the sender times out')
  t.equal(engine.stats().unloads, 0)
  await clock.advance(58_000)
  t.equal(engine.stats().unloads, 1, 'the order takes effect after its timeout')

  engine.setFaults({ repeatOrders: 1, orderRepeatMs: 10_000 })
  await engines.order(url, loadOrder(4))
  await engines.order(url, unloadOrder(5))
  await clock.advance(9_000)
  t.equal(engine.stats().usedMiB, 0)
  await clock.advance(1_000)
  t.equal(engine.stats().usedMiB, 150, 'the duplicate loads the model again')
})

t.test('a frozen engine answers nothing and continues when unfrozen', async (t) => {
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

t.test('a call to a URL without an engine is not executed', async (t) => {
  const { engines } = createEngine()
  t.equal((await engines.report('http://127.0.0.1:1'))._unsafeUnwrapErr().ran, 'no')
})

t.test('tokens of the prompt, resumption, and refusal of what is not resident', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy] })
  const full = createSink()
  const resumed = createSink()
  t.equal(await engine.generate(request('a'), full.sink), 'accepted')
  t.equal(await engine.generate(request('b', { resumeFrom: 2, adapter: 'douro' }), resumed.sink), 'accepted')
  t.equal(await engine.generate(request('c', { version: '4' }), full.sink), 'not-resident')
  t.equal(await engine.generate(request('d', { adapter: 'minho' }), full.sink), 'not-resident')
  await clock.advance(100)
  t.equal(full.received.text, answerText('user: hello', 3))
  t.equal(full.received.text, answerText('user: hello', 2) + resumed.received.text)
  t.match(engine.stats(), { started: 2, finished: 2, refused: 2, runs: { a: 1, b: 1 } })
})

t.test('slowTokenMs delays each token', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy] })
  engine.setFaults({ slowTokenMs: 100 })
  const { sink, received } = createSink()
  await engine.generate(request('a'), sink)
  await clock.advance(329)
  t.same(received.events, [])
  await clock.advance(1)
  t.same(received.events, ['end'])
})

t.test('queued interactive requests start before batch requests', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy], slots: 1 })
  const ended: string[] = []
  for (const [id, priority] of [['first', 'batch'], ['batch', 'batch'], ['interactive', 'interactive']] as const) {
    await engine.generate(request(id, { priority }), { ...createSink().sink, onEnd: () => ended.push(id) })
  }
  t.match(await engine.report(), { running: 1, queued: 2 })
  await clock.advance(1_000)
  t.same(ended, ['first', 'interactive', 'batch'])
})

t.test('cancel before arrival, while queued, while running, after the end', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy], slots: 1 })
  const { sink, received } = createSink()
  t.equal(await engine.cancel('ahead'), 'not-started')
  t.equal(await engine.generate(request('ahead'), sink), 'canceled')
  await engine.generate(request('running'), sink)
  await engine.generate(request('queued'), sink)
  t.equal(await engine.cancel('queued'), 'not-started')
  t.equal(await engine.cancel('running'), 'stopped')
  await engine.generate(request('done'), sink)
  await clock.advance(1_000)
  t.equal(await engine.cancel('done'), 'finished')
  t.same(received.events, ['not-started', 'stopped', 'end'])
  t.same(engine.stats().runs, { running: 1, done: 1 })
})

t.test('unload refuses queued attempts and waits for the running one', async (t) => {
  const { clock, engine } = createEngine({ copies: [copy], slots: 1 })
  const { sink, received } = createSink()
  await engine.generate(request('running'), sink)
  await engine.generate(request('queued'), sink)
  await engine.order(unloadOrder(1))
  t.same(received.events, ['refused'])
  await clock.advance(30)
  t.same(received.events, ['refused', 'end'])
  await clock.advance(30)
  t.equal((await engine.report())?.usedMiB, 154)
  await clock.advance(20)
  t.equal((await engine.report())?.usedMiB, 0)
})

t.test('restart ends attempts, removes copies and forgets attempts and orders', async (t) => {
  const { engine } = createEngine({ copies: [copy] })
  const { sink, received } = createSink()
  await engine.generate(request('a'), sink)
  const previousInstance = (await engine.report())?.instance
  engine.restart()
  t.same(received.events, ['process-exit'])
  t.match(await engine.report(), { copies: [], running: 0, highestFence: 0 })
  t.not((await engine.report())?.instance, previousInstance)
  t.equal(await engine.cancel('a'), 'unknown')
})

t.test('a report is cached for reportLagMs', async (t) => {
  const { clock, engine } = createEngine({ reportLagMs: 100 })
  await engine.report()
  await engine.order(loadOrder(1))
  await clock.advance(99)
  t.match(await engine.report(), { copies: [], ageMs: 99 })
  await clock.advance(1)
  t.match(await engine.report(), { copies: [{ state: 'loading' }], ageMs: 0 })
})

t.test('an omitted cache event leaves a gap in the sequence', async (t) => {
  const { engine } = createEngine({ copies: [copy], cachedPrefixes: 1 })
  const { sink } = createSink()
  await engine.generate(request('a', { prompt: 'one' }), sink)
  engine.setFaults({ skipCacheEvents: 1 })
  await engine.generate(request('b', { prompt: 'two' }), sink)
  const page = await engine.cacheEvents(1)
  t.same(page?.events.map(({ sequence, kind }) => [sequence, kind]), [[1, 'stored'], [3, 'evicted']])
  t.equal(page?.nextSequence, 4)
})

t.test('the store limits the rate of starts and slows down concurrent loads', async (t) => {
  const clock = ManualClock.create()
  const store = WeightStore.create({ clock, config: { startsPerSecond: 2, fullSpeedLoads: 1 } })
  const doneMs: number[] = []
  for (let load = 0; load < 3; load += 1) store.load(800, () => doneMs.push(clock.monotonicMs()))
  await clock.advance(5_000)
  t.same(doneMs, [800, 500 + 1_600, 1_000 + 1_600])
  t.match(store.stats, { loads: 3, peakLoads: 2 })
})

t.test('engines share the rate limit of a store', async (t) => {
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
