import t from 'tap'
import { ManualClock } from './manual-clock.js'

t.test('fires timers in the order of their due times', async (t) => {
  const clock = ManualClock.create()
  const fired: string[] = []
  clock.setTimer(20, () => fired.push('b'))
  clock.setTimer(10, () => fired.push('a'))
  clock.setTimer(20, () => fired.push('c'))
  clock.setTimer(30, () => fired.push('late'))
  await clock.advance(25)
  t.same(fired, ['a', 'b', 'c'])
  t.equal(clock.monotonicMs(), 25)
})

t.test('sleep ends on abort', async (t) => {
  const clock = ManualClock.create()
  const abort = new AbortController()
  const slept = clock.sleep(1000, abort.signal)
  abort.abort()
  await slept
  t.equal(clock.monotonicMs(), 0)
})
