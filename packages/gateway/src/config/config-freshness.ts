/**
 * Tells whether the configuration in force is the newest, as far as this host can know, and asks for a read of it where it may not be.
 * Answers the load of requests with keys of a version that this host has not read yet, among any number with keys that nobody holds.
 */
import type { Clock } from '@figloom/runtime'

/** Age of the last read up to which a newer version would be known: one long-polling read, with some time for the answer. */
const FRESH_READ_MS = 2_000
/** Shortest time between two reads that requests cause. */
const READ_INTERVAL_MS = 500

export type ConfigFreshnessParts = {
  clock: Clock
  /** Time since this host last read the configuration from the platform; undefined before its first read. */
  readAgoMs: () => number | undefined
  /** Whether another host reads the configuration regularly and would report a newer version. */
  receivesFromPeers: () => boolean
  /** Whether another host reported a version that this host doesn't have. */
  isBehindPeers: () => boolean
  /** Reads the configuration at once. */
  read: () => void
}

export class ConfigFreshness {
  #nextReadMs = -Infinity

  private constructor (private readonly parts: ConfigFreshnessParts) {}

  static create (parts: ConfigFreshnessParts): ConfigFreshness {
    return new ConfigFreshness(parts)
  }

  /** Whether a newer version would be known here. If not, a read is started. */
  check (): boolean {
    const isFresh = this.#isFresh()
    if (!isFresh) this.#read()
    return isFresh
  }

  #isFresh (): boolean {
    const { readAgoMs, receivesFromPeers, isBehindPeers } = this.parts
    if (isBehindPeers()) return false
    return (readAgoMs() ?? Infinity) <= FRESH_READ_MS || receivesFromPeers()
  }

  #read (): void {
    const nowMs = this.parts.clock.monotonicMs()
    if (nowMs < this.#nextReadMs) return
    this.#nextReadMs = nowMs + READ_INTERVAL_MS
    this.parts.read()
  }
}
