/** A cell's stream: retention, snapshots, log outages, retried appends, and the appends of an idle cell. */
import t from 'tap'
import { OrderAction } from '@figloom/tables'
import { cellStreamOf } from './holder-options.js'
import { createCellBench, modelOf, stepOf, type BenchOptions, type CellBench } from './testing/cell-bench.js'

const SETTLED_MS = 8_000
const STREAM = cellStreamOf('drafting')

function createBench (options: Partial<BenchOptions> = {}): CellBench {
  return createCellBench({ hosts: ['host-a', 'host-b'], runners: [{ name: 'r1' }], models: [modelOf('m')], routed: [], ...options })
}

t.test('idle cell appends only lease renewals', async (t) => {
  const bench = createBench({ hosts: ['host-a', 'host-b', 'host-c'] })
  await bench.advance(30_000)
  const before = bench.log.appendCount
  await bench.advance(240_000)
  t.ok(bench.log.appendCount - before <= 31, `${bench.log.appendCount - before} appends in 240 s`)
  t.ok(bench.log.appendCount - before >= 28)
  await bench.stop()
})

t.test('one host claims when all start together', async (t) => {
  const bench = createBench({ hosts: ['host-a', 'host-b', 'host-c', 'host-d'] })
  await bench.advance(3_000)
  const page = await bench.log.read(STREAM, { from: 1 })
  t.equal(page._unsafeUnwrap().records.filter(({ body }) => (body as { kind: string }).kind === 'claim').length, 1)
  await bench.stop()
})

t.test('one host claims when the holder dies', async (t) => {
  const bench = createBench({ hosts: ['host-a', 'host-b', 'host-c', 'host-d'] })
  await bench.advance(SETTLED_MS)
  bench.holder().gate.kill()
  await bench.advance(30_000)
  const page = await bench.log.read(STREAM, { from: 1 })
  t.equal(page._unsafeUnwrap().records.filter(({ body }) => (body as { kind: string }).kind === 'claim').length, 2)
  await bench.stop()
})

t.test('holder regains its lease after a log outage', async (t) => {
  const bench = createBench()
  await bench.advance(SETTLED_MS)
  const before = bench.holder()
  bench.log.faults.down = true
  await bench.advance(120_000)
  t.notOk(before.holder.view?.isHolder)
  t.notOk(before.holder.view?.logReachable)
  bench.log.faults.down = false
  await bench.advance(SETTLED_MS)
  t.equal(bench.holder(), before)
  await bench.stop()
})

t.test('append whose answer is lost takes effect once', async (t) => {
  const bench = createBench()
  await bench.advance(2_000)
  bench.log.faults.loseAnswers = 4
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(2 * SETTLED_MS)
  t.equal(bench.engines.get('r1').applied.filter(({ action }) => action === 'load').length, 1)
  t.equal(bench.holder().holder.view?.unsettled.length, 0)
  await bench.stop()
})

t.test('new host starts from a snapshot when the log has dropped older records', async (t) => {
  const bench = createBench({ retentionMs: 60_000, holder: { times: { snapshotEveryMs: 20_000 } } })
  bench.engines.fail('r1', { kind: 'lose' })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(2_000)
  bench.planner.steps = []
  await bench.advance(200_000)
  const fresh = bench.start('host-c')
  await bench.advance(SETTLED_MS)
  t.same(fresh.holder.state, bench.holder().holder.state)
  t.equal(fresh.holder.view?.runners.length, 1)
  await bench.stop()
})

t.test('host that lags behind retention catches up and never goes back to an earlier state', async (t) => {
  const bench = createBench({ retentionMs: 60_000, holder: { times: { snapshotEveryMs: 20_000 } } })
  await bench.advance(SETTLED_MS)
  const behind = bench.hosts.find((host) => host !== bench.holder())
  behind?.gate.freeze()
  const stale = behind?.holder.state
  await bench.advance(200_000)
  behind?.gate.thaw()
  await bench.advance(SETTLED_MS)
  t.same(behind?.holder.state, bench.holder().holder.state)
  if (stale !== undefined) bench.holder().holder.post({ type: 'peer-snapshot', state: stale })
  await bench.advance(1_000)
  t.ok((bench.holder().holder.state?.offset ?? 0) > (stale?.offset ?? Infinity))
  await bench.stop()
})

