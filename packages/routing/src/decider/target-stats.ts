/** Request statistics of one target on this host, used to estimate queueing time and to plan placement. */
import type { Target } from '../types.js'

const DURATION_WEIGHT = 0.1
const DEFAULT_DURATION_MS = 1_000

/** Requests for one model version since the last call of `take`. */
export type TargetDemand = {
  model: string
  version: string
  requests: number
  /** Mean time that a request used of a whole runner, in milliseconds; 0 before the first answer. */
  runnerMsPerRequest: number
  /** Mean time that a request used of a whole copy (all its slots), in milliseconds; 0 before the first answer. */
  copyMsPerRequest: number
}

export class TargetStats {
  #durationMs = DEFAULT_DURATION_MS
  #requests = 0
  #runnerMs = 0
  #copyMs = 0

  private constructor (readonly target: Target) {}

  static create (target: Target): TargetStats {
    return new TargetStats(target)
  }

  onRequest (): void {
    this.#requests += 1
  }

  onDone (durationMs: number, runnerMs: number, copyMs: number): void {
    this.#durationMs += DURATION_WEIGHT * (durationMs - this.#durationMs)
    if (this.#runnerMs === 0) this.#runnerMs = runnerMs
    if (this.#copyMs === 0) this.#copyMs = copyMs
    this.#runnerMs += DURATION_WEIGHT * (runnerMs - this.#runnerMs)
    this.#copyMs += DURATION_WEIGHT * (copyMs - this.#copyMs)
  }

  /** Expected waiting time with `ahead` requests in front and `slots` slots at the runners. */
  expectedWaitMs (ahead: number, slots: number): number {
    return (ahead + 1) * this.#durationMs / Math.max(1, slots)
  }

  /** Returns the demand since the last call. */
  take (): TargetDemand {
    const { model, version } = this.target
    const demand = { model, version, requests: this.#requests, runnerMsPerRequest: this.#runnerMs, copyMsPerRequest: this.#copyMs }
    this.#requests = 0
    return demand
  }
}
