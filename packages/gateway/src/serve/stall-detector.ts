/**
 * Detects when a stream that has started stops making progress. Only complete events count as progress: a runner that sends an
 * occasional byte is as stalled as a silent one. Time in which the caller reads too slowly is not counted against the runner.
 */
import type { Clock, Timer } from '@figloom/runtime'

/** A stream counts as stalled after this many times the longest pause that still counts as on time. */
const STALL_PAUSE_COUNT = 4
/** Lower bound: runners pause a stream for up to this long when they preempt it for other requests. */
const MIN_STALL_MS = 1_000

export type StallDetectorOptions = {
  clock: Clock
  /** Longest pause between events for which the answer counts as on time. */
  maxPauseMs: number
  /** The caller hasn't read yet what was written to it. */
  callerIsSlow: () => boolean
  /** Called each time the stream has made no progress for the stall time. */
  onStall: (silentMs: number) => void
}

export class StallDetector {
  readonly #stallMs: number
  #progressMs: number | undefined
  #timer: Timer | undefined

  private constructor (private readonly options: StallDetectorOptions) {
    this.#stallMs = Math.max(MIN_STALL_MS, options.maxPauseMs * STALL_PAUSE_COUNT)
  }

  static create (options: StallDetectorOptions): StallDetector {
    return new StallDetector(options)
  }

  /** A complete event was received. */
  onProgress (): void {
    this.#progressMs = this.options.clock.monotonicMs()
    this.#timer ??= this.#scheduleCheck(this.#stallMs)
  }

  /** Time since the last complete event; 0 before the first. */
  get silentMs (): number {
    return this.#progressMs === undefined ? 0 : this.options.clock.monotonicMs() - this.#progressMs
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  #scheduleCheck (delayMs: number): Timer {
    return this.options.clock.setTimer(delayMs, () => this.#check())
  }

  #check (): void {
    const nowMs = this.options.clock.monotonicMs()
    if (this.options.callerIsSlow()) this.#progressMs = nowMs
    const { silentMs } = this
    this.#timer = this.#scheduleCheck(Math.max(1, silentMs >= this.#stallMs ? this.#stallMs : this.#stallMs - silentMs))
    if (silentMs >= this.#stallMs) this.options.onStall(silentMs)
  }
}
