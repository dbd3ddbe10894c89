import t from 'tap'
import { SettledOutcome, Word } from './records.js'
import { settlementOf, type SettlementInput } from './settlement.js'
import { copyOf, intentOf, loadOf, reportOf, unloadOf } from './cell-fixtures.js'

const lost: SettlementInput = {
  intent: intentOf(5, loadOf('m')),
  own: true,
  checksFencing: true,
  answer: undefined,
  fence: undefined,
  taken: { report: reportOf(), takenMs: 1_000, asOfOffset: 50 }
}
const fence = { fence: 9, instance: 'i1', atMs: 900 }

t.test('refused order had no effect', async (t) => {
  for (const outcome of ['refused', 'stale-fence'] as const) {
    t.equal(settlementOf({ ...lost, answer: { atMs: 0, outcome, instance: 'i1' } }), SettledOutcome.Refused)
  }
})

t.test('answered order is settled by a later report', async (t) => {
  const answer = { atMs: 1_000, outcome: 'done' as const, instance: 'i1' }
  t.equal(settlementOf({ ...lost, answer }), undefined, 'report not later than the answer')
  t.equal(settlementOf({ ...lost, answer: { ...answer, atMs: 999 } }), SettledOutcome.Void)
  const taken = { ...lost.taken, report: reportOf({ copies: [copyOf('m')] }) }
  t.equal(settlementOf({ ...lost, taken, answer: { ...answer, atMs: 999 } }), SettledOutcome.Done)
})

t.test('accepted order is awaited in its process', async (t) => {
  const answer = { atMs: 0, outcome: 'accepted' as const, instance: 'i1' }
  t.equal(settlementOf({ ...lost, answer }), undefined)
  const loading = { ...lost.taken, report: reportOf({ copies: [copyOf('m', 'loading')] }) }
  t.equal(settlementOf({ ...lost, answer, taken: loading }), undefined)
  const replaced = { ...lost.taken, report: reportOf({ instance: 'i2' }) }
  t.equal(settlementOf({ ...lost, answer, taken: replaced }), SettledOutcome.Void)
})

t.test('time alone settles nothing', async (t) => {
  for (const checksFencing of [true, false]) {
    const late = { ...lost.taken, takenMs: 1e12 }
    t.equal(settlementOf({ ...lost, checksFencing, taken: late }), undefined)
  }
})

t.test('later fence settles only on an engine that checks', async (t) => {
  t.equal(settlementOf({ ...lost, fence }), SettledOutcome.Fenced)
  t.equal(settlementOf({ ...lost, fence, checksFencing: false }), undefined)
})

t.test('fence settles only with a later report of the same process', async (t) => {
  t.equal(settlementOf({ ...lost, fence: { ...fence, atMs: 1_000 } }), undefined)
  t.equal(settlementOf({ ...lost, fence: { ...fence, instance: 'i0' } }), undefined)
  t.equal(settlementOf({ ...lost, fence: { ...fence, fence: 5 } }), undefined)
})

t.test('word of an earlier holder waits for the fence', async (t) => {
  const answered = { ...lost, own: false, intent: intentOf(5, loadOf('m'), { word: { word: Word.Answered, offset: 40 } }) }
  t.equal(settlementOf(answered), undefined)
  t.equal(settlementOf({ ...answered, fence }), SettledOutcome.Void)
  t.equal(settlementOf({ ...answered, checksFencing: false }), SettledOutcome.Void)
  t.equal(settlementOf({ ...answered, checksFencing: false, taken: { ...lost.taken, asOfOffset: 39 } }), undefined, 'report before the word')
})

t.test('unanswered copy on an engine that ignores fences ends with its process', async (t) => {
  const unanswered = intentOf(5, unloadOf('m'), { word: { word: Word.Unanswered, offset: 40 }, baselineInstance: 'i0' })
  t.equal(settlementOf({ ...lost, checksFencing: false, intent: unanswered }), undefined)
  t.equal(settlementOf({ ...lost, checksFencing: false, intent: { ...unanswered, replaced: true } }), SettledOutcome.Done)
})
