/** Accelerator memory is never overcommitted, under single failures and under two at once. */
import t from 'tap'
import { OrderAction } from '@figloom/tables'
import { createCellBench, modelOf, stepOf, type BenchHost, type BenchOptions, type CellBench } from './testing/cell-bench.js'

const SETTLED_MS = 8_000
const TAKEOVER_MS = 25_000

/** Two hosts, one runner of 100 MiB, models of 80 MiB: two of them never fit together. */
function createBench (options: Partial<BenchOptions> & { checksFencing?: boolean } = {}): CellBench {
  const { checksFencing = true, ...rest } = options
  return createCellBench({
    hosts: ['host-a', 'host-b'],
    runners: [{ name: 'r1', checksFencing }],
    models: [modelOf('m'), modelOf('n'), modelOf('s', 10, 5)],
    routed: [],
    ...rest
  })
}

/** The same with models of 40 MiB and 50 MiB already in use: only one of them fits. */
function createHalfFullBench (checksFencing: boolean): CellBench {
  const bench = createBench({ checksFencing, models: [modelOf('m', 30, 10), modelOf('n', 30, 10)] })
  bench.engines.get('r1').addCopy('x', 40, 10)
  return bench
}

/** Freezes the holder between the read-back of the next intent and its order. */
async function freezeAtOrder (bench: CellBench): Promise<BenchHost> {
  await bench.advance(2_000)
  const host = bench.holder()
  host.engines.freezeBefore = () => true
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(4_000)
  host.engines.freezeBefore = () => false
  return host
}

function thaw (host: BenchHost): void {
  host.gate.thaw()
}

function peakOf (bench: CellBench): number {
  return bench.engines.get('r1').peakMiB
}

function unsettledCount (bench: CellBench): number {
  return bench.holder().holder.view?.unsettled.length ?? -1
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks fences' : 'ignores fences'

  t.test(`holder frozen before its order, engine ${kind}`, async (t) => {
    const bench = createHalfFullBench(checksFencing)
    const frozen = await freezeAtOrder(bench)
    bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'n')]
    await bench.advance(TAKEOVER_MS)
    t.not(bench.holder().name, frozen.name)
    t.equal(bench.engines.get('r1').holds('n'), checksFencing, 'memory is reused only once a fence has ruled out the first load')
    thaw(frozen)
    await bench.advance(TAKEOVER_MS)
    t.ok(peakOf(bench) <= 100, `peak ${peakOf(bench)} MiB`)
    t.notOk(bench.engines.get('r1').holds('m') && bench.engines.get('r1').holds('n'))
    await bench.stop()
  })

  t.test(`order delayed past a takeover, engine ${kind}`, async (t) => {
    const bench = createHalfFullBench(checksFencing)
    await bench.advance(2_000)
    bench.engines.fail('r1', { kind: 'delay', delayMs: 2 * TAKEOVER_MS })
    bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
    await bench.advance(1_000)
    bench.holder().gate.kill()
    bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'n')]
    await bench.advance(TAKEOVER_MS)
    t.equal(bench.engines.get('r1').holds('n'), checksFencing)
    await bench.advance(2 * TAKEOVER_MS)
    t.ok(peakOf(bench) <= 100, `peak ${peakOf(bench)} MiB`)
    t.equal(bench.engines.get('r1').holds('m'), !checksFencing, 'the delayed order arrived')
    await bench.stop()
  })

  t.test(`answer to an unload lost, engine ${kind}`, async (t) => {
    const bench = createBench({ checksFencing })
    bench.engines.get('r1').addCopy('m', 60, 20)
    await bench.advance(2_000)
    bench.engines.fail('r1', { kind: 'delay', delayMs: 12_000 })
    bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm')]
    await bench.advance(1_000)
    bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'n')]
    await bench.advance(SETTLED_MS)
    t.ok(bench.engines.get('r1').holds('m'))
    t.notOk(bench.engines.get('r1').holds('n'), 'the memory is not free until the unload is confirmed')
    await bench.advance(TAKEOVER_MS)
    t.ok(peakOf(bench) <= 100, `peak ${peakOf(bench)} MiB`)
    t.equal(bench.engines.get('r1').holds('n'), !checksFencing, 'free once a report shows that the late unload took effect')
    await bench.stop()
  })

  t.test(`engine replaced after a takeover, then the former holder resumes, engine ${kind}`, async (t) => {
    const bench = createBench({ checksFencing })
    const frozen = await freezeAtOrder(bench)
    bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 's')]
    await bench.advance(TAKEOVER_MS)
    bench.engines.fail('r1', { kind: 'delay', delayMs: 100 })
    bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'n')]
    bench.engines.get('r1').replaceProcess()
    thaw(frozen)
    await bench.advance(TAKEOVER_MS)
    t.ok(peakOf(bench) <= 100, `peak ${peakOf(bench)} MiB`)
    await bench.stop()
  })
}

