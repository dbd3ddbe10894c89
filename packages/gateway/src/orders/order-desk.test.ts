import t from 'tap'
import fc from 'fast-check'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { ConfigState } from '../config/config-state.js'
import type { EngineSpec } from '../config/types.js'
import type { DemandRate } from '../members/types.js'
import { RunnerTable } from '../runners/runner-table.js'
import { Fate, FakeRunner, FakeRunnerOrders } from '../testing/fake-runner.js'
import { OrderDesk } from './order-desk.js'

const MODELS = ['a', 'b', 'c', 'd', 'e']
const engine: EngineSpec = {
  slots: 8,
  memoryTokens: 1,
  weightsMb: 150,
  adapterSlots: 2,
  loadsPerS: 2,
  models: new Map(MODELS.map((name) => [name, { name, sizeMb: 70, loadMs: 2_000, diskLoadMs: 500, adapters: ['x', 'y', 'z'], adapterSizeMb: 3 }]))
}

class Desk {
  readonly clock = ManualClock.create()
  readonly runners: FakeRunner[]
  readonly table = RunnerTable.create()
  readonly desk: OrderDesk
  demand: DemandRate[] = []
  token: number | undefined = 1
  takesOrders = true

  private constructor (held: string[][], fate: () => Fate) {
    this.runners = held.map((models, index) => FakeRunner.create(`r${index}`, engine, this.clock, models))
    const config = ConfigState.create()
    config.adopt({
      version: 1,
      routes: [],
      services: new Map([['engine', { name: 'engine', maxConnections: 10, engine }]]),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    })
    this.desk = OrderDesk.create({
      clock: this.clock,
      log: silentLogger,
      config,
      runners: this.table,
      orders: FakeRunnerOrders.create(this.runners, this.clock, fate),
      host: 'host',
      orderToken: () => this.token,
      onOrder: () => {},
      demand: () => this.demand,
      limitPerS: () => undefined,
      takesOrders: () => this.takesOrders
    })
    this.#list()
    this.desk.start()
  }

  static create (held: string[][], fate: () => Fate = () => Fate.Carried): Desk {
    return new Desk(held, fate)
  }

  ask (model: string, requestsPerS: number): void {
    this.demand = [...this.demand, { service: 'engine', model, requestsPerS, slowRequestsPerS: requestsPerS, holdMs: 1_000 }]
  }

  isResident (model: string): boolean {
    return this.runners.some(({ models }) => models.some(({ name }) => name === model))
  }

  /** Entries lag behind the runners by a heartbeat. */
  #list (): void {
    for (const runner of this.runners) this.table.upsert(runner.entry())
    this.clock.setTimer(1_000, () => this.#list())
  }
}

t.test('a runner that wants a pause is given no order until its end', async (t) => {
  const desk = Desk.create([['a', 'b']])
  desk.ask('e', 5)
  desk.takesOrders = false
  await desk.clock.advance(6_000)
  t.notOk(desk.isResident('e'))
  t.same(await desk.desk.ensureAdapter({ runnerId: 'r0', model: 'a', adapter: 'x' }), { accepted: false, readyInMs: 0 })
  t.equal(desk.runners[0]?.orders.length, 0)
  desk.takesOrders = true
  await desk.clock.advance(10_000)
  t.ok(desk.isResident('e'))
})

t.test('a model that is asked for becomes resident', async (t) => {
  const desk = Desk.create([['a', 'b'], ['a', 'c']])
  desk.ask('d', 1)
  await desk.clock.advance(8_000)
  t.ok(desk.isResident('d'))
})

t.test('without the lease no order is given', async (t) => {
  const desk = Desk.create([['a', 'b']])
  desk.token = undefined
  desk.ask('d', 1)
  await desk.clock.advance(5_000)
  t.same(await desk.desk.ensureAdapter({ runnerId: 'r0', model: 'a', adapter: 'x' }), { accepted: false, readyInMs: 0 })
  t.equal(desk.runners[0]?.orders.length, 0)
})

t.test('an adapter takes the place of the one unused for longest', async (t) => {
  const desk = Desk.create([['a']])
  await desk.clock.advance(6_000)
  t.equal(desk.runners[0]?.models[0]?.adapters.length, 2)
  const missing = ['x', 'y', 'z'].find((name) => desk.runners[0]?.models[0]?.adapters.includes(name) === false) ?? ''
  const reply = await desk.desk.ensureAdapter({ runnerId: 'r0', model: 'a', adapter: missing })
  t.ok(reply.accepted)
  t.ok(desk.runners[0]?.models[0]?.adapters.includes(missing))
  t.notOk(desk.runners[0]?.overfull)
})

t.test('whatever is lost or late, no runner is ordered to hold more than it can', async (t) => {
  const fates = fc.array(fc.constantFrom(Fate.Carried, Fate.Carried, Fate.AnswerLost, Fate.Late), { minLength: 5, maxLength: 40 })
  const steps = fc.array(fc.record({ model: fc.constantFrom(...MODELS), adapter: fc.constantFrom('x', 'y', 'z'), waitMs: fc.integer({ min: 50, max: 3_000 }) }), { minLength: 3, maxLength: 12 })
  await fc.assert(fc.asyncProperty(fates, steps, async (fates, steps) => {
    let next = 0
    const desk = Desk.create([['a', 'b'], ['c']], () => fates[next++ % fates.length] ?? Fate.Carried)
    for (const { model, adapter, waitMs } of steps) {
      desk.demand = []
      desk.ask(model, 20)
      desk.desk.ensureAdapter({ runnerId: 'r0', model, adapter }).catch(() => {})
      await desk.clock.advance(waitMs)
    }
    desk.desk.stop()
    return desk.runners.every(({ overfull }) => !overfull)
  }), { numRuns: 60, seed: 7 })
})

t.test('loads from the store keep to its rate', async (t) => {
  const desk = Desk.create(Array.from({ length: 12 }, () => []))
  for (const model of MODELS) desk.ask(model, 30)
  await desk.clock.advance(5_000)
  const loads = desk.runners.flatMap(({ orders }) => orders).filter(({ adapter }) => adapter === undefined)
  t.ok(loads.length <= 2 * 5 + 2)
  t.ok(loads.length >= 4)
})
