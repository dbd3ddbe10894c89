import t from 'tap'
import { RunnerTracker } from './runner-tracker.js'
import { claimBy, copyOf, foldOf, hostA, intentOf, loadOf, observedOf, reportOf } from './cell-fixtures.js'

const spec = { ...observedOf('r1', 'i1', 0), checksFencing: false }
const state = foldOf([claimBy(hostA, 0), { kind: 'intent', claim: 1, order: loadOf('m') }])
const orderId = state.intents[0]?.orderId ?? ''

t.test('older report does not replace a newer one', async (t) => {
  const tracker = RunnerTracker.create()
  tracker.addReport('r1', reportOf({ copies: [copyOf('m')] }), 1_000, 1_100, [])
  tracker.addReport('r1', reportOf(), 900, 1_200, [])
  tracker.addReport('r1', reportOf({ ageMs: 500 }), 1_300, 1_310, [])
  t.equal(tracker.reportOf('r1')?.report.copies.length, 1)
  t.equal(tracker.reportOf('r1')?.takenMs, 1_000)
})

t.test('report is dated by the last offset read before its figures were taken', async (t) => {
  const tracker = RunnerTracker.create()
  tracker.noteReadPosition(4, 100)
  tracker.noteReadPosition(7, 900)
  tracker.addReport('r1', reportOf({ ageMs: 300 }), 1_000, 1_010, [])
  t.equal(tracker.reportOf('r1')?.asOfOffset, 4)
})

t.test('order listed as recent is settled only by a later report', async (t) => {
  const tracker = RunnerTracker.create()
  const listed = reportOf({ recentOrders: [{ orderId, outcome: 'done' }] })
  tracker.addReport('r1', listed, 1_000, 1_010, state.intents)
  t.same(tracker.settlementsOf(state, spec), [], 'its figures may be from before the order')
  tracker.addReport('r1', listed, 1_020, 1_030, state.intents)
  t.same(tracker.settlementsOf(state, spec), [{ intent: 2, outcome: 'void' }])
})

t.test('answer confirms the fence only for its own engine process', async (t) => {
  const tracker = RunnerTracker.create()
  tracker.addAnswer(intentOf(9, loadOf('m')), { atMs: 1, outcome: 'done', instance: 'i1' })
  tracker.addAnswer(intentOf(12, loadOf('m')), { atMs: 2, outcome: 'stale-fence', instance: 'i1' })
  t.equal(tracker.fenceOf('r1', 'i1'), 9)
  t.equal(tracker.fenceOf('r1', 'i2'), undefined)
})
