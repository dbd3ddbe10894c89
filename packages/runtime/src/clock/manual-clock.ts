import { Clock, type Timer } from './clock.js'

type PendingTimer = { dueMs: number, sequence: number, callback: () => void }

/** Clock for tests, which only moves when it is advanced. Timers fire by due time, and by creation order if those are equal. */
export class ManualClock extends Clock {
  #elapsedMs = 0
  #wallClockStepMs = 0
  #nextSequence = 0
  readonly #startedAt: Date
  readonly #pending = new Set<PendingTimer>()

  private constructor (startedAt: Date) {
    super()
    this.#startedAt = startedAt
  }

  static create (startedAt = new Date('2026-01-01T00:00:00Z')): ManualClock {
    return new ManualClock(startedAt)
  }

  override now (): Date {
    return new Date(this.#startedAt.getTime() + this.#wallClockStepMs + this.#elapsedMs)
  }

  /** Moves the wall clock without the monotonic time, as a clock correction or a suspension of the machine does. */
  stepWallClock (byMs: number): void {
    this.#wallClockStepMs += byMs
  }

  override monotonicMs (): number {
    return this.#elapsedMs
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    const timer = { dueMs: this.#elapsedMs + Math.max(0, delayMs), sequence: this.#nextSequence++, callback }
    this.#pending.add(timer)
    return { cancel: () => { this.#pending.delete(timer) } }
  }

  /** Monotonic time at which the next timer is due; undefined without timers. */
  nextDueMs (): number | undefined {
    return this.#nextTimer()?.dueMs
  }

  /** Moves time forward and fires the timers that become due, letting promises settle after each. */
  async advance (durationMs: number): Promise<void> {
    const targetMs = this.#elapsedMs + durationMs
    await settlePromises()
    for (let timer = this.#nextTimer(); timer !== undefined && timer.dueMs <= targetMs; timer = this.#nextTimer()) {
      this.#pending.delete(timer)
      this.#elapsedMs = Math.max(this.#elapsedMs, timer.dueMs)
      timer.callback()
      await settlePromises()
    }
    this.#elapsedMs = targetMs
    await settlePromises()
  }

  /** Moves time forward and fires the timers that become due, without letting promises settle in between. */
  advanceSync (durationMs: number): void {
    const targetMs = this.#elapsedMs + durationMs
    for (let timer = this.#nextTimer(); timer !== undefined && timer.dueMs <= targetMs; timer = this.#nextTimer()) {
      this.#pending.delete(timer)
      this.#elapsedMs = Math.max(this.#elapsedMs, timer.dueMs)
      timer.callback()
    }
    this.#elapsedMs = targetMs
  }

  #nextTimer (): PendingTimer | undefined {
    let earliest: PendingTimer | undefined
    for (const timer of this.#pending) {
      const isEarlier = earliest === undefined || timer.dueMs < earliest.dueMs ||
        (timer.dueMs === earliest.dueMs && timer.sequence < earliest.sequence)
      if (isEarlier) earliest = timer
    }
    return earliest
  }
}

function settlePromises (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
