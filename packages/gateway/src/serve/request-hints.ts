/** What is read from a request or an answer to steer it: kept prefixes, rank in a runner's queue, promises of a status. Pure. */
import { PATIENT_TARGET_MS } from '../choose/candidates.js'
import type { Route } from '../config/types.js'
import type { CallerFacts } from '../forward/types.js'

/** Lowest rank in a runner's queue. */
const MAX_URGENCY = 9

/** Statuses that promise that a request has not run; a runner that says so without stating it isn't believed. */
export function promisesNotRun (status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503
}

/** The deepest part of the prompt that other requests share. */
export function affinityKey (facts: CallerFacts): string {
  const parts = facts.promptParts
  if (parts.length === 0) return ''
  const shared = parts[Math.max(0, parts.length - 2)]
  return `${facts.model ?? ''}/${facts.adapter ?? ''}/${shared?.id ?? ''}`
}

/** Rank in a runner's queue, 0 first: by the route's priority, requests that can wait behind all others. */
export function urgencyOf (route: Route): number {
  const patience = route.targetLatencyMs > PATIENT_TARGET_MS ? 4 : 0
  return Math.min(MAX_URGENCY, route.priority + patience)
}
