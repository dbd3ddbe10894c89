// Guards against blocks of sound request parts, and against parts that end runners and are not found.
import fc from 'fast-check'
import t from 'tap'
import { CrashEvidence } from './crash-evidence.js'
import type { BlockDecision } from './likely-causes.js'
import type { EndRecord } from './types.js'

const none = () => false
const LONG_AGO_MS = -600_000

function end (endedMs: number, ...requests: string[][]): EndRecord {
  return { process: `process-${endedMs}`, endedMs, requests, running: [], inherited: false }
}

function nextBlock (evidence: CrashEvidence, isBlocked: (featureId: string) => boolean): BlockDecision | undefined {
  return evidence.nextBlocks(isBlocked)[0]
}

function evidenceOf (...ends: EndRecord[]): CrashEvidence {
  const evidence = CrashEvidence.create(LONG_AGO_MS)
  for (const record of ends) evidence.addEnd(record)
  return evidence
}

t.test('a part is blocked after three ends, not before', async (t) => {
  const evidence = evidenceOf(end(0, ['deadly']), end(1_000, ['deadly']))
  t.equal(nextBlock(evidence, none), undefined)
  evidence.addEnd(end(2_000, ['deadly']))
  t.same(nextBlock(evidence, none), { featureId: 'deadly', ends: 3 })
})

t.test('a part that was one of many at each end is blocked after five ends only', async (t) => {
  const others = (endedMs: number) => Array.from({ length: 9 }, (_, index) => [`session-${endedMs}-${index}`])
  const evidence = evidenceOf(...[0, 1_000, 2_000, 3_000].map((endedMs) => end(endedMs, ['part'], ...others(endedMs))))
  t.equal(nextBlock(evidence, none), undefined)
  evidence.addEnd(end(4_000, ['part'], ...others(4_000)))
  t.same(nextBlock(evidence, none), { featureId: 'part', ends: 5 })
})

t.test('one end that several hosts report counts once', async (t) => {
  const evidence = evidenceOf(end(0, ['deadly']), end(1_000, ['deadly']))
  t.notOk(evidence.addEnd({ ...end(1_000, ['deadly']), endedMs: 1_080 }))
  t.equal(nextBlock(evidence, none), undefined)
})

t.test('runners that end at the same moment count as one end', async (t) => {
  const ends = Array.from({ length: 13 }, (_, index) => end(index * 10, ['session'], ['other']))
  t.equal(nextBlock(evidenceOf(...ends), none), undefined)
})

t.test('an answer that begins after the ends clears the parts of its prompt', async (t) => {
  const evidence = evidenceOf(end(0, ['shared', 'deadly']), end(1_000, ['shared', 'deadly']), end(2_000, ['shared', 'deadly']))
  evidence.onAnswer(['shared'], 2_500)
  t.same(nextBlock(evidence, none)?.featureId, 'deadly')
  evidence.onAnswer(['deadly'], 2_600)
  t.equal(nextBlock(evidence, none), undefined)
})

t.test('an answer from before the ends does not clear a part for ever', async (t) => {
  const evidence = CrashEvidence.create(LONG_AGO_MS)
  evidence.onAnswer(['part'], 0)
  for (let count = 1; count < 8; count += 1) evidence.addEnd(end(10_000 + count * 300, ['part']))
  t.equal(nextBlock(evidence, none), undefined)
  evidence.addEnd(end(14_000, ['part']))
  t.same(nextBlock(evidence, none), { featureId: 'part', ends: 8 })
})

t.test('an answer clears a part of however many ends before it', async (t) => {
  const evidence = evidenceOf(...Array.from({ length: 12 }, (_, index) => end(index * 1_000, ['part'])))
  t.same(nextBlock(evidence, none), { featureId: 'part', ends: 12 })
  evidence.onAnswer(['part'], 12_000)
  t.equal(nextBlock(evidence, none), undefined)
  t.same(evidence.endsOf('part'), [])
})

t.test('an answer that another host reports clears a part', async (t) => {
  const evidence = evidenceOf(end(0, ['part']), end(1_000, ['part']), end(2_000, ['part']))
  evidence.addBegun({ featureId: 'part', begunMs: 1_900 })
  t.equal(nextBlock(evidence, none), undefined)
})

t.test('of parts that always occur together only the last one is blocked', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000].map((endedMs) => end(endedMs, ['shared', 'session', 'deadly'])))
  t.equal(nextBlock(evidence, none)?.featureId, 'deadly')
  t.equal(nextBlock(evidence, (featureId) => featureId === 'deadly'), undefined)
})

