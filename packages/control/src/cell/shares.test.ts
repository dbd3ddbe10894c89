import t from 'tap'
import fc from 'fast-check'
import type { Pool, Runner, Tables } from '@figloom/tables'
import { cellConfigOf, splitByWeight, storeShareOf } from './shares.js'
import { modelOf } from './testing/cell-bench.js'

const limits = { loadStartsPerSecond: 2, concurrentLoads: 24, concurrentAdapters: 190 }

function runnersOf (pool: string, count: number): Runner[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${pool}-${index}`, availabilityZone: 'porto-a', url: 'http://127.0.0.1:1', accelerators: 1, memoryMiB: 100, checksFencing: true
  }))
}

function poolOf (name: string, count: number, models = [modelOf('m')]): Pool {
  return { name, region: 'pt-norte', moveWeight: 0, runners: runnersOf(name, count), models }
}

t.test('parts never exceed the total', async (t) => {
  fc.assert(fc.property(fc.nat(300), fc.array(fc.nat(40), { maxLength: 20 }), (total, weights) => {
    const parts = splitByWeight(total, weights.map((weight, index) => ({ name: `cell-${index}`, weight })))
    const sum = [...parts.values()].reduce((partial, part) => partial + part, 0)
    t.ok(sum <= total)
    if (weights.some((weight) => weight > 0)) t.equal(sum, total)
  }), { seed: 20_263, numRuns: 1_000 })
})

t.test('shares of all cells stay within the limits', async (t) => {
  const tables: Tables = { routes: [], pools: [poolOf('a', 13), poolOf('b', 5), poolOf('c', 1), poolOf('booking', 3, [])] }
  const shares = tables.pools.map(({ name }) => storeShareOf(tables, name, limits))
  t.ok(shares.reduce((sum, { loadStartEveryMs }) => sum + 1_000 / loadStartEveryMs, 0) <= 2 + 1e-9)
  t.equal(shares.reduce((sum, { concurrentLoads }) => sum + concurrentLoads, 0), 24)
  t.equal(shares.reduce((sum, { concurrentAdapters }) => sum + concurrentAdapters, 0), 190)
  t.same(shares[3], { loadStartEveryMs: Infinity, concurrentLoads: 0, concurrentAdapters: 0 }, 'a pool without models loads nothing')
})

t.test('a single pool gets the full limits', async (t) => {
  t.same(storeShareOf({ routes: [], pools: [poolOf('a', 13)] }, 'a', limits), { loadStartEveryMs: 500, concurrentLoads: 24, concurrentAdapters: 190 })
})

t.test('config of a cell names each routed version once', async (t) => {
  const route = { kind: 'model' as const, model: 'm', version: '1', pool: 'a', firstTokenTargetMs: 1, betweenTokensTargetMs: 1, priority: 'batch' as const }
  const tables: Tables = {
    routes: [{ ...route, name: 'x', adapter: 'p' }, { ...route, name: 'y', adapter: 'q' }, { ...route, name: 'z', pool: 'b' }],
    pools: [poolOf('a', 1), poolOf('b', 1)]
  }
  t.same(cellConfigOf(tables, 'a', limits, 5).routed, [{ model: 'm', version: '1', adapters: ['p', 'q'] }])
  t.same(cellConfigOf(tables, 'removed', limits, 5).runners, [])
})
