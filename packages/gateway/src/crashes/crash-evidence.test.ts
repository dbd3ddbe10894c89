// Guards against blocks of sound request parts, and against parts that end runners and are not found.
import fc from 'fast-check'
import t from 'tap'
import { CrashEvidence } from './crash-evidence.js'
import type { EndRecord } from './types.js'

const none = () => false

function end (endedMs: number, ...requests: string[][]): EndRecord {
  return { process: `process-${endedMs}`, endedMs, requests }
}

function evidenceOf (...ends: EndRecord[]): CrashEvidence {
  const evidence = CrashEvidence.create()
  for (const record of ends) evidence.addEnd(record)
  return evidence
}

t.test('a part is blocked after three ends, not before', async (t) => {
  const evidence = evidenceOf(end(0, ['deadly']), end(1_000, ['deadly']))
  t.equal(evidence.nextBlock(none), undefined)
  evidence.addEnd(end(2_000, ['deadly']))
  t.same(evidence.nextBlock(none), { featureId: 'deadly', ends: 3 })
})

t.test('a part that was one of many at each end is blocked after five ends only', async (t) => {
  const others = (endedMs: number) => Array.from({ length: 9 }, (_, index) => [`session-${endedMs}-${index}`])
  const evidence = evidenceOf(...[0, 1_000, 2_000, 3_000].map((endedMs) => end(endedMs, ['part'], ...others(endedMs))))
  t.equal(evidence.nextBlock(none), undefined)
  evidence.addEnd(end(4_000, ['part'], ...others(4_000)))
  t.same(evidence.nextBlock(none), { featureId: 'part', ends: 5 })
})

t.test('one end that several hosts report counts once', async (t) => {
  const evidence = evidenceOf(end(0, ['deadly']), end(1_000, ['deadly']))
  t.notOk(evidence.addEnd({ ...end(1_000, ['deadly']), endedMs: 1_080 }))
  t.equal(evidence.nextBlock(none), undefined)
})

t.test('runners that end at the same moment count as one end', async (t) => {
  const ends = Array.from({ length: 13 }, (_, index) => end(index * 10, ['session'], ['other']))
  t.equal(evidenceOf(...ends).nextBlock(none), undefined)
})

t.test('an answer that begins after the ends clears the parts of its prompt', async (t) => {
  const evidence = evidenceOf(end(0, ['shared', 'deadly']), end(1_000, ['shared', 'deadly']), end(2_000, ['shared', 'deadly']))
  evidence.onBegun(['shared'], 2_500)
  t.same(evidence.nextBlock(none)?.featureId, 'deadly')
  evidence.onBegun(['deadly'], 2_600)
  t.equal(evidence.nextBlock(none), undefined)
})

t.test('an answer from before the ends does not clear a part for ever', async (t) => {
  const evidence = CrashEvidence.create()
  evidence.onBegun(['part'], 0)
  for (let count = 1; count < 8; count += 1) evidence.addEnd(end(10_000 + count * 300, ['part']))
  t.equal(evidence.nextBlock(none), undefined)
  evidence.addEnd(end(14_000, ['part']))
  t.same(evidence.nextBlock(none), { featureId: 'part', ends: 8 })
})

t.test('an answer clears a part of however many ends before it', async (t) => {
  const evidence = evidenceOf(...Array.from({ length: 12 }, (_, index) => end(index * 1_000, ['part'])))
  t.same(evidence.nextBlock(none), { featureId: 'part', ends: 12 })
  evidence.onBegun(['part'], 12_000)
  t.equal(evidence.nextBlock(none), undefined)
  t.same(evidence.endsOf('part'), [])
})

t.test('an answer that another host reports clears a part', async (t) => {
  const evidence = evidenceOf(end(0, ['part']), end(1_000, ['part']), end(2_000, ['part']))
  evidence.addBegun({ featureId: 'part', begunMs: 1_900 })
  t.equal(evidence.nextBlock(none), undefined)
})

t.test('of parts that always occur together only the last one is blocked', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000].map((endedMs) => end(endedMs, ['shared', 'session', 'deadly'])))
  t.equal(evidence.nextBlock(none)?.featureId, 'deadly')
  t.equal(evidence.nextBlock((featureId) => featureId === 'deadly'), undefined)
})

