import t from 'tap'
import { Clock, ManualClock, type Timer } from '@figloom/runtime'
import { LoopLag } from './loop-lag.js'

/** A clock that `busyMs` moves forward without firing timers, as in a process whose event loop is blocked. */
class BusyClock extends Clock {
  readonly #manual = ManualClock.create()
  busyMs = 0

  override now (): Date {
    return this.#manual.now()
  }

  override monotonicMs (): number {
    return this.#manual.monotonicMs() + this.busyMs
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    return this.#manual.setTimer(delayMs, callback)
  }

  async advance (durationMs: number): Promise<void> {
    await this.#manual.advance(durationMs)
  }
}

t.test('a process whose timers fire on time has no lag', async (t) => {
  const clock = ManualClock.create()
  const lag = LoopLag.create(clock)
  t.equal(lag.currentMs(), 0)
  lag.start()
  await clock.advance(1_000)
  t.equal(lag.currentMs(), 0)
})

t.test('the lag of a busy process is the delay of its timer, until the timer fires on time again', async (t) => {
  const clock = new BusyClock()
  const lag = LoopLag.create(clock)
  lag.start()
  clock.busyMs = 400
  t.equal(lag.currentMs(), 300)
  await clock.advance(100)
  t.equal(lag.currentMs(), 400)
  await clock.advance(100)
  t.equal(lag.currentMs(), 0)
  lag.stop()
})
