/** Differential tests of the fold, the ledger and the lease against simple reference implementations. */
import t from 'tap'
import fc from 'fast-check'
import type { LogRecord } from '@figloom/clients'
import { fitsMemory } from './ledger.js'
import { DEFAULT_LEASE_SETTINGS, expiresForOthersMs, isHolderByOwnClock } from './lease.js'
import { parseCellRecord, type CellOrder } from './records.js'
import { applyCellRecord, createCellState, type Intent } from './state.js'
import { restoreCellState } from './snapshots.js'
import { adapterLoadOf, claimBy, copyOf, hostA, hostB, intentOf, loadOf, observedOf, reportOf, unloadOf } from './cell-fixtures.js'

const SEED = 20_262
const RUNS = 3_000
const hostC = { host: 'host-c', incarnation: 'c-1' }

/** Bodies that refer to random earlier offsets, so that many of them are void. */
const bodyArbitrary = fc.oneof(
  fc.record({ sender: fc.constantFrom(hostA, hostB, hostC), succeeds: fc.nat(12) }).map(({ sender, succeeds }) => claimBy(sender, succeeds)),
  fc.nat(12).map((claim) => ({ kind: 'renew', claim })),
  fc.record({ claim: fc.nat(12), model: fc.constantFrom('m', 'n') }).map(({ claim, model }) => ({ kind: 'intent', claim, order: loadOf(model) })),
  fc.record({ claim: fc.nat(12), intent: fc.nat(12) }).map((fields) => ({ kind: 'withdrawn', word: 'never-sent', ...fields })),
  fc.record({ claim: fc.nat(12), intent: fc.nat(12) }).map(({ claim, intent }) => ({ kind: 'settled', claim, intents: [{ intent, outcome: 'done' }], observed: observedOf('r1', 'i1', 0) })),
  fc.constant({ kind: 'of-a-later-release' })
)

const streamArbitrary = fc.array(fc.record({ id: fc.nat(20), body: bodyArbitrary }), { maxLength: 24 })
  .map((entries) => entries.map(({ id, body }, index): LogRecord => ({ offset: index + 1, recordId: `id-${id}`, body })))

/** Computes the claim and the unsettled intents by scanning the whole stream for each of them. */
function readReference (records: LogRecord[]) {
  const firsts = records.filter((record, index) => records.findIndex(({ recordId }) => recordId === record.recordId) === index)
  const claimAt = (offset: number): number => firsts
    .filter((record) => record.offset <= offset)
    .reduce((claim, { offset: at, body }) => {
      const parsed = parseCellRecord(body)
      return parsed?.kind === 'claim' && parsed.succeeds === claim ? at : claim
    }, 0)
  const isValid = (record: LogRecord) => {
    const parsed = parseCellRecord(record.body)
    return parsed !== undefined && 'claim' in parsed && parsed.claim === claimAt(record.offset) && parsed.claim > 0
  }
  const open = firsts.filter((record) => parseCellRecord(record.body)?.kind === 'intent' && isValid(record)).filter((intent) => {
    const author = claimAt(intent.offset)
    return !firsts.some((record) => {
      const parsed = parseCellRecord(record.body)
      if (record.offset < intent.offset) return false
      if (parsed?.kind === 'withdrawn') return parsed.intent === intent.offset && parsed.claim === author
      return parsed?.kind === 'settled' && isValid(record) && parsed.intents.some((entry) => entry.intent === intent.offset)
    })
  })
  return { claim: claimAt(records.length), open: open.map(({ offset }) => offset) }
}

t.test('fold agrees with the reference implementation', async (t) => {
  fc.assert(fc.property(streamArbitrary, (records) => {
    const state = records.reduce(applyCellRecord, createCellState())
    const reference = readReference(records)
    t.equal(state.claim?.offset ?? 0, reference.claim)
    t.same(state.intents.map(({ offset }) => offset), reference.open)
  }), { seed: SEED, numRuns: RUNS })
})

t.test('snapshot at any offset restores the same state', async (t) => {
  fc.assert(fc.property(streamArbitrary, fc.nat(24), fc.nat(24), (records, cut, lost) => {
    const at = Math.min(cut, records.length)
    const upTo = records.slice(0, at).reduce(applyCellRecord, createCellState())
    const all = [...records, { offset: records.length + 1, recordId: 'snapshot', body: { kind: 'snapshot', state: upTo } }]
    const firstOffset = Math.min(lost, at) + 1
    const whole = all.reduce(applyCellRecord, createCellState())
    t.same(restoreCellState(all.slice(firstOffset - 1), firstOffset, undefined), whole)
  }), { seed: SEED, numRuns: RUNS })
})

