/** Attempts that were given up before anything was sent. If such a claim is read from the log later, it is voided. */
import type { VoidEntry } from './types.js'

const MAX_ABANDONED_ATTEMPTS = 10_000

/** Bounded set; the oldest is evicted first. The key of an evicted attempt may stay claimed until it expires. */
export class AbandonedAttempts {
  readonly #ends = new Map<string, VoidEntry>()

  static create (): AbandonedAttempts {
    return new AbandonedAttempts()
  }

  add (end: VoidEntry): void {
    this.#ends.set(end.attemptId, end)
    const oldest = this.#ends.keys().next()
    if (this.#ends.size > MAX_ABANDONED_ATTEMPTS && oldest.done !== true) this.#ends.delete(oldest.value)
  }

  get (attemptId: string): VoidEntry | undefined {
    return this.#ends.get(attemptId)
  }
}
