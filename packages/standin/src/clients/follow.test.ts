import t from 'tap'
import fc from 'fast-check'
import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { createFailure, ManualClock, ResultCode, type Failure } from '@figloom/runtime'
import { follow, LogClient, RecentIds, SeededRandomSource, type FollowHandlers, type FollowOptions, type LogPage, type LogRecord } from '@figloom/clients'
import { MemoryLog } from '../log/memory-log.js'

/** A log that answers every read with the same page, without waiting. */
class FixedLog extends LogClient {
  reads = 0

  constructor (private readonly page: LogPage) {
    super()
  }

  override append (): ResultAsync<{ offset: number }, Failure> {
    return errAsync(createFailure(ResultCode.LogRejected, 'read only'))
  }

  override read (): ResultAsync<LogPage, Failure> {
    this.reads += 1
    return okAsync(this.page)
  }
}

function createFollower (from: number, options: Partial<FollowOptions> = {}, handlers: Partial<FollowHandlers> = {}, retentionMs = Infinity) {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock, retentionMs })
  const abort = new AbortController()
  const delivered: LogRecord[] = []
  const failures: string[] = []
  const start = () => follow(log, clock, 's', from, {
    onRecord: (record) => { delivered.push(record) },
    onTruncated: () => undefined,
    onFailure: (failure) => failures.push(failure.code.type),
    ...handlers
  }, { signal: abort.signal, backoff: { firstMs: 100, maxMs: 1_000, random: SeededRandomSource.create(2) }, ...options })
  return { clock, log, abort, delivered, failures, start }
}

t.test('delivers records in order without duplicates, then waits for new ones', async (t) => {
  const { clock, log, abort, delivered, start } = createFollower(1)
  for (const id of ['a', 'b', 'a']) await log.append('s', id, id)
  const followed = start()
  await clock.advance(1)
  await log.append('s', 'c', 'c')
  await log.append('s', 'b', 'b')
  await clock.advance(1)
  t.same(delivered.map(({ offset, recordId }) => [offset, recordId]), [[1, 'a'], [2, 'b'], [4, 'c']])
  abort.abort()
  await followed
})

t.test('an outage delays records but loses none', async (t) => {
  const { clock, log, abort, delivered, failures, start } = createFollower(1)
  log.faults.down = true
  const followed = start()
  await clock.advance(5_000)
  t.ok(failures.length > 1)
  log.faults.down = false
  await log.append('s', 'a', 1)
  await clock.advance(2_000)
  t.equal(delivered.length, 1)
  abort.abort()
  await followed
})

t.test('truncation is reported; the handler chooses to continue or to end', async (t) => {
  const truncated: number[] = []
  const { clock, log, abort, delivered, start } = createFollower(1, {}, {
    onTruncated: (from) => { truncated.push(from); return 3 }
  }, 1_000)
  await log.append('s', 'a', 1)
  await log.append('s', 'b', 2)
  await clock.advance(1_500)
  await log.append('s', 'c', 3)
  const followed = start()
  await clock.advance(100)
  t.same(truncated, [1])
  t.same(delivered.map(({ recordId }) => recordId), ['c'])
  abort.abort()
  await followed

  const ending = createFollower(1, {}, {}, 1_000)
  await ending.log.append('s', 'a', 1)
  await ending.clock.advance(1_500)
  await ending.start()
  t.same(ending.delivered, [])
})

t.test('reads records before deliverFrom to detect duplicates', async (t) => {
  const { clock, log, abort, delivered, start } = createFollower(1, { deliverFrom: 3 })
  for (const id of ['a', 'b', 'a', 'c']) await log.append('s', id, id)
  const followed = start()
  await clock.advance(1)
  t.same(delivered.map(({ recordId }) => recordId), ['c'])
  abort.abort()
  await followed
})

t.test('an error in a handler ends the reader', async (t) => {
  const { log, start } = createFollower(1, {}, { onRecord: () => { throw new Error('handler') } })
  await log.append('s', 'a', 1)
  await t.rejects(start(), /handler/)
})

t.test('a log that answers empty reads at once is read at a bounded rate; records after a gap are not delivered', async (t) => {
  const log = new FixedLog({ firstOffset: 1, nextOffset: 3, records: [{ offset: 2, recordId: 'b', body: 0 }] })
  const clock = ManualClock.create()
  const abort = new AbortController()
  const delivered: LogRecord[] = []
  const followed = follow(log, clock, 's', 1, { onRecord: (record) => { delivered.push(record) }, onTruncated: () => undefined }, {
    signal: abort.signal, backoff: { firstMs: 100, maxMs: 1_000, random: SeededRandomSource.create(2) }, emptyPauseMs: 20
  })
  setImmediate(() => { if (log.reads > 10) abort.abort() })
  await clock.advance(100)
  t.equal(log.reads, 6)
  t.same(delivered, [])
  abort.abort()
  await followed
})

t.test('duplicates within the span are detected, independent of the start', async (t) => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 6 }), { maxLength: 60 }), fc.integer({ min: 1, max: 10 }), (ids, span) => {
    const fromStart = RecentIds.create(span)
    const verdicts = ids.map((id, offset) => fromStart.isDuplicate(offset, String(id)))
    const expected = ids.map((id, offset) => ids.slice(Math.max(0, offset - span), offset).includes(id))
    const start = Math.floor(ids.length / 2)
    const fromMiddle = RecentIds.create(span)
    const verdictsFromMiddle = ids.slice(start).map((id, index) => fromMiddle.isDuplicate(start + index, String(id)))
    return JSON.stringify(verdicts) === JSON.stringify(expected) && fromStart.size <= span + 1 &&
      JSON.stringify(verdictsFromMiddle.slice(span)) === JSON.stringify(expected.slice(start + span))
  }), { seed: 20260107, numRuns: 500 })
})
