import t from 'tap'
import fc from 'fast-check'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { ConfigState } from '../config/config-state.js'
import type { EngineSpec } from '../config/types.js'
import type { DemandRate } from '../members/types.js'
import { RunnerTable } from '../runners/runner-table.js'
import { DeliveryOutcome, FakeRunner, FakeRunnerOrders } from '../testing/fake-runner.js'
import { OrderDispatcher } from './order-dispatcher.js'

const MODELS = ['a', 'b', 'c', 'd', 'e']
const engine: EngineSpec = {
  slots: 8,
  memoryTokens: 1,
  weightsMb: 150,
  adapterSlots: 2,
  loadsPerS: 2,
  models: new Map(MODELS.map((name) => [name, { name, sizeMb: 70, loadMs: 2_000, diskLoadMs: 500, adapters: ['x', 'y', 'z'], adapterSizeMb: 3 }]))
}

class DispatcherFixture {
  readonly clock = ManualClock.create()
  readonly runners: FakeRunner[]
  readonly table = RunnerTable.create()
  readonly dispatcher: OrderDispatcher
  demand: DemandRate[] = []
  token: number | undefined = 1
  takesOrders = true
  /** Runners whose processes are known to have ended. */
  ended: ReadonlySet<string> = new Set()
  /** Runners that gave a report, and those that gave none. */
  readonly reporting = new Set<string>()
  readonly silent = new Set<string>()
  isMixed = false

  private constructor (held: string[][], nextOutcome: () => DeliveryOutcome) {
    this.runners = held.map((models, index) => FakeRunner.create(`r${index}`, engine, this.clock, models))
    const config = ConfigState.create()
    config.adopt({
      version: 1,
      routes: [],
      services: new Map([['engine', { name: 'engine', maxConnections: 10, engine }]]),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    })
    this.dispatcher = OrderDispatcher.create({
      clock: this.clock,
      log: silentLogger,
      config,
      runners: this.table,
      orders: FakeRunnerOrders.create(this.runners, this.clock, nextOutcome),
      host: 'host',
      orderToken: () => this.token,
      onOrder: () => {},
      demand: () => this.demand,
      limitPerS: () => undefined,
      hasEnded: ({ id }) => this.ended.has(id),
      onReport: ({ id }) => { this.reporting.add(id) },
      onNoReport: ({ id }) => { this.silent.add(id) },
      takesOrders: () => this.takesOrders,
      isMixed: () => this.isMixed
    })
    this.#updateList()
    this.dispatcher.start()
  }

  static create (held: string[][], nextOutcome: () => DeliveryOutcome = () => DeliveryOutcome.Delivered): DispatcherFixture {
    return new DispatcherFixture(held, nextOutcome)
  }

  addDemand (model: string, requestsPerS: number): void {
    this.demand = [...this.demand, { service: 'engine', model, requestsPerS, slowRequestsPerS: requestsPerS, holdMs: 1_000 }]
  }

  isResident (model: string): boolean {
    return this.runners.some(({ models }) => models.some(({ name }) => name === model))
  }

  /** Updates the runner list once a second, so entries lag behind the runners. */
  #updateList (): void {
    for (const runner of this.runners) this.table.upsert(runner.entry())
    this.clock.setTimer(1_000, () => this.#updateList())
  }
}

t.test('a runner that asks for a pause gets no order until the pause ends', async (t) => {
  const fixture = DispatcherFixture.create([['a', 'b']])
  fixture.addDemand('e', 5)
  fixture.takesOrders = false
  await fixture.clock.advance(6_000)
  t.notOk(fixture.isResident('e'))
  t.same(await fixture.dispatcher.ensureAdapter({ runnerId: 'r0', model: 'a', adapter: 'x' }), { accepted: false, readyInMs: 0 })
  t.equal(fixture.runners[0]?.orders.length, 0)
  fixture.takesOrders = true
  await fixture.clock.advance(10_000)
  t.ok(fixture.isResident('e'))
})

t.test('a model with demand becomes resident', async (t) => {
  const fixture = DispatcherFixture.create([['a', 'b'], ['a', 'c']])
  fixture.addDemand('d', 1)
  await fixture.clock.advance(8_000)
  t.ok(fixture.isResident('d'))
})

t.test('without the lease no order is sent', async (t) => {
  const fixture = DispatcherFixture.create([['a', 'b']])
  fixture.token = undefined
  fixture.addDemand('d', 1)
  await fixture.clock.advance(5_000)
  t.same(await fixture.dispatcher.ensureAdapter({ runnerId: 'r0', model: 'a', adapter: 'x' }), { accepted: false, readyInMs: 0 })
  t.equal(fixture.runners[0]?.orders.length, 0)
})

t.test('an adapter replaces the least recently used one where all adapter slots are in use', async (t) => {
  const fixture = DispatcherFixture.create([['a']])
  await fixture.clock.advance(6_000)
  t.equal(fixture.runners[0]?.models[0]?.adapters.length, 2)
  const missing = ['x', 'y', 'z'].find((name) => fixture.runners[0]?.models[0]?.adapters.includes(name) === false) ?? ''
  const reply = await fixture.dispatcher.ensureAdapter({ runnerId: 'r0', model: 'a', adapter: missing })
  t.ok(reply.accepted)
  t.ok(fixture.runners[0]?.models[0]?.adapters.includes(missing))
  t.notOk(fixture.runners[0]?.overcommitted)
})

