/** Every routed model stays reachable when runners, hosts or the log fail and when the tables change. */
import t from 'tap'
import { OrderAction, type CellStep } from '@figloom/tables'
import { createCellBench, modelOf, stepOf, type BenchOptions, type CellBench } from './testing/cell-bench.js'
import { Planner, type CellView } from './types.js'

const SETTLED_MS = 8_000
const TAKEOVER_MS = 25_000

/** Plans one copy of each model, on the first healthy runner with enough free memory. */
class OneCopyPlanner extends Planner {
  constructor (private readonly models: string[]) {
    super()
  }

  override plan (view: CellView): CellStep[] {
    return this.models.flatMap((model) => {
      const healthy = view.runners.filter((runner) => runner.healthy && !runner.draining)
      if (healthy.some(({ copies }) => copies.some((copy) => copy.model === model))) return []
      const roomy = healthy.find(({ freeMiB }) => freeMiB >= 80)
      return roomy === undefined ? [] : [stepOf(OrderAction.Load, roomy.name, model)]
    })
  }
}

function createBench (options: Partial<BenchOptions> = {}): CellBench {
  return createCellBench({
    hosts: ['host-a', 'host-b'],
    runners: [{ name: 'r1' }, { name: 'r2' }],
    models: [modelOf('m')],
    ...options
  })
}

function failRunner (bench: CellBench, name: string): void {
  bench.engines.get(name).alive = false
  for (const { holder } of bench.hosts) holder.post({ type: 'health', runner: name, healthy: false })
}

