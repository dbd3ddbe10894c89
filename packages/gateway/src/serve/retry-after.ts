/**
 * Retry-After delays of refused callers: the expected time until capacity is free, with jitter so that callers don't retry
 * together. Most callers retry once, so a retry before the model is loaded is wasted. Pure functions; times are in milliseconds.
 */
import type { ModelSpec } from '../config/types.js'

/** Callers are asked to wait for at most this fraction of their remaining time. */
const MAX_WAIT_FRACTION = 0.33
/** Typical time until the load of a model without a copy is ordered. */
const ORDER_DELAY_MS = 800
/** Typical time until the list of runners shows that a load has ended. */
const LIST_LAG_MS = 800
/** Full runners complete requests continuously: the first slot is free after the shorter time, slots for all refused callers after the longer. */
const FULL_MIN_MS = 700
const FULL_MAX_MS = 3_000
/** Random part of the delay for models that aren't loaded and for closed runners. */
const JITTER_MS = 800
/** Delay when the model is unknown and the time to load it can't be estimated. */
const UNKNOWN_MODEL_MS = 1_000

export type RetryAfterInput = { timeLeftMs: number, random: () => number }

/** All runners that could serve the request are full. */
export function retryAfterFull ({ timeLeftMs, random }: RetryAfterInput): number {
  return bounded(FULL_MIN_MS + random() * (FULL_MAX_MS - FULL_MIN_MS), timeLeftMs)
}

/** All runners that could serve the request have signaled that they take no more for now. The first may accept some in `opensInMs`. */
export function retryAfterClosed (opensInMs: number, { timeLeftMs, random }: RetryAfterInput): number {
  return bounded(opensInMs + random() * JITTER_MS, timeLeftMs)
}

/**
 * No runner holds what the request needs.
 * @param model the requested model; undefined if none was requested or the configuration doesn't have it
 * @param onDisk a runner has the model's weights on its own disk
 * @param readyInMs time until a load in progress is expected to end
 */
export function retryAfterMissing (model: ModelSpec | undefined, onDisk: boolean, readyInMs: number | undefined, { timeLeftMs, random }: RetryAfterInput): number {
  if (model === undefined) return bounded(UNKNOWN_MODEL_MS, timeLeftMs)
  return bounded(retryAfterLoad(model, { onDisk, readyInMs, freeInMs: 0 }, random), timeLeftMs)
}

/** What is known of the load that a request waits for. `freeInMs`: time until a runner can start it. */
export type AwaitedLoad = { onDisk: boolean, readyInMs: number | undefined, freeInMs: number }

/** The same, however long the caller has: a retry before the load has ended is refused again. */
export function retryAfterLoad (model: ModelSpec | undefined, { onDisk, readyInMs, freeInMs }: AwaitedLoad, random: () => number): number {
  if (model === undefined) return UNKNOWN_MODEL_MS
  const loadMs = onDisk ? model.diskLoadMs : model.loadMs
  const waitMs = readyInMs === undefined ? freeInMs + ORDER_DELAY_MS + loadMs : readyInMs + LIST_LAG_MS
  return waitMs + random() * JITTER_MS
}

function bounded (delayMs: number, timeLeftMs: number): number {
  return Math.max(1, Math.min(delayMs, timeLeftMs * MAX_WAIT_FRACTION))
}
