/** Intervals and timeouts of report exchanges between hosts, derived from the platform's bound for detecting changes. */

export type ContactTiming = {
  /** Interval between exchanges with a host that answers. */
  exchangeMs: number
  /** Delay before the next attempt to reach a host that doesn't answer. */
  retryMs: number
  /** Timeout of one exchange. */
  timeoutMs: number
  /** A host that hasn't reported for this long is left out of lookups. */
  silentMs: number
  /** A relay's report on other hosts stays valid for this long, so that these hosts have time to switch to another relay. */
  relayReportTtlMs: number
  /** A lease holder that hasn't reported for this long may be down. */
  holderTimeoutMs: number
  /** Time until a change that a host reports immediately has reached all others by direct exchanges. */
  directPropagationMs: number
  /** The same through relays. */
  relayedPropagationMs: number
}

/**
 * Exchange intervals within the bound. A dead host disappears from lookups after `silentMs` and two exchanges, from relay to
 * relay and from relay to host: at most 5.25 intervals, which leaves time for a slow answer within the bound of 7.5.
 */
const EXCHANGES_PER_BOUND = 7.5

/** @param contactMs time within which hosts that reach each other must know of changes */
export function createContactTiming (contactMs: number): ContactTiming {
  const exchangeMs = contactMs / EXCHANGES_PER_BOUND
  return {
    exchangeMs,
    retryMs: exchangeMs * 3,
    timeoutMs: exchangeMs * 1.5,
    silentMs: exchangeMs * 3.25,
    relayReportTtlMs: exchangeMs * 5,
    holderTimeoutMs: exchangeMs * 2.25,
    directPropagationMs: exchangeMs * 1.75,
    relayedPropagationMs: exchangeMs * 3
  }
}
