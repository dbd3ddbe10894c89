/** Requests of this host that want to go to one runner with a limit: they ask together, and wait out a refusal. */
import type { Permit, PermitReply } from './types.js'

/** A permit that isn't used in this time is void: it counted for the time at which it was given. */
const PERMIT_VALID_MS = 1_000
/** Pause after an asking that failed. */
const FAILED_PAUSE_MS = 400

export type PermitQueueParts = {
  runnerId: string
  /** Milliseconds of a clock that also counts suspensions. */
  nowMs: () => number
  /** Rejects where the host that shares out the limit doesn't answer. */
  ask: (wanted: number) => Promise<PermitReply>
  onFailure: (error: Error) => void
}

export class PermitQueue {
  #waiting: ((permit: Permit | undefined) => void)[] = []
  #asking = false
  #closedUntilMs = -Infinity

  private constructor (private readonly parts: PermitQueueParts) {}

  static create (parts: PermitQueueParts): PermitQueue {
    return new PermitQueue(parts)
  }

  /** Time until it is worth while to ask. */
  get opensInMs (): number {
    return Math.max(0, this.#closedUntilMs - this.parts.nowMs())
  }

  /** The limit changed: what was refused under the former one may be asked for again. */
  reopen (): void {
    this.#closedUntilMs = -Infinity
  }

  get idle (): boolean {
    return !this.#asking && this.opensInMs === 0
  }

  /** Resolves with a permit, or without one as soon as it is known that there is none now. */
  take (): Promise<Permit | undefined> {
    if (this.opensInMs > 0) return Promise.resolve(undefined)
    return new Promise((resolve) => {
      this.#waiting.push(resolve)
      if (!this.#asking) this.#pump()
    })
  }

  #pump (): void {
    const batch = this.#waiting.splice(0)
    if (batch.length === 0) return
    this.#asking = true
    this.parts.ask(batch.length).then(({ granted, retryAfterMs }) => this.#settle(batch, granted, retryAfterMs), (error: Error) => {
      this.parts.onFailure(error)
      this.#settle(batch, 0, FAILED_PAUSE_MS)
    })
  }

  #settle (batch: ((permit: Permit | undefined) => void)[], granted: number, retryAfterMs: number): void {
    const nowMs = this.parts.nowMs()
    this.#asking = false
    this.#closedUntilMs = nowMs + retryAfterMs
    const permit = { runnerId: this.parts.runnerId, untilMs: nowMs + PERMIT_VALID_MS }
    for (const [index, resolve] of batch.entries()) resolve(index < granted ? permit : undefined)
    if (retryAfterMs === 0) return this.#pump()
    for (const resolve of this.#waiting.splice(0)) resolve(undefined)
  }
}
