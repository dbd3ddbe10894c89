/** How long the caller of a stream that broke off waits for it to go on. Pure. */
import type { Route } from '../config/types.js'

/** Callers abandon a stream after the longest of these gaps: this time, and multiples of the route's target and longest pause. */
const MIN_GAP_MS = 2_000
const TARGETS_PER_GAP = 4
const PAUSES_PER_GAP = 8
/** Part of the gap for which the caller waits for room at full runners; the rest is for the runner's queue and its first event. */
const ROOM_WAIT_FRACTION = 0.5
/** Interval between two looks for room. */
export const ROOM_POLL_MS = 100

/**
 * @param timeLeftMs time to the caller's deadline, from the arrival of its request on
 */
export function takeUpWaitMs ({ targetLatencyMs, maxPauseMs }: Route, timeLeftMs: number): number {
  return Math.min(timeLeftMs, Math.max(MIN_GAP_MS, targetLatencyMs * TARGETS_PER_GAP, maxPauseMs * PAUSES_PER_GAP))
}

/** @param gapMs how long the caller waits for its stream to go on */
export function roomWaitMs (gapMs: number): number {
  return gapMs * ROOM_WAIT_FRACTION
}
