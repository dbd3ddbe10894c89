/** Derives routing hints: the key of a shared prompt prefix, the rank in a runner's queue, what a status code implies. Pure functions. */
import { MIN_QUEUEABLE_TARGET_MS } from '../choose/candidates.js'
import type { Customer, Route } from '../config/types.js'
import type { CallerFacts } from '../forward/types.js'

/** Lowest rank in a runner's queue. */
const MAX_URGENCY = 9
/** Added to the rank of requests that can wait. */
const PATIENCE = 4
/** Ranks for each priority of customers; lower priorities share the last ones, as there are ten ranks in all. */
const RANKS_PER_CUSTOMER_PRIORITY = 3
const MAX_CUSTOMER_PRIORITY = 2

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

/**
 * Rank among all requests, 0 first: the route's priority, lowered for requests that can wait. A customer's priority goes before it;
 * the route then decides among requests of customers with the same priority.
 */
export function urgencyOf (route: Route, customer?: Customer): number {
  const patience = route.targetLatencyMs > MIN_QUEUEABLE_TARGET_MS ? PATIENCE : 0
  const ofRoute = Math.min(MAX_URGENCY, route.priority + patience)
  if (customer?.priority === undefined) return ofRoute
  return Math.min(MAX_CUSTOMER_PRIORITY, Math.floor(customer.priority)) * RANKS_PER_CUSTOMER_PRIORITY + rankForCustomer(ofRoute)
}

/** The most urgent routes, the other ones whose callers don't wait, and those whose callers do. */
function rankForCustomer (ofRoute: number): number {
  if (ofRoute <= 0) return 0
  return ofRoute < PATIENCE ? 1 : 2
}
