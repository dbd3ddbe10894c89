import t from 'tap'
import { ManualClock, type Failure } from '@figloom/runtime'
import { appendUntilConfirmed, backoffMs, SeededRandomSource, type AppendedRecord } from '@figloom/clients'
import type { ResultAsync } from 'neverthrow'
import { MemoryLog } from '../log/memory-log.js'

function createLog () {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  const backoff = { firstMs: 50, maxMs: 1_000, random: SeededRandomSource.create(1) }
  const append = (deadlineMs: number, signal?: AbortSignal) =>
    appendUntilConfirmed(log, clock, 's', 'r', { a: 1 }, { deadlineMs, backoff, ...(signal === undefined ? {} : { signal }) })
  return { clock, log, append }
}

async function outcome (result: ResultAsync<AppendedRecord, Failure>): Promise<unknown> {
  return (await result).match((value) => value, (failure) => failure.code.type)
}

t.test('an append without an answer is retried under the same record id', async (t) => {
  const { clock, log, append } = createLog()
  log.faults.loseAnswers = 2
  const appended = outcome(append(10_000))
  await clock.advance(10_000)
  t.same(await appended, { offset: 3, mayBeDuplicated: true })
  const page = (await log.read('s', { from: 1 }))._unsafeUnwrap()
  t.same(page.records.map(({ recordId }) => recordId), ['r', 'r', 'r'])
})

t.test('a refused append is retried after retryAfterMs and takes effect once', async (t) => {
  const { clock, log, append } = createLog()
  log.faults.rejectAppends = 1
  const appended = outcome(append(10_000))
  await clock.advance(99)
  t.equal(log.appendCount, 0)
  await clock.advance(1_000)
  t.same(await appended, { offset: 1, mayBeDuplicated: false })
})

t.test('at the deadline the outcome is unknown after a lost answer, else the append is rejected', async (t) => {
  for (const [fault, code] of [['loseAnswers', 'log_unavailable'], ['rejectAppends', 'log_rejected']] as const) {
    const { clock, log, append } = createLog()
    log.faults[fault] = 1_000
    const appended = outcome(append(3_000))
    await clock.advance(3_000)
    t.equal(await appended, code)
  }
})

t.test('the outcome stays unknown if a refusal follows a lost answer', async (t) => {
  const { clock, log, append } = createLog()
  log.faults.loseAnswers = 1
  const appended = outcome(append(3_000))
  await clock.advance(0)
  log.faults.rejectAppends = 1_000
  await clock.advance(3_000)
  t.equal(await appended, 'log_unavailable')
})

t.test('nothing is sent after the deadline or an abort', async (t) => {
  const { clock, log, append } = createLog()
  await clock.advance(10)
  t.equal(await outcome(append(10)), 'log_rejected')
  t.equal(await outcome(append(1_000, AbortSignal.abort())), 'log_rejected')
  t.equal(log.appendCount, 0)
})

t.test('backoff doubles up to its limit', async (t) => {
  const backoff = { firstMs: 100, maxMs: 1_000, random: { nextFraction: () => 0.5 } }
  t.same([0, 1, 2, 3, 4, 50].map((attempt) => backoffMs(backoff, attempt)), [50, 100, 200, 400, 500, 500])
})
