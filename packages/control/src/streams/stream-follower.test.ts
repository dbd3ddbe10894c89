import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import type { LogRecord } from '@figloom/clients'
import { MemoryLog } from '@figloom/standin'
import { ok, okAsync, ResultAsync } from 'neverthrow'
import { StreamFollower, type StreamEvent } from './stream-follower.js'

function setUp () {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  const events: StreamEvent[] = []
  const onEvent = (event: StreamEvent) => { events.push(event) }
  const follower = StreamFollower.create({ log, stream: 's', clock, waitMs: 5000, retryMs: 100, timeoutMs: 100, onEvent })
  const offsets = () => events.flatMap((event) => event.kind === 'records' ? event.records.map(({ offset }) => offset) : [])
  return { clock, log, events, follower, offsets }
}

const recordAt = (offset: number): LogRecord => ({ offset, recordId: `r${offset}`, body: null })

t.test('emits records in order and without a gap', async (t) => {
  const { clock, log, follower, offsets } = setUp()
  const pages = [[1, 2, 4], [3, 4], [4, 5], [7, 8], [5, 6]].map((page) => page.map(recordAt))
  log.read = () => okAsync({ firstOffset: 1, nextOffset: 9, records: pages.shift() ?? [] })
  follower.follow(1)
  await clock.advance(5)
  follower.stop()
  t.same(offsets(), [1, 2, 3, 4])
})

t.test('a log that answers polls at once is polled with a pause in between', async (t) => {
  const { clock, log, events, follower } = setUp()
  log.read = () => okAsync({ firstOffset: 1, nextOffset: 1, records: [] })
  follower.follow(1)
  await clock.advance(1000)
  follower.stop()
  t.ok(events.length <= 51, `${events.length} polls`)
})

t.test('backs off while the log fails and detects within a second that it is back', async (t) => {
  const { clock, log, events, follower, offsets } = setUp()
  log.faults.down = true
  follower.follow(1)
  await clock.advance(60_000)
  const failures = events.length
  t.ok(failures < 90, `${failures} polls in a minute`)
  log.faults.down = false
  await clock.advance(900)
  t.equal(events.at(-1)?.kind, 'records')
  await log.append('s', 'r1', null)
  await clock.advance(50)
  t.same(offsets(), [1])
  follower.stop()
})

t.test('a poll that is never answered counts as failed', async (t) => {
  const { clock, log, events, follower } = setUp()
  log.faults.delayMs = 1e9
  follower.follow(1)
  await clock.advance(11_000)
  t.equal(events[0]?.kind, 'failed')
  follower.stop()
})

t.test('an empty answer after the timeout counts as failed', async (t) => {
  const { clock, log, events, follower } = setUp()
  const page = { firstOffset: 1, nextOffset: 1, records: [] }
  log.read = () => new ResultAsync(clock.sleep(20_000).then(() => ok(page)))
  follower.follow(1)
  await clock.advance(20_000)
  follower.stop()
  t.same(events.map(({ kind }) => kind), ['failed'])
})
