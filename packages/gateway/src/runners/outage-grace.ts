/**
 * How long runners whose entries disappeared are kept after an outage of the platform's list: entries that expired during the
 * outage return if their runners are alive. Each host uses only the outages that it observed itself, and can't tell whether
 * the platform was down or only unreachable from this host. In the latter case the runners may have left long ago, and the
 * host counts as in contact again from the first moment at which a read could have succeeded. So the grace period starts at
 * the last read that failed. Pure state.
 */

/** Entries that expired during an outage return within this time after its end if their runners are alive. */
const RETURN_WINDOW_MS = 2_300
/** Time until a host acts on a list that it can read again: reads that fail on old connections, and the sweep of the table. */
const REACTION_MS = 1_000
/** Without an update for this long, entries of live runners may have expired. */
const MIN_OUTAGE_MS = 2_500
/** Duration of a read. A host reads the list itself only when it is no longer fresh, so a gap of that time and one read is no outage. */
const READ_DURATION_MS = 700

export type OutageGraceParts = {
  /** Age of the list up to which this host relies on the reads of other hosts. */
  freshMs: number
  /** Time after which a host that can reach the platform again has to act on the platform's list. */
  contactMs: number
}

export class OutageGrace {
  readonly #minOutageMs: number
  readonly #returnWindowMs: number
  #lastFailedReadMs = -Infinity
  #outageEndMs = -Infinity

  private constructor ({ freshMs, contactMs }: OutageGraceParts) {
    this.#minOutageMs = Math.max(MIN_OUTAGE_MS, freshMs + READ_DURATION_MS)
    this.#returnWindowMs = Math.max(0, Math.min(RETURN_WINDOW_MS, contactMs - REACTION_MS))
  }

  static create (parts: OutageGraceParts): OutageGrace {
    return new OutageGrace(parts)
  }

  /** A read that started at this time failed. */
  onReadFailed (startedMs: number): void {
    this.#lastFailedReadMs = Math.max(this.#lastFailedReadMs, startedMs)
  }

  /** The list is now known as of `asOfMs`; until this update it was known as of `previousAsOfMs`. */
  onUpdate (previousAsOfMs: number, asOfMs: number): void {
    const isOutage = previousAsOfMs > -Infinity && asOfMs - previousAsOfMs > this.#minOutageMs && this.#lastFailedReadMs > previousAsOfMs
    if (isOutage) this.#outageEndMs = this.#lastFailedReadMs
  }

  /** The list came back from an older copy: entries that it lacks are written again. */
  onNewEra (nowMs: number): void {
    this.#outageEndMs = Math.max(this.#outageEndMs, nowMs)
  }

  /** Time left for entries that expired during an outage to return. */
  remainingMs (nowMs: number): number {
    return Math.max(0, this.#outageEndMs + this.#returnWindowMs - nowMs)
  }
}
