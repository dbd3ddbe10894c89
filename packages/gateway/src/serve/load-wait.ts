/**
 * Whether a request waits at this host for a model that is being loaded. Rare models are asked for by callers with time:
 * a load that ends within the route's target serves them on time, where a refusal would cost them their one return.
 * Times are monotonic milliseconds.
 */
import type { LoadOutlook } from './types.js'

/** Part of the route's target within which the model has to be there; the rest is for the answer's beginning. */
const TARGET_SHARE = 0.85
/** Behind the end of a load the wait goes on for this long: the list of runners shows it later at some hosts. */
const WAIT_BEHIND_LOAD_MS = 1_500
/** Pause between two looks for the model. */
const RECHECK_MS = 100

export type LoadWaitInput = { service: string, model: string, arrivedMs: number, targetLatencyMs: number }

export class LoadWait {
  #seenMs: number | undefined

  private constructor (private readonly outlook: LoadOutlook, private readonly input: LoadWaitInput) {}

  static create (outlook: LoadOutlook, input: LoadWaitInput): LoadWait {
    return new LoadWait(outlook, input)
  }

  /** Time until the next look for the model; undefined if there is nothing to wait for. */
  nextLookMs (nowMs: number): number | undefined {
    const { service, model, arrivedMs, targetLatencyMs } = this.input
    const latestMs = arrivedMs + targetLatencyMs * TARGET_SHARE
    if (nowMs >= latestMs) return undefined
    const readyInMs = this.outlook.readyInMs(service, model)
    if (readyInMs !== undefined && nowMs + readyInMs > latestMs) return undefined
    if (readyInMs !== undefined) this.#seenMs = nowMs
    if (this.#seenMs === undefined || nowMs - this.#seenMs > WAIT_BEHIND_LOAD_MS) return undefined
    return RECHECK_MS
  }
}
