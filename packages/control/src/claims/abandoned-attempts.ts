/** Attempts that their claimer gave up before sending; a claim of one that is read later is made void. */
import type { VoidEntry } from './types.js'

const MAX_ATTEMPTS = 10_000

/** Bounded set, oldest dropped first; a dropped one only leaves its key taken. */
export class AbandonedAttempts {
  readonly #ends = new Map<string, VoidEntry>()

  static create (): AbandonedAttempts {
    return new AbandonedAttempts()
  }

  add (end: VoidEntry): void {
    this.#ends.set(end.attemptId, end)
    const oldest = this.#ends.keys().next()
    if (this.#ends.size > MAX_ATTEMPTS && oldest.done !== true) this.#ends.delete(oldest.value)
  }

  get (attemptId: string): VoidEntry | undefined {
    return this.#ends.get(attemptId)
  }
}
