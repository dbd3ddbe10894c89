import t from 'tap'
import type { EngineSpec } from '../config/types.js'
import type { RunnerReport } from '../runners/types.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { RunnerBook } from './runner-book.js'

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

function book (changes: Partial<RunnerReport> = {}): RunnerBook {
  const created = RunnerBook.create('r')
  created.applyReport(report(changes), 0)
  return created
}

t.test('a load takes memory from the moment it is accepted', async (t) => {
  const runner = book({ models: [{ name: 'a', version: 1, adapters: ['x'] }] })
  t.equal(runner.usedMb(engine), 75)
  runner.applyAccepted({ kind: 'load', model: 'b' }, 0, 0)
  t.equal(runner.usedMb(engine), 145)
  t.equal(runner.acceptedOrders, 1)
})

t.test('an unload frees memory only when the entry shows it', async (t) => {
  const runner = book({ models: [{ name: 'a', version: 1, adapters: [] }] })
  runner.applyAccepted({ kind: 'unload', model: 'a' }, 0, 0)
  t.equal(runner.usedMb(engine), 70)
  t.same(runner.models, [])
  runner.applyEntry(createEntry({ models: [{ name: 'a', version: 1, adapters: [] }] }))
  t.equal(runner.usedMb(engine), 70)
  runner.applyEntry(createEntry({ models: [] }))
  t.equal(runner.usedMb(engine), 0)
})

t.test('a runner busy with an unknown order may be loading the largest model', async (t) => {
  t.equal(book({ busy: true }).usedMb(engine), 70)
})

t.test('adapters on their way take places and memory', async (t) => {
  const runner = book({ models: [{ name: 'a', version: 1, adapters: ['x'] }], coming: [{ model: 'a', adapter: 'y' }] })
  t.equal(runner.adapters.length, 2)
  t.equal(runner.usedMb(engine), 80)
})

t.test('a report from before the last order is passed over', async (t) => {
  const runner = book({ acceptedOrders: 3 })
  runner.applyAccepted({ kind: 'load', model: 'a' }, 0, 0)
  runner.applyReport(report({ acceptedOrders: 3 }), 10)
  t.equal(runner.acceptedOrders, 4)
  t.equal(runner.pending?.model, 'a')
})
