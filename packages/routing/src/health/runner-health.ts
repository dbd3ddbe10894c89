/** Health of one runner as its answers show it: ejected after failures or when far slower than its peers, then probed. */

/** `ejected` takes nothing; `probing` takes one request at a time until one succeeds. */
export const HealthState = { Healthy: 'healthy', Ejected: 'ejected', Probing: 'probing' } as const
export type HealthState = (typeof HealthState)[keyof typeof HealthState]

const FAILURES_TO_EJECT = 3
const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 30_000
/** Ejections are forgotten after this time without one. */
const FORGET_MS = 120_000

export class RunnerHealth {
  #failures = 0
  #ejections = 0
  #ejectedUntilMs = -Infinity
  #recovering = false
  #probe: string | undefined

  static create (): RunnerHealth {
    return new RunnerHealth()
  }

  state (nowMs: number): HealthState {
    if (nowMs < this.#ejectedUntilMs) return HealthState.Ejected
    return this.#recovering ? HealthState.Probing : HealthState.Healthy
  }

  /** Whether a new request may go to the runner. */
  accepts (nowMs: number): boolean {
    const state = this.state(nowMs)
    return state === HealthState.Healthy || (state === HealthState.Probing && this.#probe === undefined)
  }

  /** End of the present ejection. */
  get ejectedUntilMs (): number {
    return this.#ejectedUntilMs
  }

  onSent (requestId: string): void {
    if (this.#recovering) this.#probe ??= requestId
  }

  onSuccess (): void {
    this.#failures = 0
    this.#recovering = false
    this.#probe = undefined
  }

  onFailure (requestId: string, nowMs: number): void {
    this.#failures += 1
    if (this.#failures >= FAILURES_TO_EJECT || this.#probe === requestId) this.eject(nowMs)
  }

  /** A request ended without saying anything of the runner, such as a canceled one. */
  onNeutral (requestId: string): void {
    if (this.#probe === requestId) this.#probe = undefined
  }

  /** Takes the runner out; each ejection in a row lasts twice as long. */
  eject (nowMs: number): void {
    if (nowMs < this.#ejectedUntilMs) return
    if (nowMs - this.#ejectedUntilMs > FORGET_MS) this.#ejections = 0
    this.#ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.#ejections)
    this.#ejections += 1
    this.#failures = 0
    this.#recovering = true
    this.#probe = undefined
  }
}
