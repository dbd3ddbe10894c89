import t from 'tap'
import fc from 'fast-check'
import { applyClaimRecord, ClaimState } from './claim-state.js'
import { hashKey, shortenFingerprint } from './keys.js'
import { SnapshotCollector, toSnapshotParts } from './snapshot.js'
import { CLAIM_RULE, type ClaimLogEntry } from './types.js'

const keys = ['k1', 'k2', 'k3', 'k4'].map((key) => hashKey('booking', key))
const attempts = ['a1', 'a2', 'a3', 'a4', 'a5']
const fingerprint = shortenFingerprint(new Uint8Array(32))
const NUM_RUNS = 2000
const SEED = 31

/** Reference implementation of the same rules with plain objects. */
class ReferenceClaims {
  generations: Map<string, { attempt: string, open: boolean }>[] = [new Map(), new Map()]
  generation = 0
  lastClaim = 0

  holderOf (key: string) {
    return this.generations.map((keysOf) => keysOf.get(key)).find((holder) => holder !== undefined)
  }

  apply (entry: ClaimLogEntry, offset: number): void {
    if (entry.kind === 'claim') {
      this.lastClaim = offset
      if (this.holderOf(entry.key) === undefined) this.generations[0]?.set(entry.key, { attempt: entry.attemptId, open: true })
    } else if (entry.kind === 'rotate') {
      if (entry.generation === this.generation + 1) this.generations = [new Map(), this.generations[0] as never]
      if (entry.generation === this.generation + 1) this.generation += 1
    } else if (entry.kind === 'reset') {
      if (this.lastClaim >= entry.since) return
      this.generations = [new Map(), new Map()]
      this.generation = 0
    } else {
      const holder = this.holderOf(entry.key)
      if (holder?.attempt !== entry.attemptId || !holder.open) return
      if (entry.kind === 'void') for (const keysOf of this.generations) keysOf.delete(entry.key)
      holder.open = false
    }
  }
}

const entry: fc.Arbitrary<ClaimLogEntry> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('claim' as const), key: fc.constantFrom(...keys), fingerprint: fc.constant(fingerprint), attemptId: fc.constantFrom(...attempts), host: fc.constant('h'), incarnation: fc.constant('1') }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('void' as const), key: fc.constantFrom(...keys), attemptId: fc.constantFrom(...attempts) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('outcome' as const), key: fc.constantFrom(...keys), attemptId: fc.constantFrom(...attempts) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('rotate' as const), generation: fc.integer({ min: 1, max: 6 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('reset' as const), since: fc.integer({ min: 1, max: 30 }) }) }
)

const batches = fc.array(fc.array(entry, { minLength: 1, maxLength: 4 }), { maxLength: 30 })

function toRecord (entries: ClaimLogEntry[], index: number) {
  return { offset: index + 1, recordId: `r${index}`, body: { rule: CLAIM_RULE, entries } }
}

function holdersOf (state: ClaimState) {
  return keys.map((key) => attempts.filter((attempt) => state.isHeldBy(key, attempt)).concat(String(state.stateOf(key))))
}

t.test('the claim state agrees with the reference implementation after each record', (t) => {
  fc.assert(fc.property(batches, (records) => {
    const [state, reference] = [ClaimState.create(), new ReferenceClaims()]
    for (const [index, entries] of records.entries()) {
      applyClaimRecord(state, toRecord(entries, index))
      for (const entry of entries) reference.apply(entry, index + 1)
      for (const key of keys) {
        const holder = reference.holderOf(key)
        if ((holder === undefined) !== (state.stateOf(key) === undefined)) return false
        if (holder !== undefined && holder.open !== state.isHeldBy(key, holder.attempt)) return false
      }
    }
    return true
  }), { numRuns: NUM_RUNS, seed: SEED })
  t.end()
})

t.test('a state restored from a snapshot has the same holders as one read from the whole stream', (t) => {
  fc.assert(fc.property(batches, fc.nat(30), (records, at) => {
    const whole = ClaimState.create()
    let restored: ClaimState | undefined
    for (const [index, entries] of records.entries()) {
      if (index === at) restored = roundTrip(whole)
      applyClaimRecord(whole, toRecord(entries, index))
      if (restored !== undefined) applyClaimRecord(restored, toRecord(entries, index))
    }
    return restored === undefined || JSON.stringify(holdersOf(whole)) === JSON.stringify(holdersOf(restored))
  }), { numRuns: NUM_RUNS, seed: SEED })
  t.end()
})

t.test('a snapshot of several parts is assembled in any order of the parts, and only once all have arrived', (t) => {
  const state = ClaimState.create()
  const claim = (key: string): ClaimLogEntry => ({ kind: 'claim', key, fingerprint, attemptId: 'a1', host: 'h', incarnation: '1' })
  for (let n = 0; n < 45; n++) applyClaimRecord(state, toRecord(Array.from({ length: 100 }, (_, m) => claim(hashKey('s', `${n}-${m}`))), n))
  const parts = toSnapshotParts(state, 's', 0).map((snapshot, n) => ({ offset: 100 + n, recordId: `p${n}`, body: { rule: CLAIM_RULE, snapshot } }))
  const collector = SnapshotCollector.create()
  const restored = [...parts].reverse().map((part) => collector.add(part, 0))
  t.equal(parts.length, 3)
  t.same(restored.map((snapshot) => snapshot?.state.size), [undefined, undefined, 4500])
  t.equal(restored.at(-1)?.state.isHeldBy(hashKey('s', '44-99'), 'a1'), true)
  t.end()
})

t.test('a record of a newer rule version or out of order is not applied', (t) => {
  const state = ClaimState.create()
  t.notOk(applyClaimRecord(state, { offset: 1, recordId: 'r', body: { rule: 2, anything: true } }).applied)
  t.notOk(applyClaimRecord(state, toRecord([], 1)).applied)
  t.ok(applyClaimRecord(state, { offset: 1, recordId: 'r', body: 'malformed' }).applied)
  t.equal(state.offset, 1)
  t.end()
})

function roundTrip (state: ClaimState): ClaimState | undefined {
  const collector = SnapshotCollector.create()
  const parts = toSnapshotParts(state, 'snapshot', 0)
  return parts.map((snapshot, part) => collector.add({ offset: part + 1, recordId: `s${part}`, body: JSON.parse(JSON.stringify({ rule: CLAIM_RULE, snapshot })) }, 0)).at(-1)?.state
}
