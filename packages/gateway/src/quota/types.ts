/** Customers' quotas over all hosts: messages between a host and the allocators of a customer's tokens. Times are milliseconds. */

/** What customers may use at worst: (rate x window + burst) x (1 + overage) + slack in any window. */
export type QuotaBound = { windowMs: number, overage: number, slack: number }

/** A quota counts units: tokens, or requests. Both are called tokens here. */
export type QuotaTerms = {
  /** Tokens a second, of all hosts together. */
  ratePerS: number
  /** Tokens beyond the rate that may be used at once. */
  burst: number
  /** Number of parts into which the quota is split. */
  parts: number
  /** Version of the configuration that sets them. */
  version: number
}

/** A host's request for tokens of one customer, sent to the allocator of one part of the quota. */
export type TokenRequest = {
  /** Name of the requesting host. */
  host: string
  customer: string
  part: number
  terms: QuotaTerms
  /** Tokens of each waiting request, in order. */
  wanted: number[]
  /** Tokens that requests have used already, while there were plenty. */
  spent: number
}

export type TokenReply = {
  /** The first so many of the waiting requests have their tokens. */
  granted: number
  /** Tokens that are left of the part. */
  left: number
  /** Time until the first request without tokens could have them, after those that were refused before it; 0 if all were granted. */
  retryAfterMs: number
  /** There are so many that the host may let requests use some before it asks. */
  isPlentiful: boolean
  /** Hosts that recently asked for tokens of this part. */
  hosts: number
  /** The asked host isn't the part's allocator, as far as it knows. */
  isElsewhere: boolean
}

/** What is known when a customer's request is refused. */
export type TokenRefusal = {
  retryAfterMs: number
  /** Tokens that were left when an allocator was last asked; undefined if none has answered. */
  left?: number
  leftAgeMs?: number
  /** Parts of the quota whose allocators don't answer. */
  unreachableParts: number
}
