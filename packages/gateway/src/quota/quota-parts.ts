/** How a quota is enforced by buckets, and split into parts that are each allocated by another host. Pure. */
import type { QuotaBound, QuotaTerms } from './types.js'

/**
 * Most parts of a quota: while one host is lost, two thirds of the rate are still there, and the use of most customers is below that.
 */
export const MAX_PARTS = 3
/**
 * Parts of what the bound leaves beyond the quota that may be used at once. The rest is for what hosts grant at the same time while they
 * disagree on who allocates, and for tokens that are used some time after they were granted: that grows with the rate, and so with
 * the overage. Small customers have the slack.
 */
const OVERAGE_SHARE = 0.5
const SLACK_SHARE = 0.8
/** A quota holds at least what comes within this time, so that nothing is lost between two requests for tokens. */
const MIN_CAPACITY_S = 0.1

/** A bucket's rate and the most tokens in it. */
export type BucketLimits = { ratePerS: number, capacity: number }

/**
 * Limits of all parts together. A customer may use the rate and the burst in each window of the bound, so the burst comes with the
 * rate, again in each window; what it may use at once is taken from the margin of the bound.
 */
export function limitsOf ({ ratePerS, burst }: Pick<QuotaTerms, 'ratePerS' | 'burst'>, { windowMs, overage, slack }: QuotaBound): BucketLimits {
  const perWindow = ratePerS * windowMs / 1_000 + burst
  const fillPerS = perWindow * 1_000 / windowMs
  return { ratePerS: fillPerS, capacity: Math.max(fillPerS * MIN_CAPACITY_S, perWindow * overage * OVERAGE_SHARE + slack * SLACK_SHARE) }
}

/** Number of parts: each has room for a large request. */
export function partCountOf (terms: Pick<QuotaTerms, 'ratePerS' | 'burst'>, bound: QuotaBound, largeRequest: number): number {
  return Math.max(1, Math.min(MAX_PARTS, Math.floor(limitsOf(terms, bound).capacity / largeRequest)))
}
