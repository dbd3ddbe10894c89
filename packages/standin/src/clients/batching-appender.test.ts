import t from 'tap'
import { ManualClock, SequentialIdSource, type Failure } from '@figloom/runtime'
import { BatchingAppender, readBatch, SeededRandomSource, type AppendedEntry } from '@figloom/clients'
import type { ResultAsync } from 'neverthrow'
import { MemoryLog } from '../log/memory-log.js'

const distantDeadlineMs = 60_000

function createAppender (options: { maxEntries?: number, maxWaiting?: number } = {}) {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  const faults: unknown[] = []
  const appender = BatchingAppender.create({
    log,
    clock,
    ids: SequentialIdSource.create('batch'),
    stream: 's',
    windowMs: 10,
    maxEntries: options.maxEntries ?? 100,
    maxWaiting: options.maxWaiting ?? 1_000,
    backoff: { firstMs: 50, maxMs: 500, random: SeededRandomSource.create(3) },
    onFault: (error) => faults.push(error)
  })
  return { clock, log, appender, faults }
}

async function outcome (result: ResultAsync<AppendedEntry, Failure>): Promise<unknown> {
  return (await result).match(({ offset, index }) => `${offset}.${index}`, (failure) => failure.code.type)
}

t.test('entries of one batch window share a record', async (t) => {
  const { clock, log, appender } = createAppender()
  const results = ['a', 'b', 'c'].map((id) => outcome(appender.append(id, { id }, distantDeadlineMs)))
  await clock.advance(9)
  t.equal(log.appendCount, 0)
  await clock.advance(1)
  t.same(await Promise.all(results), ['1.0', '1.1', '1.2'])
  const [record] = (await log.read('s', { from: 1 }))._unsafeUnwrap().records
  t.match(record && readBatch(record), [{ entryId: 'a', offset: 1, index: 0 }, { entryId: 'b' }, { entryId: 'c', body: { id: 'c' }, index: 2 }])
})

t.test('a full batch is sent without waiting for the window', async (t) => {
  const { clock, appender } = createAppender({ maxEntries: 2 })
  const results = ['a', 'b', 'c'].map((id) => outcome(appender.append(id, {}, distantDeadlineMs)))
  await clock.advance(0)
  t.same(await Promise.all(results.slice(0, 2)), ['1.0', '1.1'])
  await clock.advance(10)
  t.equal(await results[2], '2.0')
})

t.test('a batch without an answer is retried under the same record id', async (t) => {
  const { clock, log, appender } = createAppender()
  log.faults.loseAnswers = 1
  const result = outcome(appender.append('a', {}, distantDeadlineMs))
  await clock.advance(1_000)
  t.equal(await result, '2.0')
  const { records } = (await log.read('s', { from: 1 }))._unsafeUnwrap()
  t.same(records.map(({ recordId }) => recordId), ['batch-1', 'batch-1'])
})

t.test('at its deadline an entry that was sent has an unknown outcome, one that was not is rejected', async (t) => {
  const { clock, log, appender } = createAppender()
  log.faults.down = true
  const sent = outcome(appender.append('sent', {}, 1_000))
  await clock.advance(20)
  const waiting = outcome(appender.append('waiting', {}, 500))
  const later = outcome(appender.append('later', {}, distantDeadlineMs))
  await clock.advance(500)
  t.equal(await waiting, 'log_rejected')
  await clock.advance(500)
  t.equal(await sent, 'log_unavailable')
  log.faults.down = false
  await clock.advance(5_000)
  t.equal(await later, '1.0')
  const { records } = (await log.read('s', { from: 1 }))._unsafeUnwrap()
  t.same(records.flatMap(readBatch).map(({ entryId }) => entryId), ['later'], 'an entry is not sent after its deadline')
})

t.test('entries above maxWaiting are refused immediately', async (t) => {
  const { clock, log, appender } = createAppender({ maxWaiting: 1 })
  log.faults.down = true
  const first = appender.append('first', {}, 1_000)
  await clock.advance(10)
  const second = appender.append('second', {}, 1_000)
  t.equal(await outcome(appender.append('third', {}, 1_000)), 'log_rejected')
  await clock.advance(2_000)
  t.same([await outcome(first), await outcome(second)], ['log_unavailable', 'log_rejected'])
})

t.test('stop rejects entries that were not sent and waits for the append in flight', async (t) => {
  const { clock, log, appender, faults } = createAppender()
  log.faults.delayMs = 100
  const sent = outcome(appender.append('sent', {}, distantDeadlineMs))
  await clock.advance(10)
  const waiting = outcome(appender.append('waiting', {}, distantDeadlineMs))
  appender.stop()
  t.equal(await waiting, 'log_rejected')
  t.equal(await outcome(appender.append('later', {}, distantDeadlineMs)), 'log_rejected')
  await clock.advance(100)
  t.equal(await sent, '1.0')
  t.same(faults, [])
})
