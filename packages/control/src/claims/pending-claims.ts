/** Claims that wait for their read-back; each is answered once, at its deadline at the latest. */
import type { Clock, Timer } from '@figloom/runtime'
import type { ClaimAnswer, ClaimRequest } from './types.js'

/** A claim that waits. */
export type PendingClaim = {
  request: ClaimRequest
  /** Monotonic time, in milliseconds. */
  deadlineMs: number
  timer: Timer
  /** Whether it was handed to the append queue. */
  queued: boolean
  answer: (answer: ClaimAnswer) => void
}

/** Pending claims by attempt. */
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