t.test('fence of a replaced engine is raised before another load is sent', async (t) => {
  const bench = createBench()
  const frozen = await freezeAtOrder(bench)
  await bench.advance(TAKEOVER_MS)
  const other = bench.holder()
  t.not(other.name, frozen.name)
  bench.engines.get('r1').replaceProcess()
  bench.planner.steps = []
  const before = bench.engines.get('r1').applied.length
  await bench.advance(SETTLED_MS)
  const [first] = bench.engines.get('r1').applied.slice(before)
  t.equal(first?.action, 'set-role', 'an order that adds nothing comes first')
  t.ok((first?.fence ?? 0) > 0)
  t.equal(bench.engines.get('r1').usedMiB, 0)
  await bench.stop()
})

t.test('both versions count as allocated during a version change', async (t) => {
  const bench = createBench({ models: [modelOf('m'), modelOf('m', 60, 20, '2'), modelOf('k', 30, 10), modelOf('k', 30, 10, '2')], routed: ['k'] })
  bench.engines.get('r1').addCopy('m', 60, 20)
  await bench.advance(2_000)
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm', '2')]
  await bench.advance(SETTLED_MS)
  t.equal(bench.engines.get('r1').usedMiB, 80, 'the second version does not fit beside the first')
  bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm'), stepOf(OrderAction.Load, 'r1', 'm', '2')]
  await bench.advance(SETTLED_MS)
  t.match(bench.engines.get('r1').report().copies, [{ model: 'm', version: '2', state: 'resident' }])
  t.ok(peakOf(bench) <= 100)
  await bench.stop()
})

t.test('pool removed while a load is in progress', async (t) => {
  const bench = createBench({ runners: [{ name: 'r1', loadMs: 6_000 }] })
  await bench.advance(2_000)
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(2_000)
  bench.planner.steps = []
  bench.configure({ runners: [], models: [], routed: [] })
  await bench.advance(1_000)
  for (const { holder } of bench.hosts) t.same(holder.view?.retiring, ['r1'], 'may still hold memory')
  const dead = bench.holder()
  dead.gate.kill()
  await bench.advance(TAKEOVER_MS)
  t.equal(bench.engines.get('r1').usedMiB, 0, 'the successor unloads it')
  t.same(bench.holder().holder.view?.retiring, ['r1'], 'the dead sender could still load')
  bench.holder().holder.post({ type: 'sender-gone', sender: dead.sender, evidence: 'operator' })
  await bench.advance(SETTLED_MS)
  t.same(bench.holder().holder.view?.retiring, [])
  await bench.stop()
})

t.test('lost answer, takeover and engine replaced together', async (t) => {
  const bench = createBench({ checksFencing: false })
  await bench.advance(2_000)
  bench.engines.fail('r1', { kind: 'delay', delayMs: 1_500 })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(1_000)
  const dead = bench.holder()
  dead.gate.kill()
  bench.engines.get('r1').replaceProcess()
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'n')]
  await bench.advance(TAKEOVER_MS)
  t.notOk(bench.engines.get('r1').holds('n'), 'the sender is not recorded as ended')
  bench.holder().holder.post({ type: 'sender-gone', sender: dead.sender, evidence: 'host-restarted' })
  await bench.advance(SETTLED_MS)
  t.notOk(bench.engines.get('r1').holds('n'), 'the process that the lost order may still reach is still running')
  bench.engines.get('r1').replaceProcess()
  await bench.advance(SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('n'))
  t.ok(peakOf(bench) <= 100)
  await bench.stop()
})

