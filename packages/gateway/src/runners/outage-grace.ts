/**
 * How long runners whose entries disappeared are kept after an outage of the platform's list: entries that expired in the
 * outage come back if their runners live. Each host goes by the outages that it saw itself, and can't tell whether the
 * platform was away or only the path to it; in the latter case the runners may have left long ago, and the host is in contact
 * again from the first moment at which a read could have succeeded. So the time counts from the last read that failed.
 * Pure state.
 */

/** Entries that expired in an outage are back within this time of its end if their runners live. */
const RETURN_MS = 2_300
/** Until a host acts on what it read: failed reads on connections of before, the sweep of the table. */
const ACT_MS = 1_000
/** Without news for this long, entries of living runners may have expired. */
const OUTAGE_MS = 2_500
/** Others read for this host until it reads itself: that time and a read are no outage. */
const READ_MS = 700

export type OutageGraceParts = {
  /** Age up to which this host leaves the reading to others. */
  restMs: number
  /** Time after which a host whose path to the platform is back has to act on what the platform says. */
  contactMs: number
}

export class OutageGrace {
  readonly #gapMs: number
  readonly #returnMs: number
  #failedMs = -Infinity
  #endMs = -Infinity

  private constructor ({ restMs, contactMs }: OutageGraceParts) {
    this.#gapMs = Math.max(OUTAGE_MS, restMs + READ_MS)
    this.#returnMs = Math.max(0, Math.min(RETURN_MS, contactMs - ACT_MS))
  }

  static create (parts: OutageGraceParts): OutageGrace {
    return new OutageGrace(parts)
  }

  /** A read that began at this time failed. */
  onFailed (startedMs: number): void {
    this.#failedMs = Math.max(this.#failedMs, startedMs)
  }

  /** The list is known up to `asOfMs`, before it was up to `beforeMs`. */
  onKnown (beforeMs: number, asOfMs: number): void {
    const isOutage = beforeMs > -Infinity && asOfMs - beforeMs > this.#gapMs && this.#failedMs > beforeMs
    if (isOutage) this.#endMs = this.#failedMs
  }

  /** Time left in which entries that expired in an outage come back. */
  leftMs (nowMs: number): number {
    return Math.max(0, this.#endMs + this.#returnMs - nowMs)
  }
}
