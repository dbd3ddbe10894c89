/** How often hosts exchange reports and how soon silence is noticed, as parts of the platform's bound for contact. */

export type ContactPace = {
  /** Between two exchanges with a host that answers. */
  exchangeMs: number
  /** Between two tries of a host that doesn't answer. */
  retryMs: number
  /** For the answer of one exchange. */
  timeoutMs: number
  /** A host that was silent for this long is left out of lookups. */
  silentMs: number
  /** A relay's word on other hosts counts for this long after it was last heard, so that they can turn to another relay. */
  relayTrustMs: number
  /** A holder of the lease that was silent for this long may be gone. */
  holderSilentMs: number
  /** Until a change that a host told at once has reached all others directly. */
  directSpreadMs: number
  /** The same over relays. */
  relayedSpreadMs: number
}

/**
 * A dead host is out of lookups after its silence and two exchanges, from relay to relay and from relay to host:
 * at most 5.25 exchanges, which leaves time for a slow answer within the bound of 7.5.
 */
const EXCHANGES_A_BOUND = 7.5

/** @param contactMs time within which hosts in contact have to know of changes */
export function createContactPace (contactMs: number): ContactPace {
  const exchangeMs = contactMs / EXCHANGES_A_BOUND
  return {
    exchangeMs,
    retryMs: exchangeMs * 3,
    timeoutMs: exchangeMs * 1.5,
    silentMs: exchangeMs * 3.25,
    relayTrustMs: exchangeMs * 5,
    holderSilentMs: exchangeMs * 2.25,
    directSpreadMs: exchangeMs * 1.75,
    relayedSpreadMs: exchangeMs * 3
  }
}
