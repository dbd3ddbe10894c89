import t from 'tap'
import type { EngineSpec } from '../config/types.js'
import type { RunnerReport } from '../runners/types.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { RunnerInventory } from './runner-inventory.js'

const engine: EngineSpec = {
  slots: 32,
  memoryTokens: 1,
  weightsMb: 200,
  adapterSlots: 2,
  loadsPerS: 2,
  models: new Map(['a', 'b'].map((name) => [name, { name, sizeMb: 70, loadMs: 9_000, diskLoadMs: 1_000, adapters: ['x', 'y'], adapterSizeMb: 5 }]))
}

function report (changes: Partial<RunnerReport>): RunnerReport {
  return { models: [], coming: [], busy: false, acceptedOrders: 0, running: 0, queued: 0, ...changes }
}

function inventoryWith (changes: Partial<RunnerReport> = {}): RunnerInventory {
  const created = RunnerInventory.create('r')
  created.applyReport(report(changes), 0)
  return created
}

t.test('a load counts as used memory as soon as it is accepted', async (t) => {
  const inventory = inventoryWith({ models: [{ name: 'a', version: 1, adapters: ['x'] }] })
  t.equal(inventory.usedMb(engine), 75)
  inventory.applyAccepted({ kind: 'load', model: 'b' }, 0, 0)
  t.equal(inventory.usedMb(engine), 145)
  t.equal(inventory.acceptedOrders, 1)
})

t.test('an unload frees memory only when the entry in the runner list shows it', async (t) => {
  const inventory = inventoryWith({ models: [{ name: 'a', version: 1, adapters: [] }] })
  inventory.applyAccepted({ kind: 'unload', model: 'a' }, 0, 0)
  t.equal(inventory.usedMb(engine), 70)
  t.same(inventory.models, [])
  inventory.applyEntry(createEntry({ models: [{ name: 'a', version: 1, adapters: [] }] }))
  t.equal(inventory.usedMb(engine), 70)
  inventory.applyEntry(createEntry({ models: [] }))
  t.equal(inventory.usedMb(engine), 0)
})

t.test('a runner busy with an unknown order counts as loading the largest model', async (t) => {
  t.equal(inventoryWith({ busy: true }).usedMb(engine), 70)
})

t.test('adapters that are being loaded count as slots and memory in use', async (t) => {
  const inventory = inventoryWith({ models: [{ name: 'a', version: 1, adapters: ['x'] }], coming: [{ model: 'a', adapter: 'y' }] })
  t.equal(inventory.adapters.length, 2)
  t.equal(inventory.usedMb(engine), 80)
})

t.test('a report from before the last accepted order is ignored', async (t) => {
  const inventory = inventoryWith({ acceptedOrders: 3 })
  inventory.applyAccepted({ kind: 'load', model: 'a' }, 0, 0)
  inventory.applyReport(report({ acceptedOrders: 3 }), 10)
  t.equal(inventory.acceptedOrders, 4)
  t.equal(inventory.pending?.model, 'a')
})