t.test('a part that ends runners behind varying later parts is blocked', async (t) => {
  const evidence = evidenceOf(end(0, ['deadly', 'a']), end(1_000, ['deadly', 'b']), end(2_000, ['deadly', 'c']))
  t.equal(nextBlock(evidence, none)?.featureId, 'deadly')
})

t.test('if runners still end after a wrong part was blocked, the right one follows after two more ends', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000].map((endedMs) => end(endedMs, ['deadly', 'session'])))
  const isBlocked = (featureId: string) => featureId === 'session'
  t.equal(nextBlock(evidence, none)?.featureId, 'session')
  evidence.addEnd(end(3_000, ['deadly', 'other']))
  t.equal(nextBlock(evidence, isBlocked), undefined)
  evidence.addEnd(end(4_000, ['deadly', 'another']))
  t.equal(nextBlock(evidence, isBlocked)?.featureId, 'deadly')
})

t.test('sound requests beside a blocked one are no suspects of that end', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000, 3_000, 4_000].map((endedMs) => end(endedMs, ['deadly'], ['session'])))
  t.equal(nextBlock(evidence, (featureId) => featureId === 'deadly'), undefined)
})

t.test('two parts that end runners at the same time are both blocked', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000].flatMap((endedMs) => [end(endedMs, ['first']), end(endedMs + 300, ['second'])]))
  const blocked = new Set<string>()
  for (let found = nextBlock(evidence, none); found !== undefined; found = nextBlock(evidence, (featureId) => blocked.has(featureId))) blocked.add(found.featureId)
  t.same(blocked, new Set(['first', 'second']))
})

t.test('records are bounded, however many ends and requests there are', async (t) => {
  const evidence = CrashEvidence.create(LONG_AGO_MS)
  for (let count = 0; count < 500; count += 1) {
    evidence.addEnd(end(count * 200, ...Array.from({ length: 100 }, (_, index) => Array.from({ length: 40 }, (_, part) => `${count}-${index}-${part}`))))
    evidence.onAnswer([`answered-${count}`], count * 200)
  }
  const records = evidence.endRecords()
  t.equal(records.length, 64)
  t.ok(records.every(({ requests }) => requests.length <= 192 && requests.every((request) => request.length <= 16)))
  t.ok(evidence.begunRecords().length <= 64 * 192 * 16)
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
  const timed = fc.array(record, { maxLength: 12 }).map((records) => records.map((one) => ({ ...one, running: [], inherited: false, endedMs: one.process.charCodeAt(0) * 400 })))
  const begun = fc.array(fc.record({ featureId: fc.constantFrom('a', 'b', 'c'), begunMs: fc.integer({ min: 40_000, max: 48_000 }) }), { maxLength: 3 })
  fc.assert(fc.property(timed, begun, fc.infiniteStream(fc.nat()), (ends, answers, order) => {
    const messages = [...ends.map((record) => ({ record })), ...answers.map((answer) => ({ answer }))]
    const shuffled = [...messages, ...messages].map((message) => ({ message, rank: order.next().value as number })).sort((a, b) => a.rank - b.rank).map(({ message }) => message)
    const decisions = [messages, shuffled].map((sequence) => {
      const evidence = CrashEvidence.create(LONG_AGO_MS)
      // All ends first: an answer is kept only if it clears an end that is known.
      for (const message of sequence) if ('record' in message) evidence.addEnd(message.record)
      for (const message of sequence) if ('answer' in message) evidence.addBegun(message.answer)
      return nextBlock(evidence, none)
    })
    t.same(decisions[1], decisions[0])
  }), { seed: 35, numRuns: 300 })
})

t.test('a request is blocked after three ends, its parts are not, and neither are requests that were present at fewer', async (t) => {
  const evidence = evidenceOf(end(0, ['shared', 'session', 'request-same'], ['shared', 'other', 'request-a']), end(1_000, ['shared', 'session', 'request-same']))
  t.same(evidence.nextBlocks(none), [])
  evidence.addEnd(end(2_000, ['shared', 'session', 'request-same'], ['shared', 'other', 'request-a']))
  t.same(evidence.nextBlocks(none), [{ featureId: 'request-same', ends: 3 }])
  t.same(evidence.nextBlocks((featureId) => featureId === 'request-same'), [])
})

t.test('three ends within a moment count for a request that nobody answered', async (t) => {
  const evidence = evidenceOf(end(0, ['request-same']), end(40, ['request-same']), end(80, ['request-same']))
  t.equal(nextBlock(evidence, none)?.featureId, 'request-same')
})

