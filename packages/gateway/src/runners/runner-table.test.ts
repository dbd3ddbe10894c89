import t from 'tap'
import { LeavingRunners } from '../gates/leaving-runners.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { RunnerTable } from './runner-table.js'

t.test('a runner whose entry is removed gets no more work', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a' }))
  table.remove('a', 1_000, 0)
  t.equal(table.usable('plain').length, 0)
})

t.test('a runner whose entry expired during an outage is kept for the grace period', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a' }))
  table.remove('a', 1_000, 500)
  table.sweep(1_400)
  t.equal(table.usable('plain').length, 1)
  table.sweep(1_500)
  t.equal(table.usable('plain').length, 0)
})

t.test('an entry that returns ends the grace period', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a' }))
  table.remove('a', 1_000, 500)
  table.upsert(createEntry({ id: 'a' }))
  table.sweep(9_000)
  t.equal(table.usable('plain').length, 1)
})

t.test('a draining runner gets no new work', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a', draining: true }))
  t.equal(table.usable('plain').length, 0)
})

t.test('models that were resident on a former process are not resident on a new one with the same id', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a', startedUnixMs: 1 }))
  table.markResident('a', 'model', undefined, 0)
  table.upsert(createEntry({ id: 'a', startedUnixMs: 2 }))
  const state = table.get('a')
  t.ok(state)
  t.equal(state !== undefined && table.holds(state, 'model', undefined, 1), false)
})

t.test('a model that a runner reported missing does not count as resident for a while', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a', models: [{ name: 'model', version: 1, adapters: ['x'] }] }))
  const state = table.get('a')
  if (state === undefined) return t.fail('no runner')
  table.markNotResident('a', 'model', undefined, 0)
  t.equal(table.holds(state, 'model', undefined, 100), false)
  t.equal(table.holds(state, 'model', 'x', 100), false)
  t.equal(table.holds(state, 'model', 'x', 60_000), true)
})

t.test('requests in flight of all hosts are added up', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a' }))
  const state = table.get('a')
  if (state === undefined) return t.fail('no runner')
  state.inFlight = 2
  table.setOtherHostsInFlight(new Map([['a', 3]]))
  t.equal(table.totalInFlight(state), 5)
  table.setOtherHostsInFlight(new Map())
  t.equal(table.totalInFlight(state), 2)
})

t.test('a runner that accepted no connection is not chosen again at once', async (t) => {
  const table = RunnerTable.create()
  table.upsert(createEntry({ id: 'a' }))
  table.markUnreachable('a', 1_000)
  t.equal(table.get('a')?.health.accepts(1_100), false)
  t.ok((table.get('a')?.unreachableUntilMs ?? 0) > 1_100)
})

t.test('a runner that announced that it leaves is not usable', async (t) => {
  const leaving = LeavingRunners.create()
  const table = RunnerTable.create(leaving)
  const entry = createEntry({ id: 'runner-1' })
  table.upsert(entry)
  t.equal(table.usable('plain').length, 1)
  leaving.receive(entry, { origin: 'host', receivedMs: 0 })
  t.equal(table.usable('plain').length, 0)
})
