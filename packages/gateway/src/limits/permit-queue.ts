/** Requests permits for this host's requests to one runner with a limit: batches them, and observes the delay after a refusal. */
import type { Permit, PermitReply } from './types.js'

/** A permit expires after this time if unused: the allocator counted it at the time when it was granted. */
const PERMIT_VALID_MS = 1_000
/** Delay before the next permit request after one that failed. */
const FAILED_RETRY_MS = 400

export type PermitQueueParts = {
  runnerId: string
  /** Milliseconds of a clock that also counts suspensions. */
  nowMs: () => number
  /** Rejects if the host that allocates the permits doesn't answer. */
  requestPermits: (wanted: number) => Promise<PermitReply>
  onFailure: (error: Error) => void
}

export class PermitQueue {
  #waiting: ((permit: Permit | undefined) => void)[] = []
  #requesting = false
  #refreshDue = false
  #closedUntilMs = -Infinity

  private constructor (private readonly parts: PermitQueueParts) {}

  static create (parts: PermitQueueParts): PermitQueue {
    return new PermitQueue(parts)
  }

  /** Time until permits may be requested again. */
  get opensInMs (): number {
    return Math.max(0, this.#closedUntilMs - this.parts.nowMs())
  }

  /** The limit changed: permits that were refused under the former limit may be requested again at once. */
  reopen (): void {
    this.#closedUntilMs = -Infinity
  }

  get idle (): boolean {
    return !this.#requesting && this.opensInMs === 0
  }

  /** Resolves with a permit, or with undefined as soon as it is known that none is available now. */
  take (): Promise<Permit | undefined> {
    if (this.opensInMs > 0) return Promise.resolve(undefined)
    return new Promise((resolve) => {
      this.#waiting.push(resolve)
      if (!this.#requesting) this.#requestBatch()
    })
  }

  /** Sends a request for no permits, which brings the allocator this host's present state. */
  refresh (): void {
    this.#refreshDue = true
    if (!this.#requesting) this.#requestBatch()
  }

  #requestBatch (): void {
    const batch = this.#waiting.splice(0)
    if (batch.length === 0 && !this.#refreshDue) return
    this.#requesting = true
    this.#refreshDue = false
    this.parts.requestPermits(batch.length).then(({ granted, retryAfterMs }) => this.#settle(batch, granted, retryAfterMs), (error: Error) => {
      this.parts.onFailure(error)
      this.#settle(batch, 0, FAILED_RETRY_MS)
    })
  }

  #settle (batch: ((permit: Permit | undefined) => void)[], granted: number, retryAfterMs: number): void {
    const nowMs = this.parts.nowMs()
    this.#closedUntilMs = nowMs + retryAfterMs
    const permit = { runnerId: this.parts.runnerId, validUntilMs: nowMs + PERMIT_VALID_MS }
    for (const [index, resolve] of batch.entries()) resolve(index < granted ? permit : undefined)
    if (retryAfterMs > 0) for (const resolve of this.#waiting.splice(0)) resolve(undefined)
    // The requests with permits count as in flight once their own callbacks have run, and the next request has to state them.
    queueMicrotask(() => {
      this.#requesting = false
      this.#requestBatch()
    })
  }
}
