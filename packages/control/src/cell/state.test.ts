import t from 'tap'
import { DeliveryStatus } from './records.js'
import { applyCellRecord, createCellState, holdsClaim } from './state.js'
import { claimBy, foldOf, hostA, hostB, loadOf, observedOf, recordsOf } from './cell-fixtures.js'

const intentA = { kind: 'intent', claim: 1, order: loadOf('m') }

t.test('of several claims that succeed the same claim, the first wins', async (t) => {
  const state = foldOf([claimBy(hostA, 0), claimBy(hostB, 1), claimBy(hostA, 1)])
  t.ok(holdsClaim(state, hostB))
  t.equal(state.claim?.offset, 2)
})

t.test('claim of a stale predecessor is void', async (t) => {
  t.ok(holdsClaim(foldOf([claimBy(hostA, 0), claimBy(hostB, 0)]), hostA))
})

t.test('former holder can write nothing but its delivery status', async (t) => {
  const base = [claimBy(hostA, 0), intentA, claimBy(hostB, 1)]
  t.equal(foldOf([...base, intentA]).intents.length, 1, 'intent after the successor\'s claim is void')
  const settled = { kind: 'settled', claim: 1, intents: [{ intent: 2, outcome: 'done' }], observed: observedOf('r1', 'i1', 2) }
  t.equal(foldOf([...base, settled]).intents.length, 1, 'settlement after the successor\'s claim is void')
  t.equal(foldOf([...base, { kind: 'withdrawn', claim: 1, intent: 2, word: DeliveryStatus.NeverSent }]).intents.length, 0)
})

t.test('delivery status with another claim is void', async (t) => {
  const state = foldOf([claimBy(hostA, 0), intentA, claimBy(hostB, 1), { kind: 'withdrawn', claim: 3, intent: 2, word: DeliveryStatus.NeverSent }])
  t.equal(state.intents.length, 1)
})

t.test('retried append with a known record id is ignored', async (t) => {
  const records = recordsOf([claimBy(hostA, 0), intentA])
  const retried = { offset: 3, recordId: 'record-2', body: intentA }
  const state = [...records, retried].reduce(applyCellRecord, createCellState())
  t.equal(state.intents.length, 1)
  t.equal(state.offset, 3)
})

t.test('records of unknown kinds are kept', async (t) => {
  const state = foldOf([claimBy(hostA, 0), { kind: 'lane', claim: 1, width: 3 }, intentA])
  t.equal(state.intents.length, 1)
  t.match(state.unknownRecords, [{ offset: 2, body: { kind: 'lane', width: 3 } }])
})

t.test('fence is lost with the engine process', async (t) => {
  const settled = { kind: 'settled', claim: 1, intents: [{ intent: 2, outcome: 'fenced' }], observed: observedOf('r1', 'i1', 2) }
  const base = [claimBy(hostA, 0), intentA, settled]
  t.equal(foldOf(base).intents[0]?.fencedInstance, 'i1')
  const replaced = foldOf([...base, { kind: 'observed', claim: 1, observed: observedOf('r1', 'i2', 3) }])
  t.equal(replaced.intents[0]?.fencedInstance, undefined)
  t.equal(replaced.intents.length, 1)
})

t.test('fenced intent is removed once its sender has ended and the same engine process is observed', async (t) => {
  const settled = { kind: 'settled', claim: 1, intents: [{ intent: 2, outcome: 'fenced' }], observed: observedOf('r1', 'i1', 2) }
  const status = { kind: 'withdrawn', claim: 1, intent: 2, word: DeliveryStatus.Unanswered }
  const base = [claimBy(hostA, 0), intentA, settled, status]
  t.equal(foldOf(base).intents.length, 1)
  t.equal(foldOf([...base, { kind: 'observed', claim: 1, observed: observedOf('r1', 'i1', 3) }]).intents.length, 1, 'report older than the status')
  t.equal(foldOf([...base, { kind: 'observed', claim: 1, observed: observedOf('r1', 'i1', 4) }]).intents.length, 0)
})

t.test('engine replacement counts only after the sender has ended', async (t) => {
  const seen = (instance: string, asOfOffset: number) => ({ kind: 'observed', claim: 1, observed: observedOf('r1', instance, asOfOffset) })
  const status = { kind: 'withdrawn', claim: 1, intent: 2, word: DeliveryStatus.Unanswered }
  const before = foldOf([claimBy(hostA, 0), intentA, seen('i1', 2), status, seen('i2', 4)])
  t.equal(before.intents[0]?.replaced, false, 'the order may be in flight to i2')
  const after = foldOf([claimBy(hostA, 0), intentA, status, seen('i1', 3), seen('i2', 4)])
  t.equal(after.intents[0]?.replaced, true)
})

t.test('record of an ended sender ends its intents', async (t) => {
  const state = foldOf([claimBy(hostA, 0), intentA, claimBy(hostB, 1), { kind: 'gone', claim: 3, sender: hostA, evidence: 'operator' }])
  t.equal(state.intents[0]?.goneOffset, 4)
  const stale = foldOf([claimBy(hostA, 0), intentA, claimBy(hostB, 1), { kind: 'gone', claim: 1, sender: hostB, evidence: 'operator' }])
  t.same(stale.goneIncarnations, [], 'a former holder cannot declare a sender ended')
})
