/**
 * Simulates a runner on a manual clock that rejects requests for want of room, and fails if it rejects too many in a second. It
 * counts from the time at which it names its limit: no host can know it before.
 */
import type { Clock, Timer } from '@figloom/runtime'

/** Time for which the runner lets as many requests wait as before after it has begun to name a limit. */
const SHRINK_AFTER_MS = 3_000
const RESTART_MS = 4_000
const SECOND_MS = 1_000

export type RejectingRunnerOptions = {
  id: string
  slots: number
  /** Requests that may wait as long as the runner names no limit. */
  queue: number
  /** Requests that may wait later. */
  shrunkQueue: number
  /** Time that it works on a request. */
  holdMs: () => number
}

export const ArrivalOutcome = { Answered: 'answered', Rejected: 'rejected', Broken: 'broken' } as const
export type ArrivalOutcome = (typeof ArrivalOutcome)[keyof typeof ArrivalOutcome]

/** The end of a request at the runner, and the limit on rejections that the answer names. */
export type Departure = { outcome: ArrivalOutcome, rejectionsPerS?: number }

type Arrival = { onEnd: (departure: Departure) => void, timer?: Timer }

export class RejectingRunner {
  /** Differs for every process. */
  startedUnixMs = 1
  isUp = true
  readonly rejectionsMs: number[] = []
  readonly fallsMs: number[] = []
  answered = 0
  /** Time for which its slots were in use, in milliseconds. */
  busyMs = 0
  #rejectionsPerS: number | undefined
  #namedMs = Infinity
  #running: Arrival[] = []
  #waiting: Arrival[] = []

  private constructor (readonly options: RejectingRunnerOptions, private readonly clock: Clock) {}

  static create (options: RejectingRunnerOptions, clock: Clock): RejectingRunner {
    return new RejectingRunner(options, clock)
  }

  /** It names this limit from now on; undefined for none. */
  name (rejectionsPerS: number | undefined): void {
    this.#rejectionsPerS = rejectionsPerS
    this.#namedMs = rejectionsPerS === undefined ? Infinity : this.clock.monotonicMs()
    if (rejectionsPerS !== undefined) this.clock.setTimer(SHRINK_AFTER_MS, () => this.#rejectWaiting())
  }

  get inFlight (): number {
    return this.#running.length + this.#waiting.length
  }

  /** A request arrives. @returns a function that takes it back */
  arrive (onEnd: (departure: Departure) => void): () => void {
    const arrival: Arrival = { onEnd }
    if (this.#running.length < this.options.slots) this.#run(arrival)
    else if (this.#waiting.length < this.#queueLimit()) this.#waiting.push(arrival)
    else this.#reject(arrival)
    return () => this.#remove(arrival)
  }

  /** Its process ends; an empty one follows. */
  restart (): void {
    if (!this.isUp) return
    this.isUp = false
    const lost = [...this.#running, ...this.#waiting]
    this.#running = []
    this.#waiting = []
    for (const { onEnd, timer } of lost) {
      timer?.cancel()
      onEnd({ outcome: ArrivalOutcome.Broken })
    }
    this.clock.setTimer(RESTART_MS, () => {
      this.isUp = true
      this.startedUnixMs += 1
    })
  }

  /** The most rejections between the two times that fell within a second. */
  mostRejections (fromMs = 0, toMs = Infinity): number {
    const times = this.rejectionsMs.filter((atMs) => atMs >= fromMs && atMs <= toMs)
    return Math.max(0, ...times.map((endMs) => times.filter((atMs) => atMs <= endMs && atMs > endMs - SECOND_MS).length))
  }

  #queueLimit (): number {
    return this.clock.monotonicMs() >= this.#namedMs + SHRINK_AFTER_MS ? this.options.shrunkQueue : this.options.queue
  }

  #run (arrival: Arrival): void {
    this.#running.push(arrival)
    const holdMs = this.options.holdMs()
    arrival.timer = this.clock.setTimer(holdMs, () => {
      this.answered += 1
      this.busyMs += holdMs
      this.#remove(arrival)
      arrival.onEnd({ outcome: ArrivalOutcome.Answered, rejectionsPerS: this.#rejectionsPerS })
    })
  }

  #remove (arrival: Arrival): void {
    arrival.timer?.cancel()
    this.#waiting = this.#waiting.filter((other) => other !== arrival)
    this.#running = this.#running.filter((other) => other !== arrival)
    if (this.#running.length < this.options.slots) {
      const next = this.#waiting.shift()
      if (next !== undefined) this.#run(next)
    }
  }

  #reject (arrival: Arrival): void {
    const nowMs = this.clock.monotonicMs()
    this.rejectionsMs.push(nowMs)
    arrival.onEnd({ outcome: ArrivalOutcome.Rejected, rejectionsPerS: this.#rejectionsPerS })
    if (this.#rejectionsPerS !== undefined && this.mostRejections(Math.max(this.#namedMs, nowMs - SECOND_MS)) > this.#rejectionsPerS) this.#fall()
  }

  /** What waits beyond the shorter queue is rejected at once, and counts. */
  #rejectWaiting (): void {
    while (this.isUp && this.#waiting.length > this.#queueLimit()) {
      const arrival = this.#waiting.pop()
      if (arrival !== undefined) this.#reject(arrival)
    }
  }

  #fall (): void {
    this.fallsMs.push(this.clock.monotonicMs())
    this.restart()
  }
}
