/** Derives routing hints: the key of a shared prompt prefix, the rank in a runner's queue, what a status code implies. Pure functions. */
import { createHash } from 'node:crypto'
import { MIN_QUEUEABLE_TARGET_MS } from '../choose/candidates.js'
import type { Route } from '../config/types.js'
import type { CallerFacts } from '../forward/types.js'

/** Ids of parts are kept, stored and exchanged; longer ones are replaced by their digest. */
const MAX_PART_ID_CHARS = 64
/** Lowest rank in a runner's queue. */
const MAX_URGENCY = 9

/**
 * Statuses from which a caller concludes that its request has not run. The status alone doesn't prove this for a runner's answer:
 * without the header that states it, the request may have run.
 */
export function impliesNotRun (status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503
}

/** Key of the longest prompt prefix that other requests are likely to share: all parts but the last one. */
export function affinityKey (facts: CallerFacts): string {
  const parts = facts.promptParts
  if (parts.length === 0) return ''
  const shared = parts[Math.max(0, parts.length - 2)]
  return `${facts.model ?? ''}/${facts.adapter ?? ''}/${shared?.id ?? ''}`
}

/** Ids of the parts of a prompt that other requests may share: all but the last one, which belongs to the request or its session. */
export function sharedPartIds ({ promptParts }: CallerFacts): string[] {
  return promptParts.slice(0, -1).map(({ id }) => id.length <= MAX_PART_ID_CHARS ? id : digestOf(id))
}

function digestOf (id: string): string {
  return createHash('sha256').update(id).digest('hex')
}

/** Rank in a runner's queue, 0 first: the route's priority, lowered for requests that can wait. */
export function urgencyOf (route: Route): number {
  const patience = route.targetLatencyMs > MIN_QUEUEABLE_TARGET_MS ? 4 : 0
  return Math.min(MAX_URGENCY, route.priority + patience)
}
