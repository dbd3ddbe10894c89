import { Clock, type Timer } from './clock.js'

type PendingTimer = { dueMs: number, order: number, callback: () => void }

/** Clock that moves only when a test advances it. Timers fire in due order, ties in creation order. */
export class ManualClock extends Clock {
  #elapsedMs = 0
  #stepMs = 0
  #order = 0
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
    return new Date(this.#startedAt.getTime() + this.#stepMs + this.#elapsedMs)
  }

  /** Moves the time of day alone, as a correction or a suspension of the machine does. */
  stepTimeOfDay (byMs: number): void {
    this.#stepMs += byMs
  }

  override monotonicMs (): number {
    return this.#elapsedMs
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    const timer = { dueMs: this.#elapsedMs + Math.max(0, delayMs), order: this.#order++, callback }
    this.#pending.add(timer)
    return { cancel: () => { this.#pending.delete(timer) } }
  }

  /** Due time of the next timer in milliseconds, if there is one. */
  nextDueMs (): number | undefined {
    return this.#next()?.dueMs
  }

  /** Moves time forward and fires all timers due, letting promises settle after each. */
  async advance (durationMs: number): Promise<void> {
    const targetMs = this.#elapsedMs + durationMs
    await settlePromises()
    for (let timer = this.#next(); timer !== undefined && timer.dueMs <= targetMs; timer = this.#next()) {
      this.#pending.delete(timer)
      this.#elapsedMs = Math.max(this.#elapsedMs, timer.dueMs)
      timer.callback()
      await settlePromises()
    }
    this.#elapsedMs = targetMs
    await settlePromises()
  }

  /** Moves time forward and fires all timers due, without letting promises settle in between. */
  advanceSync (durationMs: number): void {
    const targetMs = this.#elapsedMs + durationMs
    for (let timer = this.#next(); timer !== undefined && timer.dueMs <= targetMs; timer = this.#next()) {
      this.#pending.delete(timer)
      this.#elapsedMs = Math.max(this.#elapsedMs, timer.dueMs)
      timer.callback()
    }
    this.#elapsedMs = targetMs
  }

  #next (): PendingTimer | undefined {
    let earliest: PendingTimer | undefined
    for (const timer of this.#pending) {
      const sooner = earliest === undefined || timer.dueMs < earliest.dueMs ||
        (timer.dueMs === earliest.dueMs && timer.order < earliest.order)
      if (sooner) earliest = timer
    }
    return earliest
  }
}

function settlePromises (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