t.test('a part that ends runners behind varying later parts is blocked', async (t) => {
  const evidence = evidenceOf(end(0, ['deadly', 'a']), end(1_000, ['deadly', 'b']), end(2_000, ['deadly', 'c']))
  t.equal(evidence.nextBlock(none)?.featureId, 'deadly')
})

t.test('if runners still end after a wrong part was blocked, the right one follows after two more ends', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000].map((endedMs) => end(endedMs, ['deadly', 'session'])))
  const isBlocked = (featureId: string) => featureId === 'session'
  t.equal(evidence.nextBlock(none)?.featureId, 'session')
  evidence.addEnd(end(3_000, ['deadly', 'other']))
  t.equal(evidence.nextBlock(isBlocked), undefined)
  evidence.addEnd(end(4_000, ['deadly', 'another']))
  t.equal(evidence.nextBlock(isBlocked)?.featureId, 'deadly')
})

t.test('sound requests beside a blocked one are no suspects of that end', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000, 3_000, 4_000].map((endedMs) => end(endedMs, ['deadly'], ['session'])))
  t.equal(evidence.nextBlock((featureId) => featureId === 'deadly'), undefined)
})

t.test('two parts that end runners at the same time are both blocked', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000].flatMap((endedMs) => [end(endedMs, ['first']), end(endedMs + 300, ['second'])]))
  const blocked = new Set<string>()
  for (let found = evidence.nextBlock(none); found !== undefined; found = evidence.nextBlock((featureId) => blocked.has(featureId))) blocked.add(found.featureId)
  t.same(blocked, new Set(['first', 'second']))
})

t.test('records are bounded, however many ends and requests there are', async (t) => {
  const evidence = CrashEvidence.create()
  for (let count = 0; count < 500; count += 1) {
    evidence.addEnd(end(count * 200, ...Array.from({ length: 100 }, (_, index) => Array.from({ length: 40 }, (_, part) => `${count}-${index}-${part}`))))
    evidence.onBegun([`answered-${count}`], count * 200)
  }
  const records = evidence.endRecords()
  t.equal(records.length, 64)
  t.ok(records.every(({ requests }) => requests.length <= 32 && requests.every((request) => request.length <= 16)))
  t.ok(evidence.begunRecords().length <= 64 * 32 * 16)
})

t.test('old records are dropped', async (t) => {
  const evidence = evidenceOf(end(0, ['part']))
  evidence.sweep(700_000)
  t.same(evidence.endRecords(), [])
  t.same(evidence.endsOf('part'), [])
})

t.test('hosts that know the same records decide the same, in whatever order and however often these arrive', async (t) => {
  const request = fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'e'), { minLength: 1, maxLength: 3 })
  const record = fc.record({ process: fc.constantFrom('p', 'q', 'r', 's', 't', 'u'), requests: fc.array(request, { maxLength: 3 }) })
  const timed = fc.array(record, { maxLength: 12 }).map((records) => records.map((one) => ({ ...one, endedMs: one.process.charCodeAt(0) * 400 })))
  const begun = fc.array(fc.record({ featureId: fc.constantFrom('a', 'b', 'c'), begunMs: fc.integer({ min: 40_000, max: 48_000 }) }), { maxLength: 3 })
  fc.assert(fc.property(timed, begun, fc.infiniteStream(fc.nat()), (ends, answers, order) => {
    const messages = [...ends.map((record) => ({ record })), ...answers.map((answer) => ({ answer }))]
    const shuffled = [...messages, ...messages].map((message) => ({ message, rank: order.next().value as number })).sort((a, b) => a.rank - b.rank).map(({ message }) => message)
    const decisions = [messages, shuffled].map((sequence) => {
      const evidence = CrashEvidence.create()
      // All ends first: an answer is kept only if it clears an end that is known.
      for (const message of sequence) if ('record' in message) evidence.addEnd(message.record)
      for (const message of sequence) if ('answer' in message) evidence.addBegun(message.answer)
      return evidence.nextBlock(none)
    })
    t.same(decisions[1], decisions[0])
  }), { seed: 35, numRuns: 300 })
})
