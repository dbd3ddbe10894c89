import t from 'tap'
import { ManualClock, ResultCode } from '@figloom/runtime'
import { MemoryLog } from './memory-log.js'

t.test('an append above the rate limit is refused without effect', async (t) => {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  log.faults.appendsPerSecond = 2
  const codes = []
  for (let append = 0; append < 3; append += 1) {
    const result = await log.append('s', `r${append}`, {})
    codes.push(result.match(() => 'ok', (failure) => `${failure.code.type} ${failure.retryAfterMs}`))
  }
  t.same(codes, ['ok', 'ok', `${ResultCode.LogRejected.type} 500`])
  t.equal(log.appendCount, 2)
  t.equal(log.appendedBytes, 2 * '{"recordId":"r0","body":{}}'.length)
  await clock.advance(500)
  t.ok((await log.append('s', 'r3', {})).isOk())
})

t.test('retention truncates the stream; an append wakes a long poll', async (t) => {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock, retentionMs: 1_000 })
  await log.append('s', 'old', 1)
  await clock.advance(1_001)
  const polled = log.read('s', { from: 2, waitMs: 5_000 })
  await clock.advance(100)
  await log.append('s', 'new', 2)
  t.same((await polled)._unsafeUnwrap(), { firstOffset: 2, nextOffset: 3, records: [{ offset: 2, recordId: 'new', body: 2 }] })
  t.equal((await log.read('s', { from: 1 }))._unsafeUnwrapErr().code, ResultCode.LogTruncated)
})
