import t from 'tap'
import type { EngineSpec, ModelSpec } from '../config/types.js'
import { planModels, type PlanInput, type PlannedRunner } from './plan-models.js'

function spec (name: string): ModelSpec {
  return { name, sizeMb: 70, loadMs: 9_000, diskLoadMs: 2_000, adapters: [], adapterSizeMb: 1 }
}

function engine (models: string[]): EngineSpec {
  return { slots: 32, memoryTokens: 100_000, weightsMb: 220, adapterSlots: 8, loadsPerS: 2, models: new Map(models.map((name) => [name, spec(name)])) }
}

function runner (id: string, models: string[], changes: Partial<PlannedRunner> = {}): PlannedRunner {
  return { id, models, busy: false, usedMb: models.length * 70, localWeights: [], copyShare: 1, ...changes }
}

function plan (changes: Partial<PlanInput>) {
  return planModels({ engine: engine(['a', 'b', 'c', 'd']), runners: [], demand: new Map(), missingMs: new Map(), storeLoads: 2, ...changes })
}

/** Steady demand for models, by the slots that each one needs. */
function steadyDemand (slotsByModel: Record<string, number>): PlanInput['demand'] {
  return new Map(Object.entries(slotsByModel).map(([model, count]) => [model, { currentSlots: count, forecastSlots: count }]))
}

t.test('nothing is unloaded while there is no demand', async (t) => {
  t.same(plan({ runners: [runner('r1', ['a', 'b', 'c']), runner('r2', ['a', 'b', 'c'])] }), [])
})

t.test('a model without a copy is loaded into free memory', async (t) => {
  t.match(plan({ runners: [runner('r1', ['a', 'b']), runner('r2', ['a', 'b', 'c'])] }), [{ runnerId: 'r1', kind: 'load', model: 'd' }])
})

t.test('a model with demand displaces one without', async (t) => {
  const orders = plan({ runners: [runner('r1', ['a', 'b', 'c'])], demand: steadyDemand({ d: 3, a: 3, b: 3 }) })
  t.match(orders, [{ runnerId: 'r1', kind: 'unload', model: 'c' }])
})

t.test('the last copy of a model with demand is not unloaded', async (t) => {
  const demand = steadyDemand({ a: 3, b: 3, c: 3, d: 3 })
  t.same(plan({ runners: [runner('r1', ['a', 'b', 'c'])], demand }), [])
})

t.test('a busy model gets more copies', async (t) => {
  const orders = plan({ runners: [runner('r1', ['a']), runner('r2', ['b'])], demand: steadyDemand({ a: 40, b: 1 }) })
  t.match(orders[0], { runnerId: 'r2', kind: 'load', model: 'a' })
})

t.test('a load from disk is planned while the weight store allows none', async (t) => {
  const orders = plan({
    runners: [runner('r1', ['b']), runner('r2', ['c'], { localWeights: ['a'] })],
    demand: steadyDemand({ a: 1 }),
    storeLoads: 0
  })
  t.match(orders, [{ runnerId: 'r2', model: 'a', fromStore: false }])
})

t.test('no more loads from the weight store are planned than may start', async (t) => {
  const runners = ['r1', 'r2', 'r3'].map((id) => runner(id, []))
  t.equal(plan({ runners, storeLoads: 1 }).length, 1)
})

t.test('a runner that is busy gets no order', async (t) => {
  t.same(plan({ runners: [runner('r1', ['a'], { busy: true, loading: 'b' })], demand: steadyDemand({ c: 5 }) }), [])
})

t.test('no load is planned into memory that is in use', async (t) => {
  const orders = plan({ runners: [runner('r1', ['a', 'b'], { usedMb: 215 })], demand: steadyDemand({ c: 5 }) })
  t.notOk(orders.some(({ kind }) => kind === 'load'))
})

t.test('a model whose only copy is on a runner with a limit gets another copy', async (t) => {
  const runners = (copyShare: number) => [runner('limited', ['a'], { copyShare }), runner('other', ['b'])]
  t.match(plan({ runners: runners(0.05), demand: steadyDemand({ a: 8, b: 1 }) })[0], { runnerId: 'other', kind: 'load', model: 'a' })
  t.notMatch(plan({ runners: runners(1), demand: steadyDemand({ a: 8, b: 1 }) })[0], { model: 'a' })
})

t.test('a new copy goes to a runner without a limit while one has memory left', async (t) => {
  const orders = plan({ runners: [runner('limited', [], { copyShare: 0.05 }), runner('other', ['b'])], demand: steadyDemand({ a: 8, b: 8 }) })
  t.match(orders[0], { runnerId: 'other', model: 'a' })
})