t.test('memory of a load with unknown outcome is used by a second load of the same model', async (t) => {
  const bench = createBench({ checksFencing: false })
  await bench.advance(2_000)
  bench.engines.fail('r1', { kind: 'lose' })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(2 * SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'), 'loaded by a second order')
  t.match(bench.holder().holder.view?.runners[0]?.copies, [{ model: 'm', unsettled: false }])
  t.equal(unsettledCount(bench), 1, 'the first one stays unsettled')
  await bench.stop()
})

t.test('order that the engine lists as recent is settled although the engine ignores fences', async (t) => {
  const bench = createBench({ runners: [{ name: 'r1', checksFencing: false, listsOrders: true }] })
  await bench.advance(2_000)
  bench.engines.fail('r1', { kind: 'lose-answer' })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(2 * SETTLED_MS)
  t.ok(bench.engines.get('r1').holds('m'))
  t.equal(unsettledCount(bench), 0)
  await bench.stop()
})

t.test('retired host leaves no order unsettled', async (t) => {
  const bench = createBench({ checksFencing: false })
  await bench.advance(2_000)
  bench.engines.fail('r1', { kind: 'lose' })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(1_000)
  bench.planner.steps = []
  const retiringHost = bench.holder()
  let retired = false
  retiringHost.holder.post({ type: 'retire', onRetired: () => { retired = true } })
  await bench.advance(SETTLED_MS)
  t.ok(retired)
  t.not(bench.holder().name, retiringHost.name)
  t.ok(bench.holder().holder.state?.goneIncarnations.includes(retiringHost.sender.incarnation))
  await bench.advance(SETTLED_MS)
  bench.engines.get('r1').replaceProcess()
  await bench.advance(2 * SETTLED_MS)
  t.equal(unsettledCount(bench), 0)
  await bench.stop()
})

t.test('duplicate delivery of a load is rejected by the fence', async (t) => {
  const bench = createBench()
  await bench.advance(2_000)
  bench.engines.fail('r1', { kind: 'duplicate', delayMs: TAKEOVER_MS })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(SETTLED_MS)
  bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm'), stepOf(OrderAction.Load, 'r1', 'n')]
  await bench.advance(2 * TAKEOVER_MS)
  t.ok(bench.engines.get('r1').holds('n'))
  t.ok(peakOf(bench) <= 100, `peak ${peakOf(bench)} MiB`)
  await bench.stop()
})

t.test('report from before the claim is ignored', async (t) => {
  const bench = createBench()
  await bench.advance(2_000)
  const former = bench.holder()
  const other = bench.hosts.find((host) => host !== former)
  other?.holder.post({ type: 'report', runner: 'r1', report: bench.engines.get('r1').report(), requestedMs: bench.clock.monotonicMs() })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(4_000)
  former.gate.kill()
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'n')]
  other?.holder.post({ type: 'suspect', host: former.name, suspected: true })
  await bench.advance(SETTLED_MS)
  t.equal(bench.holder(), other)
  t.ok(peakOf(bench) <= 100, `peak ${peakOf(bench)} MiB`)
  await bench.stop()
})

t.test('queued order of a lost lease is withdrawn', async (t) => {
  const bench = createBench({ checksFencing: false })
  await bench.advance(2_000)
  const former = bench.holder()
  bench.engines.fail('r1', { kind: 'delay', delayMs: 2_500 })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 's')]
  await bench.advance(400)
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(400)
  t.equal(unsettledCount(bench), 2)
  bench.planner.steps = []
  for (const { holder } of bench.hosts) holder.post({ type: 'suspect', host: former.name, suspected: true })
  await bench.advance(SETTLED_MS)
  t.not(bench.holder(), former)
  t.notOk(bench.engines.get('r1').holds('m'))
  t.notOk(bench.holder().holder.view?.unsettled.some(({ order }) => order.model === 'm'))
  await bench.stop()
})

t.test('each order is sent at most once', async (t) => {
  const bench = createBench({ checksFencing: false })
  await bench.advance(2_000)
  const sent: string[] = []
  for (const { engines } of bench.hosts) {
    engines.freezeBefore = ({ orderId }) => {
      sent.push(orderId)
      return false
    }
  }
  bench.engines.fail('r1', { kind: 'lose' }, { kind: 'lose-answer' }, { kind: 'delay', delayMs: 6_000 })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(TAKEOVER_MS)
  t.ok(sent.length >= 2)
  t.equal(new Set(sent).size, sent.length)
  await bench.stop()
})

t.test('former holder reports that its order was answered, and the order is settled', async (t) => {
  const bench = createBench({ runners: [{ name: 'r1', checksFencing: false, loadMs: 6_000 }] })
  await bench.advance(2_000)
  const former = bench.holder()
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(1_000)
  bench.planner.steps = []
  for (const { holder } of bench.hosts) holder.post({ type: 'suspect', host: former.name, suspected: true })
  await bench.advance(2 * SETTLED_MS)
  t.not(bench.holder(), former)
  t.equal(unsettledCount(bench), 0)
  await bench.stop()
})
