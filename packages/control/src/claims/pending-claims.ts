/** Claims that were not yet read back from the log; each is answered once, by its deadline. */
import type { Clock, Timer } from '@figloom/runtime'
import type { ClaimAnswer, ClaimRequest } from './types.js'

/** A claim without an answer. */
export type PendingClaim = {
  request: ClaimRequest
  /** Monotonic time, in milliseconds. */
  deadlineMs: number
  timer: Timer
  /** Whether it was added to the append queue. */
  queued: boolean
  answer: (answer: ClaimAnswer) => void
}

/** Pending claims by attempt id. */
export class PendingClaims {
  readonly #claims = new Map<string, PendingClaim>()

  private constructor (private readonly clock: Clock, private readonly onExpired: (attemptId: string) => void) {}

  static create (clock: Clock, onExpired: (attemptId: string) => void): PendingClaims {
    return new PendingClaims(clock, onExpired)
  }

  get size (): number {
    return this.#claims.size
  }

  get (attemptId: string): PendingClaim | undefined {
    return this.#claims.get(attemptId)
  }

  all (): PendingClaim[] {
    return [...this.#claims.values()]
  }

  add (request: ClaimRequest, answer: (answer: ClaimAnswer) => void): void {
    const known = this.#claims.get(request.attemptId)
    known?.timer.cancel()
    const timer = this.clock.setTimer(request.timeoutMs, () => this.onExpired(request.attemptId))
    this.#claims.set(request.attemptId, { request, deadlineMs: this.clock.monotonicMs() + request.timeoutMs, timer, queued: known?.queued ?? false, answer })
  }

  answer (claim: PendingClaim, answer: ClaimAnswer): void {
    claim.timer.cancel()
    this.#claims.delete(claim.request.attemptId)
    claim.answer(answer)
  }
}
