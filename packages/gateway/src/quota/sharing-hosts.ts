/**
 * Hosts that may use the customers' quotas. One that vanished may be cut off from this host and still use its share, for as long as
 * that lasts; one that said that it was leaving has ended. State without I/O.
 */
import type { HostSummary } from '../members/types.js'

/** A host that was leaving has ended by then. */
const LEAVING_RETENTION_MS = 30_000
/** Longer than hosts stay cut off from one another. Until then the share of hosts that are lost for good isn't allocated. */
export const LOST_RETENTION_MS = 600_000

export class SharingHosts {
  readonly #untilMs = new Map<string, number>()

  private constructor () {}

  static create (): SharingHosts {
    return new SharingHosts()
  }

  /**
   * @param live the other hosts that are up
   * @returns number of hosts that may use the quotas, except this one
   */
  observe (live: readonly Pick<HostSummary, 'address' | 'leaving'>[], nowMs: number): number {
    for (const { address, leaving } of live) this.#untilMs.set(address.host, nowMs + (leaving ? LEAVING_RETENTION_MS : LOST_RETENTION_MS))
    for (const [host, untilMs] of this.#untilMs) {
      if (untilMs < nowMs) this.#untilMs.delete(host)
    }
    return this.#untilMs.size
  }
}