t.test('runner dies with the only copy', async (t) => {
  const bench = createBench({ holder: { planner: new OneCopyPlanner(['m']) } })
  await bench.advance(SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  failRunner(bench, 'r1')
  await bench.advance(SETTLED_MS)
  t.ok(bench.engines.get('r2').holds('m'))
  for (const { holder } of bench.hosts) {
    const copies = holder.view?.runners.find(({ name }) => name === 'r2')?.copies
    t.match(copies, [{ model: 'm', state: 'resident', unsettled: false }])
  }
  await bench.stop()
})

t.test('last copy is not unloaded', async (t) => {
  const bench = createBench()
  bench.engines.get('r1').addCopy('m', 60, 20)
  await bench.advance(2_000)
  bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm')]
  await bench.advance(SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  bench.planner.steps = [stepOf(OrderAction.Load, 'r2', 'm'), stepOf(OrderAction.Unload, 'r1', 'm')]
  await bench.advance(2 * SETTLED_MS)
  t.notOk(bench.engines.get('r1').holds('m'))
  t.ok(bench.engines.get('r2').holds('m'))
  await bench.stop()
})

for (const checksFencing of [true, false]) {
  t.test(`copy with an unsettled unload does not count as the remaining one, engine ${checksFencing ? 'checks' : 'ignores'} fences`, async (t) => {
    const bench = createBench({ runners: [{ name: 'r1', checksFencing }, { name: 'r2', checksFencing }] })
    for (const name of ['r1', 'r2']) bench.engines.get(name).addCopy('m', 60, 20)
    await bench.advance(2_000)
    bench.engines.fail('r1', { kind: 'delay', delayMs: TAKEOVER_MS })
    bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm')]
    await bench.advance(1_000)
    bench.planner.steps = [stepOf(OrderAction.Unload, 'r2', 'm')]
    await bench.advance(2 * TAKEOVER_MS)
    t.ok(bench.engines.get('r1').holds('m') || bench.engines.get('r2').holds('m'))
    t.equal(bench.engines.get('r2').holds('m'), !checksFencing, 'only the fence settles the first unload; elapsed time does not')
    await bench.stop()
  })
}

t.test('restarted engine without the copy does not count', async (t) => {
  const bench = createBench()
  for (const name of ['r1', 'r2']) bench.engines.get(name).addCopy('m', 60, 20)
  await bench.advance(4_000)
  bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm')]
  bench.engines.get('r2').replaceProcess()
  await bench.advance(2 * SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  await bench.stop()
})

t.test('runner dies during a long log outage', async (t) => {
  const bench = createBench({ holder: { standbyLimit: 2 } })
  bench.engines.get('r1').addCopy('m', 60, 20)
  await bench.advance(SETTLED_MS)
  t.match(bench.holder().holder.view?.unsettled, [{ standby: true, order: { runner: 'r2', model: 'm' } }])
  t.notOk(bench.engines.get('r2').holds('m'), 'the standby load is not sent yet')
  const former = bench.holder()
  bench.log.faults.down = true
  await bench.advance(60_000)
  t.notOk(bench.engines.get('r2').holds('m'), 'the standby load is not sent while the model has a runner')
  failRunner(bench, 'r1')
  await bench.advance(SETTLED_MS)
  t.ok(bench.engines.get('r2').holds('m'))
  t.match(former.holder.view?.runners.find(({ name }) => name === 'r2')?.copies, [{ model: 'm', state: 'resident' }])
  bench.log.faults.down = false
  await bench.advance(TAKEOVER_MS)
  t.equal(bench.engines.get('r2').usedMiB, 80)
  t.equal(bench.holder().holder.view?.unsettled.length, 0)
  await bench.stop()
})

t.test('standby intent is withdrawn for a planned load', async (t) => {
  const bench = createBench({ models: [modelOf('m'), modelOf('n')], routed: ['m'], holder: { standbyLimit: 2 } })
  bench.engines.get('r1').addCopy('m', 60, 20)
  await bench.advance(SETTLED_MS)
  t.equal(bench.holder().holder.view?.unsettled.length, 1)
  t.equal(bench.holder().holder.view?.runners[1]?.freeMiB, 100, 'memory of a standby intent counts as free')
  bench.planner.steps = [stepOf(OrderAction.Load, 'r2', 'n')]
  await bench.advance(SETTLED_MS)
  t.ok(bench.engines.get('r2').holds('n'))
  t.ok(bench.engines.get('r2').peakMiB <= 100)
  await bench.stop()
})

t.test('holder dies and another takes over', async (t) => {
  const bench = createBench({ holder: { planner: new OneCopyPlanner(['m']) } })
  await bench.advance(SETTLED_MS)
  const dead = bench.holder()
  dead.gate.kill()
  failRunner(bench, 'r1')
  await bench.advance(TAKEOVER_MS)
  t.not(bench.holder().name, dead.name)
  t.ok(bench.engines.get('r2').holds('m'))
  await bench.stop()
})

t.test('suspected holder is succeeded within 2.5 seconds', async (t) => {
  const bench = createBench({ hosts: ['host-a', 'host-b', 'host-c'] })
  await bench.advance(SETTLED_MS)
  const dead = bench.holder()
  dead.gate.kill()
  for (const { holder } of bench.hosts) holder.post({ type: 'suspect', host: dead.name, suspected: true })
  await bench.advance(2_500)
  t.not(bench.holder().name, dead.name)
  await bench.stop()
})

t.test('model removed and routed again before its unload is sent', async (t) => {
  const bench = createBench()
  bench.engines.get('r1').addCopy('m', 60, 20)
  await bench.advance(3_000)
  const routed = bench.config.routed
  bench.configure({ routed: [] })
  bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm')]
  bench.log.faults.delayMs = 1_000
  await bench.advance(600)
  bench.configure({ routed })
  bench.planner.steps = []
  await bench.advance(2 * SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  t.equal(bench.holder().holder.view?.unsettled.length, 0, 'withdrawn')
  await bench.stop()
})

t.test('model routed again while its unload is in progress is loaded again', async (t) => {
  const bench = createBench({ holder: { planner: new OneCopyPlanner(['m']) }, runners: [{ name: 'r1', unloadMs: 4_000 }] })
  bench.engines.get('r1').addCopy('m', 60, 20)
  await bench.advance(3_000)
  const { routed, runners } = bench.config
  bench.configure({ routed: [], runners: [] })
  await bench.advance(3_000)
  t.notOk(bench.engines.get('r1').holds('m'))
  bench.configure({ routed, runners })
  await bench.advance(2 * SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  t.ok(bench.engines.get('r1').peakMiB <= 80)
  await bench.stop()
})

t.test('runner removed from the tables keeps its copy until another runner has one', async (t) => {
  const bench = createBench()
  bench.engines.get('r1').addCopy('m', 60, 20)
  await bench.advance(2_000)
  bench.configure({ runners: bench.allRunners.filter(({ name }) => name !== 'r1') })
  await bench.advance(SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  bench.planner.steps = [stepOf(OrderAction.Load, 'r2', 'm')]
  await bench.advance(2 * SETTLED_MS)
  t.ok(bench.engines.get('r2').holds('m'))
  t.equal(bench.engines.get('r1').usedMiB, 0)
  t.same(bench.holder().holder.view?.retiring, [])
  await bench.stop()
})

/** Returns its steps in one of `period` calls, as a planner that plans less often than the task ticks. */
class PeriodicPlanner extends Planner {
  #calls = 0

  constructor (private readonly period: number, private readonly steps: () => CellStep[]) {
    super()
  }

  override plan (): CellStep[] {
    this.#calls += 1
    return this.#calls % this.period === 0 ? this.steps() : []
  }
}

for (const period of [4, 32]) {
  t.test(`standby intent is withdrawn for a planner that plans every ${period} ticks`, async (t) => {
    let steps: CellStep[] = []
    const planner = new PeriodicPlanner(period, () => steps)
    const bench = createBench({ models: [modelOf('m'), modelOf('n')], routed: ['m'], holder: { standbyLimit: 2, planner } })
    bench.engines.get('r1').addCopy('m', 60, 20)
    await bench.advance(2 * SETTLED_MS)
    t.equal(bench.holder().holder.view?.unsettled.length, 1)
    steps = [stepOf(OrderAction.Load, 'r2', 'n')]
    await bench.advance(2 * SETTLED_MS)
    t.ok(bench.engines.get('r2').holds('n'))
    await bench.stop()
  })
}

t.test('model routed again while its unload waits in the queue', async (t) => {
  const bench = createBench({ models: [modelOf('m', 40, 10), modelOf('s', 10, 5)], runners: [{ name: 'r1' }] })
  bench.engines.get('r1').addCopy('m', 40, 10)
  await bench.advance(3_000)
  const routed = bench.config.routed
  bench.configure({ routed: [] })
  bench.engines.fail('r1', { kind: 'delay', delayMs: 2_500 })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 's')]
  await bench.advance(400)
  bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm')]
  await bench.advance(600)
  t.equal(bench.holder().holder.view?.unsettled.length, 2)
  bench.configure({ routed })
  bench.planner.steps = []
  await bench.advance(2 * SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  await bench.stop()
})
