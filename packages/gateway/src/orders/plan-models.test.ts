// Guards against loads and unloads that serve less than they displace, and against models with one copy at the version of their streams (issue 43).
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

function versioned (id: string, softwareVersion: string, models: string[]): PlannedRunner {
  return runner(id, models, { softwareVersion })
}

t.test('a second copy of a model in demand goes to a runner of the version that its streams begin at', async (t) => {
  const runners = [versioned('r1', 'v1', ['a', 'b']), versioned('r2', 'v2', ['c']), versioned('r3', 'v2', ['c', 'd']), versioned('r4', 'v1', ['b', 'c', 'd']), versioned('r5', 'v1', ['b', 'c', 'd'])]
  const demand = steadyDemand({ a: 12, b: 1, c: 1, d: 1 })
  t.match(plan({ runners, demand, isMixed: true }), [{ runnerId: /r4|r5/, kind: 'unload' }])
  t.same(plan({ runners, demand }), [])
})

t.test('a second copy at a version is not unloaded for a copy that serves little more', async (t) => {
  const runners = [versioned('r1', 'v1', ['a', 'b', 'c']), versioned('r2', 'v1', ['a', 'b', 'c']), versioned('r3', 'v2', ['b', 'c'])]
  const demand = steadyDemand({ a: 8, d: 6, b: 9, c: 9 })
  const unloaded = plan({ runners, demand, isMixed: true }).filter(({ kind }) => kind === 'unload').map(({ model }) => model)
  t.notOk(unloaded.includes('a'))
})

t.test('no second copy at a version displaces the only copy of a model that is requested', async (t) => {
  const runners = [versioned('r1', 'v1', ['a']), versioned('r2', 'v1', ['b', 'c', 'd']), versioned('r3', 'v2', [])]
  t.same(plan({ runners, demand: steadyDemand({ a: 20, b: 0.5, c: 0.5, d: 0.5 }), isMixed: true, storeLoads: 0 }), [])
})

t.test('a copy for more demand goes to the version at which the streams of the model go on', async (t) => {
  const runners = [versioned('r1', 'v2', []), versioned('r2', 'v1', ['a']), versioned('r3', 'v1', ['a']), versioned('r4', 'v1', [])]
  t.match(plan({ runners, demand: steadyDemand({ a: 60 }), isMixed: true })[0], { runnerId: 'r4', kind: 'load', model: 'a' })
})

t.test('once a version has lost most of its runners, second copies go to the other one', async (t) => {
  const runners = [versioned('r1', 'v1', ['a']), ...['r2', 'r3', 'r4'].map((id) => versioned(id, 'v2', ['b']))]
  t.match(plan({ runners, demand: steadyDemand({ a: 12 }), isMixed: true }).filter(({ model }) => model === 'a'), [{ kind: 'load' }, { kind: 'load' }])
})

t.test('a model that callers continue streams of is loaded first at the version that began them', async (t) => {
  const runners = [versioned('r1', 'v2', ['a']), versioned('r2', 'v1', ['b']), versioned('r3', 'v2', [])]
  const demand = steadyDemand({ a: 2, b: 2, c: 1 })
  const versionDemand = [{ model: 'a', softwareVersion: 'v1', takeUpSlots: 6, openStreams: 0 }]
  t.match(plan({ runners, demand, versionDemand, isMixed: true })[0], { runnerId: 'r2', kind: 'load', model: 'a' })
  t.notOk(plan({ runners, demand, versionDemand }).some(({ model }) => model === 'a'))
  const loading = [runner('r2', ['b'], { softwareVersion: 'v1', loading: 'a', busy: true }), versioned('r4', 'v1', ['b'])]
  t.notOk(plan({ runners: loading, demand, versionDemand, isMixed: true }).some(({ model }) => model === 'a'))
})

t.test('a model without a copy is loaded at either version while no runner of the larger one is free', async (t) => {
  const runners = [
    ...['r1', 'r2'].map((id) => runner(id, ['b'], { softwareVersion: 'v1', busy: true, loading: 'c' })),
    versioned('r3', 'v2', ['b', 'c', 'd'])
  ]
  t.match(plan({ runners, demand: steadyDemand({ a: 5 }), isMixed: true }), [{ runnerId: 'r3', kind: 'unload' }])
})

t.test('a second copy at a version is not unloaded while a third one is still being loaded', async (t) => {
  const runners = [versioned('r1', 'v1', ['a', 'b', 'c']), versioned('r2', 'v1', ['a', 'b', 'c']), runner('r3', ['b'], { softwareVersion: 'v1', loading: 'a', busy: true }), versioned('r4', 'v2', ['b', 'c'])]
  const unloaded = plan({ runners, demand: steadyDemand({ a: 10, b: 4, c: 4, d: 8 }), isMixed: true }).filter(({ kind }) => kind === 'unload')
  t.notOk(unloaded.some(({ model }) => model === 'a'))
})

t.test('a model whose open streams have one copy at their version gets a second one there, in place of one with fewer streams', async (t) => {
  const runners = [versioned('r1', 'v1', ['a']), ...['r2', 'r3'].map((id) => versioned(id, 'v1', ['b', 'c', 'd'])), ...['r4', 'r5'].map((id) => versioned(id, 'v2', ['a', 'b', 'c']))]
  const demand = steadyDemand({ a: 8, b: 5, c: 5, d: 5 })
  const versionDemand = [{ model: 'a', softwareVersion: 'v1', takeUpSlots: 0, openStreams: 16 }, { model: 'd', softwareVersion: 'v1', takeUpSlots: 0, openStreams: 5 }]
  t.match(plan({ runners, demand, versionDemand, isMixed: true }), [{ runnerId: /r2|r3/, kind: 'unload' }])
  t.same(plan({ runners, demand, isMixed: true }), [])
})

t.test('a second copy for open streams does not displace the only copy of a model that is requested', async (t) => {
  const runners = [versioned('r1', 'v1', ['a']), versioned('r2', 'v1', ['b', 'c', 'd']), versioned('r3', 'v2', [])]
  const versionDemand = [{ model: 'a', softwareVersion: 'v1', takeUpSlots: 0, openStreams: 30 }]
  t.same(plan({ runners, demand: steadyDemand({ a: 20, b: 0.5, c: 0.5, d: 0.5 }), versionDemand, isMixed: true, storeLoads: 0 }), [])
})

t.test('beside a release, free memory is not filled with models that nobody asks for', async (t) => {
  const runners = [versioned('r1', 'v1', ['a', 'b', 'c']), versioned('r2', 'v2', [])]
  t.match(plan({ runners, demand: steadyDemand({ a: 3 }) }), [{ runnerId: 'r2', kind: 'load', model: 'd' }])
  t.same(plan({ runners, demand: steadyDemand({ a: 3 }), isMixed: true }), [])
})
