/**
 * The attempts of a request that are in progress: one, or two while a stalled stream may move. The first runner is given up only when
 * the second one has begun, since a sound runner may be silent for a while and the second one may refuse.
 */
import type { RunnerAttempt } from './runner-attempt.js'

export class AttemptPair {
  #current: RunnerAttempt | undefined
  #next: RunnerAttempt | undefined

  static create (): AttemptPair {
    return new AttemptPair()
  }

  /** The attempt that writes the answer. */
  get current (): RunnerAttempt | undefined {
    return this.#current
  }

  /** The attempt at which a stalled stream may go on. */
  get next (): RunnerAttempt | undefined {
    return this.#next
  }

  /** Number of attempts that may have reached their runners. */
  get sentCount (): number {
    return [this.#current, this.#next].filter((attempt) => attempt?.sent === true).length
  }

  add (attempt: RunnerAttempt): void {
    if (this.#current === undefined) this.#current = attempt
    else this.#next = attempt
  }

  /** An attempt has ended; if it was the current one, the next one takes its place. */
  remove (attempt: RunnerAttempt): void {
    if (this.#next === attempt) this.#next = undefined
    if (this.#current === attempt) this.#promote()
  }

  /** The next attempt has begun its answer: cancels the current one and returns it. */
  takeOver (): RunnerAttempt | undefined {
    const loser = this.#current
    this.#promote()
    loser?.cancel()
    return loser
  }

  /** The current attempt makes progress or has ended well: cancels the next one and returns it. */
  dropNext (): RunnerAttempt | undefined {
    const loser = this.#next
    this.#next = undefined
    loser?.cancelNeutrally()
    return loser
  }

  cancelAll (): void {
    const attempts = [this.#current, this.#next]
    this.#current = undefined
    this.#next = undefined
    for (const attempt of attempts) attempt?.cancelNeutrally()
  }

  #promote (): void {
    this.#current = this.#next
    this.#next = undefined
  }
}
