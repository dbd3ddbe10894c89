/**
 * Decides whether a host that is stopping still takes a request. Callers come for as long as they may use old answers of lookups;
 * what can't end before the process does would be cut off. Times are milliseconds. Pure.
 */
import { RouteKind } from '../config/types.js'

/** A runner may be slower than it was. */
const SLOWNESS_FACTOR = 2

export type LateRequest = {
  kind: RouteKind
  /** Time within which the request gets its final answer, whatever its runner does. */
  maxMs: number
  /** The longest time that the route's answers took lately; undefined if there were none. */
  longestMs: number | undefined
}

/** @param leftMs time until the process ends; 0: it takes nothing more */
export function endsInTime ({ kind, maxMs, longestMs }: LateRequest, leftMs: number): boolean {
  if (kind === RouteKind.Stream || leftMs <= 0) return false
  if (maxMs <= leftMs) return true
  return longestMs !== undefined && longestMs * SLOWNESS_FACTOR <= leftMs
}
