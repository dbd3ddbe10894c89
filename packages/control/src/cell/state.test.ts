import t from 'tap'
import { Word } from './records.js'
import { applyCellRecord, createCellState, holdsClaim } from './state.js'
import { claimBy, foldOf, hostA, hostB, loadOf, observedOf, recordsOf } from './cell-fixtures.js'

const intentA = { kind: 'intent', claim: 1, order: loadOf('m') }

t.test('first valid successor wins', async (t) => {
  const state = foldOf([claimBy(hostA, 0), claimBy(hostB, 1), claimBy(hostA, 1)])
  t.ok(holdsClaim(state, hostB))
  t.equal(state.claim?.offset, 2)
})

t.test('claim of a stale predecessor is void', async (t) => {
  t.ok(holdsClaim(foldOf([claimBy(hostA, 0), claimBy(hostB, 0)]), hostA))
})

t.test('earlier holder writes nothing but its word', async (t) => {
  const base = [claimBy(hostA, 0), intentA, claimBy(hostB, 1)]
  t.equal(foldOf([...base, intentA]).intents.length, 1, 'intent behind the successor is void')
  const settled = { kind: 'settled', claim: 1, intents: [{ intent: 2, outcome: 'done' }], observed: observedOf('r1', 'i1', 2) }
  t.equal(foldOf([...base, settled]).intents.length, 1, 'settled behind the successor is void')
  t.equal(foldOf([...base, { kind: 'withdrawn', claim: 1, intent: 2, word: Word.NeverSent }]).intents.length, 0)
})

t.test('word of another claim is void', async (t) => {
  const state = foldOf([claimBy(hostA, 0), intentA, claimBy(hostB, 1), { kind: 'withdrawn', claim: 3, intent: 2, word: Word.NeverSent }])
  t.equal(state.intents.length, 1)
})

t.test('repeats by id are dropped', async (t) => {
  const records = recordsOf([claimBy(hostA, 0), intentA])
  const repeated = { offset: 3, recordId: 'record-2', body: intentA }
  const state = [...records, repeated].reduce(applyCellRecord, createCellState())
  t.equal(state.intents.length, 1)
  t.equal(state.offset, 3)
})

t.test('unknown kinds are kept', async (t) => {
  const state = foldOf([claimBy(hostA, 0), { kind: 'lane', claim: 1, width: 3 }, intentA])
  t.equal(state.intents.length, 1)
  t.match(state.unknownRecords, [{ offset: 2, body: { kind: 'lane', width: 3 } }])
})

t.test('fence is lost with the process of the engine', async (t) => {
  const settled = { kind: 'settled', claim: 1, intents: [{ intent: 2, outcome: 'fenced' }], observed: observedOf('r1', 'i1', 2) }
  const base = [claimBy(hostA, 0), intentA, settled]
  t.equal(foldOf(base).intents[0]?.fencedInstance, 'i1')
  const replaced = foldOf([...base, { kind: 'observed', claim: 1, observed: observedOf('r1', 'i2', 3) }])
  t.equal(replaced.intents[0]?.fencedInstance, undefined)
  t.equal(replaced.intents.length, 1)
})

t.test('fenced intent goes once its sender ended in that process', async (t) => {
  const settled = { kind: 'settled', claim: 1, intents: [{ intent: 2, outcome: 'fenced' }], observed: observedOf('r1', 'i1', 2) }
  const word = { kind: 'withdrawn', claim: 1, intent: 2, word: Word.Unanswered }
  const base = [claimBy(hostA, 0), intentA, settled, word]
  t.equal(foldOf(base).intents.length, 1)
  t.equal(foldOf([...base, { kind: 'observed', claim: 1, observed: observedOf('r1', 'i1', 3) }]).intents.length, 1, 'report before the word')
  t.equal(foldOf([...base, { kind: 'observed', claim: 1, observed: observedOf('r1', 'i1', 4) }]).intents.length, 0)
})

t.test('replacement counts only after the sender ended', async (t) => {
  const seen = (instance: string, asOfOffset: number) => ({ kind: 'observed', claim: 1, observed: observedOf('r1', instance, asOfOffset) })
  const word = { kind: 'withdrawn', claim: 1, intent: 2, word: Word.Unanswered }
  const before = foldOf([claimBy(hostA, 0), intentA, seen('i1', 2), word, seen('i2', 4)])
  t.equal(before.intents[0]?.replaced, false, 'the copy may be on its way to i2')
  const after = foldOf([claimBy(hostA, 0), intentA, word, seen('i1', 3), seen('i2', 4)])
  t.equal(after.intents[0]?.replaced, true)
})

t.test('gone sender ends its intents', async (t) => {
  const state = foldOf([claimBy(hostA, 0), intentA, claimBy(hostB, 1), { kind: 'gone', claim: 3, sender: hostA, evidence: 'operator' }])
  t.equal(state.intents[0]?.goneOffset, 4)
  const stale = foldOf([claimBy(hostA, 0), intentA, claimBy(hostB, 1), { kind: 'gone', claim: 1, sender: hostB, evidence: 'operator' }])
  t.same(stale.goneIncarnations, [], 'an earlier holder cannot declare it')
})
