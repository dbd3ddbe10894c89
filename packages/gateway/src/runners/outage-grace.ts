/**
 * How long runners whose entries disappeared are kept after an outage of the platform's list: entries that expired in the
 * outage come back if their runners live. Each host goes by the outages that it saw itself. Pure state.
 */

/** Entries that expired in an outage are back within this time of its end if their runners live. */
const RETURN_MS = 2_300
/** Without news for this long, entries of living runners may have expired. */
const OUTAGE_MS = 2_500
/** Others read for this host until it reads itself: that time and a read are no outage. */
const READ_MS = 700

export class OutageGrace {
  #endMs = -Infinity

  private constructor (private readonly gapMs: number) {}

  /** @param restMs age up to which this host leaves the reading to others */
  static create (restMs: number): OutageGrace {
    return new OutageGrace(Math.max(OUTAGE_MS, restMs + READ_MS))
  }

  /** The list is known up to `asOfMs`, before it was up to `beforeMs`. */
  onKnown (beforeMs: number, asOfMs: number, nowMs: number): void {
    if (beforeMs > -Infinity && asOfMs - beforeMs > this.gapMs) this.#endMs = nowMs
  }

  /** Time left in which entries that expired in an outage come back. */
  leftMs (nowMs: number): number {
    return Math.max(0, this.#endMs + RETURN_MS - nowMs)
  }
}
