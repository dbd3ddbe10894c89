import t from 'tap'
import { adoptSnapshot, restoreCellState } from './snapshots.js'
import { applyCellRecord, createCellState } from './state.js'
import { claimBy, hostA, hostB, loadOf, recordsOf } from './cell-fixtures.js'

const bodies = [claimBy(hostA, 0), { kind: 'intent', claim: 1, order: loadOf('m') }, { kind: 'renew', claim: 1 }, { kind: 'intent', claim: 1, order: loadOf('n') }]

t.test('snapshot with a lower offset is not adopted', async (t) => {
  const low = recordsOf(bodies.slice(0, 2)).reduce(applyCellRecord, createCellState())
  const high = recordsOf(bodies).reduce(applyCellRecord, createCellState())
  t.equal(adoptSnapshot(high, low), high)
  t.equal(adoptSnapshot(low, high), high)
})

t.test('snapshot replaces records that the log no longer keeps', async (t) => {
  const state = recordsOf(bodies).reduce(applyCellRecord, createCellState())
  const all = recordsOf([...bodies, { kind: 'snapshot', state }, claimBy(hostB, 1)])
  const whole = all.reduce(applyCellRecord, createCellState())
  const restored = restoreCellState(all.slice(4), 5, undefined)
  t.same(restored?.intents, whole.intents)
  t.same(restored?.claim, whole.claim)
  t.equal(restored?.offset, 6)
})

t.test('records between the offset of a snapshot and its own record are applied', async (t) => {
  const state = recordsOf(bodies.slice(0, 3)).reduce(applyCellRecord, createCellState())
  const all = recordsOf([...bodies, { kind: 'snapshot', state }])
  const restored = restoreCellState(all.slice(3), 4, undefined)
  t.equal(restored?.intents.length, 2)
})

t.test('snapshot with a gap to the first kept record is not used', async (t) => {
  const state = recordsOf(bodies.slice(0, 2)).reduce(applyCellRecord, createCellState())
  const all = recordsOf([...bodies, { kind: 'snapshot', state }])
  t.equal(restoreCellState(all.slice(4), 5, undefined), undefined)
  t.equal(restoreCellState(all.slice(4), 5, state), undefined)
})
