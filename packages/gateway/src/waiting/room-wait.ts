/**
 * For how long a request waits for room. Load pattern: runners with few places that are full
 * for fractions of a second between clumps of arrivals. Pure; times are in milliseconds.
 */

/** Part of the latency target within which a runner has to have room; the rest is for its queue, the prompt and the first bytes. */
const TARGET_FRACTION = 0.25
/** Holding a request longer than this keeps its caller from trying elsewhere for nothing. */
const MAX_WAIT_MS = 1_000

/** Time from its arrival for which a request may wait. */
export function longestWaitMs (targetLatencyMs: number): number {
  return Math.min(MAX_WAIT_MS, targetLatencyMs * TARGET_FRACTION)
}
