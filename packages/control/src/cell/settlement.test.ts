import t from 'tap'
import { SettledOutcome, DeliveryStatus } from './records.js'
import { settlementOf, type SettlementInput } from './settlement.js'
import { copyOf, intentOf, loadOf, reportOf, unloadOf } from './cell-fixtures.js'

const lost: SettlementInput = {
  intent: intentOf(5, loadOf('m')),
  isOwnClaim: true,
  checksFencing: true,
  answer: undefined,
  fence: undefined,
  timedReport: { report: reportOf(), takenMs: 1_000, asOfOffset: 50 }
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
  const timedReport = { ...lost.timedReport, report: reportOf({ copies: [copyOf('m')] }) }
  t.equal(settlementOf({ ...lost, timedReport, answer: { ...answer, atMs: 999 } }), SettledOutcome.Done)
})

t.test('accepted order stays unsettled until its engine process shows the effect', async (t) => {
  const answer = { atMs: 0, outcome: 'accepted' as const, instance: 'i1' }
  t.equal(settlementOf({ ...lost, answer }), undefined)
  const loading = { ...lost.timedReport, report: reportOf({ copies: [copyOf('m', 'loading')] }) }
  t.equal(settlementOf({ ...lost, answer, timedReport: loading }), undefined)
  const replaced = { ...lost.timedReport, report: reportOf({ instance: 'i2' }) }
  t.equal(settlementOf({ ...lost, answer, timedReport: replaced }), SettledOutcome.Void)
})

t.test('elapsed time alone settles nothing', async (t) => {
  for (const checksFencing of [true, false]) {
    const late = { ...lost.timedReport, takenMs: 1e12 }
    t.equal(settlementOf({ ...lost, checksFencing, timedReport: late }), undefined)
  }
})

t.test('later fence settles an order only on an engine that checks fences', async (t) => {
  t.equal(settlementOf({ ...lost, fence }), SettledOutcome.Fenced)
  t.equal(settlementOf({ ...lost, fence, checksFencing: false }), undefined)
})

t.test('fence settles an order only with a later report of the same engine process', async (t) => {
  t.equal(settlementOf({ ...lost, fence: { ...fence, atMs: 1_000 } }), undefined)
  t.equal(settlementOf({ ...lost, fence: { ...fence, instance: 'i0' } }), undefined)
  t.equal(settlementOf({ ...lost, fence: { ...fence, fence: 5 } }), undefined)
})

t.test('order that an earlier holder reported as answered is settled only after the fence', async (t) => {
  const answered = { ...lost, isOwnClaim: false, intent: intentOf(5, loadOf('m'), { word: { word: DeliveryStatus.Answered, offset: 40 } }) }
  t.equal(settlementOf(answered), undefined)
  t.equal(settlementOf({ ...answered, fence }), SettledOutcome.Void)
  t.equal(settlementOf({ ...answered, checksFencing: false }), SettledOutcome.Void)
  t.equal(settlementOf({ ...answered, checksFencing: false, timedReport: { ...lost.timedReport, asOfOffset: 39 } }), undefined, 'report too old')
})

t.test('unanswered order on an engine that ignores fences is settled when the engine process is replaced', async (t) => {
  const unanswered = intentOf(5, unloadOf('m'), { word: { word: DeliveryStatus.Unanswered, offset: 40 }, baselineInstance: 'i0' })
  t.equal(settlementOf({ ...lost, checksFencing: false, intent: unanswered }), undefined)
  t.equal(settlementOf({ ...lost, checksFencing: false, intent: { ...unanswered, replaced: true } }), SettledOutcome.Done)
})