const orderArbitrary: fc.Arbitrary<CellOrder> = fc.oneof(
  fc.record({ model: fc.constantFrom('m', 'n', 'o'), size: fc.nat(40) }).map(({ model, size }) => loadOf(model, 'r1', size, 5)),
  fc.constantFrom('m', 'n').map((model) => unloadOf(model)),
  fc.record({ model: fc.constantFrom('m', 'n'), size: fc.nat(20) }).map(({ model, size }) => adapterLoadOf(model, 'x', size))
)

/** Memory after the orders took effect on the copies, with each model and adapter at the largest size named. */
function memoryAfter (copies: ReturnType<typeof copyOf>[], orders: CellOrder[]): number {
  const sizes = new Map<string, number>()
  const grow = (key: string, size: number) => sizes.set(key, Math.max(sizes.get(key) ?? 0, size))
  for (const copy of copies) {
    grow(`${copy.model} weights`, copy.weightsMiB)
    grow(`${copy.model} kv`, copy.kvReserveMiB)
  }
  for (const order of orders) {
    if (order.action === 'load') {
      grow(`${order.model} weights`, order.weightsMiB)
      grow(`${order.model} kv`, order.kvReserveMiB)
    }
    if (order.action === 'load-adapter') grow(`${order.model} ${order.adapter}`, order.sizeMiB)
  }
  return [...sizes.values()].reduce((sum, size) => sum + size, 0)
}

/** The highest memory over all subsets of orders that may take effect, in the current process and in an empty one. */
function worstOfSubsets (copies: ReturnType<typeof copyOf>[], intents: Intent[], order: CellOrder): number {
  const subsets = intents.reduce<Intent[][]>((all, intent) => [...all, ...all.map((subset) => [...subset, intent])], [[]])
  const memories = subsets.flatMap((subset) => {
    const present = subset.every(({ fencedInstance }) => fencedInstance !== 'i1') ? [memoryAfter(copies, [...subset.map((intent) => intent.order), order])] : []
    const later = subset.every(({ baselineInstance }) => baselineInstance === undefined) ? [memoryAfter([], [...subset.map((intent) => intent.order), order])] : []
    return [...present, ...later]
  })
  return Math.max(...memories)
}

t.test('ledger agrees with the worst case of all subsets of orders', async (t) => {
  const intentArbitrary = fc.record({ order: orderArbitrary, fence: fc.constantFrom(undefined, 'i0', 'i1'), ended: fc.boolean() })
  fc.assert(fc.property(fc.subarray(['m', 'n', 'o']), fc.array(intentArbitrary, { maxLength: 5 }), orderArbitrary, (models, entries, order) => {
    const copies = models.map((model) => copyOf(model, 'resident', 20, 5))
    const intents = entries.map(({ order: intent, fence, ended }, index) => intentOf(index + 2, intent, {
      ...(fence === undefined ? {} : { fencedInstance: fence }),
      ...(ended ? { baselineInstance: 'i1' } : {})
    }))
    const input = { memoryMiB: 100, transitReserveMiB: 0, report: reportOf({ copies }), intents }
    t.equal(fitsMemory(input, order), worstOfSubsets(copies, intents, order) <= 100)
  }), { seed: SEED, numRuns: RUNS })
})

t.test('lease expires by the clock of its holder before any other host may claim, at any clock drift', async (t) => {
  const settings = DEFAULT_LEASE_SETTINGS
  const rate = fc.double({ min: 1 - settings.driftRatio / 2.1, max: 1 + settings.driftRatio / 2.1, noNaN: true })
  fc.assert(fc.property(rate, rate, fc.nat(60_000), (holderRate, otherRate, readDelayMs) => {
    const claim = { offset: 1, sender: hostA, leaseMs: settings.leaseMs, released: false }
    const claimAtMs = (expiresForOthersMs(readDelayMs * otherRate, claim, settings)) / otherRate
    const input = {
      nowMs: claimAtMs * holderRate,
      self: hostA,
      claim,
      holderRecordMs: 0,
      ownRecordSentMs: 0,
      logReadableSinceMs: 0,
      suspectedSinceMs: undefined,
      rank: 0
    }
    t.notOk(isHolderByOwnClock(input, settings))
  }), { seed: SEED, numRuns: RUNS })
})