t.test('a request that many callers send is blocked after five causes, and not at all if answers come in between', async (t) => {
  const evidence = CrashEvidence.create(LONG_AGO_MS)
  evidence.onAnswer(['request-popular'], 0)
  for (let count = 0; count < 13; count += 1) evidence.addEnd(end(10_000 + count, ['request-popular']))
  for (let count = 1; count < 4; count += 1) evidence.addEnd(end(10_000 + count * 1_000, ['request-popular']))
  t.same(evidence.nextBlocks(none), [])
  const later = evidenceOf(...evidence.endRecords(), end(15_000, ['request-popular']))
  later.onAnswer(['request-popular'], 15_500)
  t.same(later.nextBlocks(none), [])
  evidence.addEnd(end(15_000, ['request-popular']))
  t.equal(nextBlock(evidence, none)?.featureId, 'request-popular')
})

t.test('a request in use is not blocked by ends behind which an answer to it began, a request that nobody else sends is', async (t) => {
  const inUse = CrashEvidence.create(0)
  const other = CrashEvidence.create(LONG_AGO_MS)
  for (const evidence of [inUse, other]) {
    for (let count = 0; count < 6; count += 1) {
      evidence.addEnd({ ...end(1_000 + count * 700), running: ['request-same'] })
      evidence.onRequestBegun('request-same', 1_300 + count * 700)
    }
  }
  t.same(inUse.nextBlocks(none), [])
  t.equal(nextBlock(other, none)?.featureId, 'request-same')
})

t.test('of requests that were present at the same ends all are blocked, as any of them may be the cause', async (t) => {
  const evidence = evidenceOf(...[0, 1_000, 2_000].map((endedMs) => end(endedMs, ['request-a'], ['request-b'])))
  t.same(evidence.nextBlocks(none).map(({ featureId }) => featureId), ['request-a', 'request-b'])
})

t.test('a deadly part is blocked at the fifth end, also if its requests come again', async (t) => {
  const evidence = CrashEvidence.create(LONG_AGO_MS)
  const blocked = new Set<string>()
  const isBlocked = (featureId: string) => blocked.has(featureId)
  for (const [index, key] of ['request-a', 'request-a', 'request-a', 'request-b', 'request-b'].entries()) {
    evidence.addEnd(end(index * 1_000, ['shared', 'deadly', key]))
    evidence.onAnswer(['shared'], index * 1_000 + 500)
    for (const { featureId } of evidence.nextBlocks(isBlocked)) blocked.add(featureId)
  }
  t.same([...blocked], ['request-a', 'deadly'])
})

t.test('a deadly part is blocked beside several blocked requests that have it', async (t) => {
  const evidence = evidenceOf(...['a', 'b'].flatMap((key, index) => [0, 1_000, 2_000].map((endedMs) => end(endedMs + index * 300, ['deadly', `request-${key}`]))))
  const isBlocked = (featureId: string) => featureId.startsWith('request-')
  t.equal(nextBlock(evidence, isBlocked)?.featureId, 'deadly')
})

t.test('hosts that learn of too many requests at one end keep the same ones', async (t) => {
  const requests = Array.from({ length: 300 }, (_, index) => ['shared', `request-${index * 7919 % 300}`])
  const [forward, backward] = [CrashEvidence.create(LONG_AGO_MS), CrashEvidence.create(LONG_AGO_MS)]
  for (const request of requests) forward.addEnd(end(0, request))
  backward.addEnd(end(0, ...requests.toReversed()))
  const keysOf = (evidence: CrashEvidence) => evidence.endRecords().flatMap((record) => record.requests.map((request) => request.at(-1))).sort()
  t.same(keysOf(forward), keysOf(backward))
  t.equal(keysOf(forward).length, 192)
})

t.test('features whose use before a restart is not known are blocked after more ends', async (t) => {
  const evidence = CrashEvidence.create(0)
  for (let count = 1; count < 8; count += 1) {
    evidence.addEnd({ ...end(count * 500, ['part', 'request-same']), inherited: count < 3 })
    if (count < 6) t.same(evidence.nextBlocks(none), [])
  }
  t.same(evidence.nextBlocks(none), [{ featureId: 'request-same', ends: 7 }])
  t.same(evidence.nextBlocks((featureId) => featureId === 'request-same'), [])
  const parts = CrashEvidence.create(0)
  for (let count = 1; count < 9; count += 1) {
    t.same(parts.nextBlocks(none), [])
    parts.addEnd(end(count * 300, ['part']))
  }
  t.equal(nextBlock(parts, none)?.featureId, 'part')
})
