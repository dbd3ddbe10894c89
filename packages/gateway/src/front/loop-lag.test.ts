import t from 'tap'
import { Clock, ManualClock, silentLogger, type LogFields, type Timer } from '@figloom/runtime'
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

t.test('long turns are logged at once, then with their number and the longest at most every five seconds', async (t) => {
  const clock = new BusyClock()
  const lines: (LogFields | undefined)[] = []
  const lag = LoopLag.create(clock, { ...silentLogger, warn: (_message, fields) => { lines.push(fields) } })
  lag.start()
  for (const turnMs of [200, 400, 700, 500]) {
    clock.busyMs += turnMs
    await clock.advance(100)
  }
  t.same(lines, [{ longestMs: 400, turns: 1 }])
  await clock.advance(5_000)
  t.same(lines.slice(1), [{ longestMs: 700, turns: 2 }])
  await clock.advance(20_000)
  t.equal(lines.length, 2)
  lag.stop()
})
