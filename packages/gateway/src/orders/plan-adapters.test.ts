import t from 'tap'
import type { EngineSpec } from '../config/types.js'
import type { DemandRate } from '../members/types.js'
import { planAdapters, type AdapterRunner } from './plan-adapters.js'

const ADAPTERS = ['x', 'y', 'z']
const engine: EngineSpec = {
  slots: 8,
  memoryTokens: 1,
  weightsMb: 200,
  adapterSlots: 8,
  loadsPerS: 2,
  models: new Map(['a', 'b'].map((name) => [name, { name, sizeMb: 70, loadMs: 2_000, diskLoadMs: 500, adapters: ADAPTERS, adapterSizeMb: 3 }]))
}

function runner (id: string, models: string[], changes: Partial<AdapterRunner> = {}): AdapterRunner {
  return { id, models, adapters: [], busy: false, usedMb: models.length * 70, ...changes }
}

function demandRate (model: string, adapter: string, perS: number): DemandRate {
  return { service: 's', model, adapter, requestsPerS: perS, slowRequestsPerS: perS, holdMs: 1_000 }
}

t.test('the adapter with the most demand takes the last free slot', async (t) => {
  const loads = planAdapters(engine, [runner('r1', ['a', 'b'], { adapters: ['b/x', 'b/y', 'b/z', 'o', 'o', 'o', 'o'] })], [demandRate('a', 'z', 2), demandRate('a', 'y', 1)])
  t.same(loads, [{ runnerId: 'r1', model: 'a', adapter: 'z' }])
})

t.test('a runner gets at most four adapter loads in one plan', async (t) => {
  t.equal(planAdapters(engine, [runner('r1', ['a', 'b'])], []).length, 4)
})

t.test('an adapter that another runner holds is not loaded', async (t) => {
  const loads = planAdapters(engine, [runner('r1', ['a']), runner('r2', ['a'], { adapters: ['a/x', 'a/y'] })], [])
  t.same(loads.map(({ adapter }) => adapter), ['z'])
})

t.test('runners that are busy or have no memory left get no adapter loads', async (t) => {
  const full = runner('r1', ['a'], { usedMb: 199 })
  const busy = runner('r2', ['a'], { busy: true })
  t.same(planAdapters(engine, [full, busy, runner('r3', ['a'])], []).map(({ runnerId }) => runnerId), ['r3', 'r3', 'r3'])
})

t.test('no adapter is loaded on a runner without its model', async (t) => {
  t.same(planAdapters(engine, [runner('r1', [])], [demandRate('a', 'x', 5)]), [])
})
