import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { InstantSource } from './instant.js'

t.test('time goes on as the steady clock says', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  await clock.advance(700)
  t.equal(source.elapsedMs(instant), 700)
})

t.test('a suspension counts, also behind a step back', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  clock.stepTimeOfDay(-2_000)
  t.equal(source.elapsedMs(instant), 0)
  clock.stepTimeOfDay(1_500)
  t.equal(source.elapsedMs(instant), 1_500)
})

t.test('a suspension before the instant does not count', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  clock.stepTimeOfDay(1_500)
  const instant = source.now()
  await clock.advance(100)
  t.equal(source.elapsedMs(instant), 100)
})

t.test('the time of day may drift', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  for (let step = 0; step < 50; step += 1) {
    clock.stepTimeOfDay(step % 2 === 0 ? 3 : -3)
    source.now()
  }
  t.equal(source.elapsedMs(instant), 0)
})

t.test('only the clock passed in counts', async (t) => {
  const clock = ManualClock.create()
  const source = InstantSource.create(clock)
  const instant = source.now()
  await new Promise((resolve) => setTimeout(resolve, 30))
  t.equal(source.elapsedMs(instant), 0)
})