t.test('no runner is ordered to hold more than fits when answers are lost and orders arrive late', async (t) => {
  const outcomes = fc.array(fc.constantFrom(DeliveryOutcome.Delivered, DeliveryOutcome.Delivered, DeliveryOutcome.AnswerLost, DeliveryOutcome.Delayed), { minLength: 5, maxLength: 40 })
  const steps = fc.array(fc.record({ model: fc.constantFrom(...MODELS), adapter: fc.constantFrom('x', 'y', 'z'), waitMs: fc.integer({ min: 50, max: 3_000 }) }), { minLength: 3, maxLength: 12 })
  await fc.assert(fc.asyncProperty(outcomes, steps, async (outcomes, steps) => {
    let next = 0
    const fixture = DispatcherFixture.create([['a', 'b'], ['c']], () => outcomes[next++ % outcomes.length] ?? DeliveryOutcome.Delivered)
    for (const { model, adapter, waitMs } of steps) {
      fixture.demand = []
      fixture.addDemand(model, 20)
      fixture.dispatcher.ensureAdapter({ runnerId: 'r0', model, adapter }).catch(() => {})
      await fixture.clock.advance(waitMs)
    }
    fixture.dispatcher.stop()
    return fixture.runners.every(({ overcommitted }) => !overcommitted)
  }), { numRuns: 60, seed: 7 })
})

t.test('loads from the weight store stay within its rate', async (t) => {
  const fixture = DispatcherFixture.create(Array.from({ length: 12 }, () => []))
  for (const model of MODELS) fixture.addDemand(model, 30)
  await fixture.clock.advance(5_000)
  const loads = fixture.runners.flatMap(({ orders }) => orders).filter(({ adapter }) => adapter === undefined)
  t.ok(loads.length <= 2 * 5 + 2)
  t.ok(loads.length >= 4)
})

t.test('a model whose load ends its runner is not ordered on one runner after another', async (t) => {
  const fixture = DispatcherFixture.create([['a'], ['b'], ['c'], ['a'], ['b'], ['c']])
  for (const runner of fixture.runners) runner.deadlyModels.add('d')
  fixture.addDemand('d', 20)
  fixture.addDemand('a', 2)
  await fixture.clock.advance(60_000)
  const ends = fixture.runners.reduce((sum, { starts }) => sum + starts - 1, 0)
  t.comment(`${ends} ends in a minute`)
  t.ok(ends <= 9)
  t.ok(fixture.isResident('a'))
})

/** The host's own requests find most runners unreachable, again and again. */
async function runWithoutLinks (fixture: DispatcherFixture, runners: readonly FakeRunner[]): Promise<void> {
  for (let round = 0; round < 20; round += 1) {
    for (const { id } of runners) fixture.table.markUnreachable(id, fixture.clock.monotonicMs())
    await fixture.clock.advance(500)
  }
}

/** Four runners with a model each, all in demand, and their orders so far. */
async function createDemanded () {
  const fixture = DispatcherFixture.create([['a'], ['b'], ['c'], ['d']])
  await fixture.clock.advance(20_000)
  for (const model of ['a', 'b', 'c', 'd']) fixture.addDemand(model, 4)
  const orderCounts = () => fixture.runners.map(({ orders }) => orders.length)
  return { fixture, orderCounts, before: orderCounts() }
}

t.test('a host that lost its links to most runners orders no second copies on the rest of them', async (t) => {
  const { fixture, orderCounts, before } = await createDemanded()
  await runWithoutLinks(fixture, fixture.runners.slice(0, 3))
  t.same(orderCounts(), before)
  fixture.dispatcher.stop()
})

t.test('where most runners have ended, the rest gets orders', async (t) => {
  const { fixture, orderCounts, before } = await createDemanded()
  fixture.ended = new Set(['r0', 'r1', 'r2'])
  await runWithoutLinks(fixture, fixture.runners.slice(0, 3))
  t.ok((orderCounts()[3] ?? 0) > (before[3] ?? 0))
  fixture.dispatcher.stop()
})

t.test('runners that give no report are told apart from those that do', async (t) => {
  const fixture = DispatcherFixture.create([['a']])
  const gone = FakeRunner.create('gone', engine, fixture.clock, ['a'])
  fixture.table.upsert(gone.entry())
  await fixture.clock.advance(2_000)
  t.same([...fixture.reporting], ['r0'])
  t.same([...fixture.silent], ['gone'])
  fixture.dispatcher.stop()
})

t.test('while two versions serve, a model in demand gets a second copy at the version of its first', async (t) => {
  const fixture = DispatcherFixture.create([['a', 'b'], ['c', 'd'], ['b', 'e']])
  for (const [index, runner] of fixture.runners.entries()) runner.softwareVersion = index < 2 ? 'v1' : 'v2'
  fixture.addDemand('a', 5)
  const holders = () => fixture.runners.filter(({ models }) => models.some(({ name }) => name === 'a')).map(({ id }) => id)
  await fixture.clock.advance(10_000)
  t.same(holders(), ['r0'])
  fixture.isMixed = true
  await fixture.clock.advance(10_000)
  t.same(holders(), ['r0', 'r1'])
})
