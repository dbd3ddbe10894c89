import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { InstantSource } from './instant.js'

t.test('elapsed time follows the monotonic clock', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  await clock.advance(700)
  t.equal(source.elapsedMs(instant), 700)
})

t.test('a suspension counts, also after a backward step of the wall clock', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  clock.stepWallClock(-2_000)
  t.equal(source.elapsedMs(instant), 0)
  clock.stepWallClock(1_500)
  t.equal(source.elapsedMs(instant), 1_500)
})

t.test('a suspension before the start of the measurement does not count', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  clock.stepWallClock(1_500)
  const instant = source.now()
  await clock.advance(100)
  t.equal(source.elapsedMs(instant), 100)
})

t.test('small drifts of the wall clock do not count as suspension', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  for (let step = 0; step < 50; step += 1) {
    clock.stepWallClock(step % 2 === 0 ? 3 : -3)
    source.now()
  }
  t.equal(source.elapsedMs(instant), 0)
})

t.test('only the clock that was passed in counts, not the real one', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  await new Promise((resolve) => setTimeout(resolve, 30))
  t.equal(source.elapsedMs(instant), 0)
})