t.test('outage longer than retention loses no state that a live host has', async (t) => {
  const bench = createBench({ retentionMs: 60_000, runners: [{ name: 'r1', checksFencing: false }] })
  await bench.advance(2_000)
  bench.engines.fail('r1', { kind: 'lose' })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(1_000)
  bench.planner.steps = []
  await bench.advance(SETTLED_MS)
  bench.log.faults.down = true
  await bench.advance(180_000)
  bench.log.faults.down = false
  await bench.advance(SETTLED_MS)
  t.equal(bench.holder().holder.view?.unsettled.length, 1, 'the order with unknown outcome is still unsettled')
  bench.hosts.find((host) => host === bench.holder())?.gate.kill()
  await bench.advance(30_000)
  const fresh = bench.start('host-c')
  await bench.advance(SETTLED_MS)
  t.equal(fresh.holder.view?.unsettled.length, 1, 'a new host reads it from the new holder\'s snapshot')
  await bench.stop()
})

t.test('host without a complete state does not claim', async (t) => {
  const bench = createBench({ hosts: [], retentionMs: 10_000 })
  await bench.log.append(STREAM, 'old', { kind: 'claim', sender: { host: 'host-x', incarnation: 'x' }, succeeds: 0, leaseMs: 1_000 })
  await bench.advance(60_000)
  await bench.log.append(STREAM, 'new', { kind: 'renew', claim: 1 })
  const fresh = bench.start('host-a')
  await bench.advance(60_000)
  t.equal(fresh.holder.view, undefined)
  await bench.stop()
})

t.test('peer provides the state that the log no longer has', async (t) => {
  const bench = createBench({ retentionMs: 30_000 })
  await bench.advance(100_000)
  const holder = bench.holder()
  const fresh = bench.start('host-c')
  await bench.advance(2_000)
  const state = holder.holder.state
  if (state !== undefined) fresh.holder.post({ type: 'peer-snapshot', state })
  await bench.advance(12_000)
  t.same(fresh.holder.state, holder.holder.state)
  await bench.stop()
})

t.test('loads start at the rate that the share of the cell allows', async (t) => {
  const runners = ['r1', 'r2', 'r3'].map((name) => ({ name }))
  const bench = createBench({ runners })
  bench.configure({ share: { loadStartEveryMs: 3_000, concurrentLoads: 8, concurrentAdapters: 8 } })
  bench.planner.steps = runners.map(({ name }) => stepOf(OrderAction.Load, name, 'm'))
  await bench.advance(5_500)
  t.equal(runners.filter(({ name }) => bench.engines.get(name).usedMiB > 0).length, 1)
  await bench.advance(3_000)
  t.equal(runners.filter(({ name }) => bench.engines.get(name).usedMiB > 0).length, 2)
  await bench.stop()
})

t.test('concurrent loads stay within the share', async (t) => {
  const runners = ['r1', 'r2', 'r3'].map((name) => ({ name, loadMs: 4_000 }))
  const bench = createBench({ runners })
  bench.configure({ share: { loadStartEveryMs: 0, concurrentLoads: 1, concurrentAdapters: 8 } })
  bench.planner.steps = runners.map(({ name }) => stepOf(OrderAction.Load, name, 'm'))
  await bench.advance(4_000)
  t.equal(runners.filter(({ name }) => bench.engines.get(name).usedMiB > 0).length, 1)
  await bench.advance(20_000)
  t.equal(runners.filter(({ name }) => bench.engines.get(name).holds('m')).length, 3)
  await bench.stop()
})
