/**
 * Tells when a stream that has begun stops making progress. Only whole events are progress: a runner that sends a byte now and
 * then is as stalled as a silent one. A caller that reads slowly stalls itself and isn't the runner's fault.
 */
import type { Clock, Timer } from '@figloom/runtime'

/** A stream is stalled after this many of the longest pauses for which it counts as on time. */
const STALLED_PAUSES = 4
/** Runners pause for this long when they make room for other requests. */
const MIN_STALL_MS = 1_000

export type StallWatchParts = {
  clock: Clock
  /** Longest pause between events for which the answer counts as on time. */
  maxPauseMs: number
  /** The caller has yet to read what it was sent. */
  callerIsSlow: () => boolean
  /** Called each time that the stream has made no progress for the time of a stall. */
  onStall: (silentMs: number) => void
}

export class StallWatch {
  readonly #stallMs: number
  #progressMs: number | undefined
  #timer: Timer | undefined

  private constructor (private readonly parts: StallWatchParts) {
    this.#stallMs = Math.max(MIN_STALL_MS, parts.maxPauseMs * STALLED_PAUSES)
  }

  static create (parts: StallWatchParts): StallWatch {
    return new StallWatch(parts)
  }

  /** A whole event has come. */
  onProgress (): void {
    this.#progressMs = this.parts.clock.monotonicMs()
    this.#timer ??= this.#lookIn(this.#stallMs)
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  #lookIn (delayMs: number): Timer {
    return this.parts.clock.setTimer(delayMs, () => this.#look())
  }

  #look (): void {
    const nowMs = this.parts.clock.monotonicMs()
    if (this.parts.callerIsSlow()) this.#progressMs = nowMs
    const silentMs = nowMs - (this.#progressMs ?? nowMs)
    this.#timer = this.#lookIn(Math.max(1, silentMs >= this.#stallMs ? this.#stallMs : this.#stallMs - silentMs))
    if (silentMs >= this.#stallMs) this.parts.onStall(silentMs)
  }
}
