import t from 'tap'
import { RunnerBooks } from './runner-tracker.js'
import { claimBy, copyOf, foldOf, hostA, intentOf, loadOf, observedOf, reportOf } from './cell-fixtures.js'

const spec = { ...observedOf('r1', 'i1', 0), checksFencing: false }
const state = foldOf([claimBy(hostA, 0), { kind: 'intent', claim: 1, order: loadOf('m') }])
const orderId = state.intents[0]?.orderId ?? ''

t.test('older report does not replace a newer one', async (t) => {
  const books = RunnerBooks.create()
  books.takeReport('r1', reportOf({ copies: [copyOf('m')] }), 1_000, 1_100, [])
  books.takeReport('r1', reportOf(), 900, 1_200, [])
  books.takeReport('r1', reportOf({ ageMs: 500 }), 1_300, 1_310, [])
  t.equal(books.reportOf('r1')?.report.copies.length, 1)
  t.equal(books.reportOf('r1')?.takenMs, 1_000)
})

t.test('report counts from what was read before its figures were taken', async (t) => {
  const books = RunnerBooks.create()
  books.markRead(4, 100)
  books.markRead(7, 900)
  books.takeReport('r1', reportOf({ ageMs: 300 }), 1_000, 1_010, [])
  t.equal(books.reportOf('r1')?.asOfOffset, 4)
})

t.test('listed order is settled by a later report only', async (t) => {
  const books = RunnerBooks.create()
  const listed = reportOf({ recentOrders: [{ orderId, outcome: 'done' }] })
  books.takeReport('r1', listed, 1_000, 1_010, state.intents)
  t.same(books.settlementsOf(state, spec), [], 'its figures may be from before the order')
  books.takeReport('r1', listed, 1_020, 1_030, state.intents)
  t.same(books.settlementsOf(state, spec), [{ intent: 2, outcome: 'void' }])
})

t.test('answer raises the fence of its process only', async (t) => {
  const books = RunnerBooks.create()
  books.takeAnswer(intentOf(9, loadOf('m')), { atMs: 1, outcome: 'done', instance: 'i1' })
  books.takeAnswer(intentOf(12, loadOf('m')), { atMs: 2, outcome: 'stale-fence', instance: 'i1' })
  t.equal(books.fenceOf('r1', 'i1'), 9)
  t.equal(books.fenceOf('r1', 'i2'), undefined)
})
