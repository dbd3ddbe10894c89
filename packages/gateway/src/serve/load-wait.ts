/**
 * Decides whether a request waits at this host for a model that is being loaded. Callers of rarely used models have long
 * latency targets: a load that ends within the target still serves them on time, while a refusal would use up their only retry.
 * Times are monotonic milliseconds.
 */
import type { LoadForecast } from './types.js'

/** Fraction of the route's target within which the model has to be loaded; the rest is for producing the first bytes of the answer. */
const TARGET_FRACTION = 0.85
/** How long to go on waiting after a load has ended: the list of runners shows the model later at some hosts. */
const LIST_GRACE_MS = 1_500
/** Interval between two checks for the model. */
const POLL_INTERVAL_MS = 100

export type LoadWaitInput = {
  service: string
  model: string
  /** The load has to be at this version of the runners' software; absent if any will do. */
  softwareVersion?: string
  arrivedMs: number
  /** Time from the arrival within which the answer has to begin. */
  targetLatencyMs: number
}

export class LoadWait {
  #lastSeenMs: number | undefined

  private constructor (private readonly forecast: LoadForecast, private readonly input: LoadWaitInput) {}

  static create (forecast: LoadForecast, input: LoadWaitInput): LoadWait {
    return new LoadWait(forecast, input)
  }

  /** Time until the next check for the model; undefined if there is nothing to wait for. */
  nextPollMs (nowMs: number): number | undefined {
    const { service, model, softwareVersion, arrivedMs, targetLatencyMs } = this.input
    const latestMs = arrivedMs + targetLatencyMs * TARGET_FRACTION
    if (nowMs >= latestMs) return undefined
    const readyInMs = this.forecast.readyInMs(service, model, softwareVersion)
    if (readyInMs !== undefined && nowMs + readyInMs > latestMs) return undefined
    if (readyInMs !== undefined) this.#lastSeenMs = nowMs
    if (this.#lastSeenMs === undefined || nowMs - this.#lastSeenMs > LIST_GRACE_MS) return undefined
    return POLL_INTERVAL_MS
  }
}
