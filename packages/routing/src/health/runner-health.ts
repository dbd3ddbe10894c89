/** Passive health check of one runner: ejected after consecutive failures or when it stalls, then probed. */

/** An `ejected` runner gets no requests; a `probing` one gets one request at a time until one succeeds. */
export const HealthState = { Healthy: 'healthy', Ejected: 'ejected', Probing: 'probing' } as const
export type HealthState = (typeof HealthState)[keyof typeof HealthState]

const FAILURES_TO_EJECT = 3
const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 30_000
/** After this time without an ejection, the next one starts again at the shortest duration. */
const EJECTION_RESET_MS = 120_000

export class RunnerHealth {
  #failures = 0
  #ejections = 0
  #ejectedUntilMs = -Infinity
  #needsProbe = false
  #probeRequestId: string | undefined

  static create (): RunnerHealth {
    return new RunnerHealth()
  }

  state (nowMs: number): HealthState {
    if (nowMs < this.#ejectedUntilMs) return HealthState.Ejected
    return this.#needsProbe ? HealthState.Probing : HealthState.Healthy
  }

  /** Whether a new request may be sent to the runner. */
  accepts (nowMs: number): boolean {
    const state = this.state(nowMs)
    return state === HealthState.Healthy || (state === HealthState.Probing && this.#probeRequestId === undefined)
  }

  /** End of the current or last ejection. */
  get ejectedUntilMs (): number {
    return this.#ejectedUntilMs
  }

  onSent (requestId: string): void {
    if (this.#needsProbe) this.#probeRequestId ??= requestId
  }

  onSuccess (): void {
    this.#failures = 0
    this.#needsProbe = false
    this.#probeRequestId = undefined
  }

  onFailure (requestId: string, nowMs: number): void {
    this.#failures += 1
    if (this.#failures >= FAILURES_TO_EJECT || this.#probeRequestId === requestId) this.eject(nowMs)
  }

  /** A request ended without showing whether the runner is healthy, for example because it was canceled. */
  onNeutral (requestId: string): void {
    if (this.#probeRequestId === requestId) this.#probeRequestId = undefined
  }

  /** Ejects the runner. Each further ejection lasts twice as long as the one before, up to a maximum. */
  eject (nowMs: number): void {
    if (nowMs < this.#ejectedUntilMs) return
    if (nowMs - this.#ejectedUntilMs > EJECTION_RESET_MS) this.#ejections = 0
    this.#ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.#ejections)
    this.#ejections += 1
    this.#failures = 0
    this.#needsProbe = true
    this.#probeRequestId = undefined
  }
}
