/**
 * When a refused caller should come back: when room is expected, spread so that callers don't return together. Most
 * callers come back once, so that a return before the model is loaded is lost. Pure; times are milliseconds.
 */
import type { ModelSpec } from '../config/types.js'

/** Callers wait at most this part of the time they have left. */
const TIME_LEFT_SHARE = 0.33
/** A model that has no copy is ordered within about this time. */
const ORDER_MS = 800
/** The list of runners shows the end of a load within about this time. */
const LIST_LAG_MS = 800
/** Requests end all the time on full runners: the first place is free soon, one for everybody later. */
const FULL_MIN_MS = 700
const FULL_MAX_MS = 3_000
/** Callers of a missing model return spread over this time. */
const SPREAD_MS = 800
/** Nothing is known of how long the lack will last. */
const UNKNOWN_MS = 1_000

export type RetryAfterInput = { timeLeftMs: number, random: () => number }

/** All runners that could serve the request are full. */
export function retryAfterFull ({ timeLeftMs, random }: RetryAfterInput): number {
  return bounded(FULL_MIN_MS + random() * (FULL_MAX_MS - FULL_MIN_MS), timeLeftMs)
}

/** Callers of runners that are closed by what they said; the first may open in `opensInMs`. */
export function retryAfterLimited (opensInMs: number, { timeLeftMs, random }: RetryAfterInput): number {
  return bounded(opensInMs + random() * SPREAD_MS, timeLeftMs)
}

/**
 * No runner holds what the request needs.
 * @param model the model, if one was named that the configuration knows
 * @param onDisk a runner has its weights on its own disk
 * @param readyInMs time until a load under way is expected to end
 */
export function retryAfterMissing (model: ModelSpec | undefined, onDisk: boolean, readyInMs: number | undefined, { timeLeftMs, random }: RetryAfterInput): number {
  if (model === undefined) return bounded(UNKNOWN_MS, timeLeftMs)
  const loadMs = onDisk ? model.diskLoadMs : model.loadMs
  const waitMs = readyInMs === undefined ? ORDER_MS + loadMs : readyInMs + LIST_LAG_MS
  return bounded(waitMs + random() * SPREAD_MS, timeLeftMs)
}

function bounded (delayMs: number, timeLeftMs: number): number {
  return Math.max(1, Math.min(delayMs, timeLeftMs * TIME_LEFT_SHARE))
}
