/**
 * Knows which versions of the runners' software may have begun streams that can still be continued, and has a version recorded
 * on the platform before streams begin at it: so a host that knows nothing of its own can tell whether there was only one.
 */
import type { Clock, Logger } from '@figloom/runtime'
import type { RunnerTable } from '../runners/runner-table.js'
import { STREAM_LIFE_MS } from './stream-memory.js'
import { UNSTATED_VERSION, type StreamLog, type VersionRecord } from './types.js'

/** Interval at which a version in use is recorded again, by the first host that finds its record older. */
const REFRESH_MS = 30_000
/** By which clocks of hosts may differ. */
const CLOCK_MARGIN_MS = 30_000
/** A version that was seen longer ago has no stream any more. */
const VERSION_LIFE_MS = STREAM_LIFE_MS + REFRESH_MS + CLOCK_MARGIN_MS
/** Interval at which requests have the list looked through, which may be long. */
const OBSERVE_MS = 100
/** Delay after a call that failed. */
const RETRY_MS = 500

export type VersionHistoryParts = { clock: Clock, log: Logger, runners: RunnerTable, streamLog: StreamLog }

/** Times at which a version was seen and recorded; monotonic milliseconds. */
type Known = { seenMs: number, confirmedMs: number, nextTryMs: number }

export class VersionHistory {
  /** By service and version. */
  readonly #known = new Map<string, Map<string, Known>>()
  readonly #observedMs = new Map<string, number>()
  #stopped = false

  private constructor (private readonly parts: VersionHistoryParts) {}

  static create (parts: VersionHistoryParts): VersionHistory {
    return new VersionHistory(parts)
  }

  stop (): void {
    this.#stopped = true
  }

  /** A stream of this service is about to begin or to go on: observes it, unless that was just done. */
  onStream (service: string): void {
    if (this.#nowMs() - (this.#observedMs.get(service) ?? -Infinity) >= OBSERVE_MS) this.observe(service)
  }

  /** Notes the versions that are listed, and has those recorded at which streams are about to begin. */
  observe (service: string): void {
    this.#observedMs.set(service, this.#nowMs())
    for (const softwareVersion of this.#listed(service)) {
      const known = this.#note(service, softwareVersion)
      const nowMs = this.#nowMs()
      const isDue = nowMs - known.confirmedMs >= REFRESH_MS && nowMs >= known.nextTryMs
      if (isDue && !this.#stopped) this.#confirm(service, softwareVersion, known)
    }
  }

  /** Observes the services with several versions, so that these are recorded before this host's first stream. */
  observeMixed (): void {
    const firstVersions = new Map<string, string | undefined>()
    const mixed = new Set<string>()
    for (const { entry: { service, softwareVersion } } of this.parts.runners.all()) {
      if (!firstVersions.has(service)) firstVersions.set(service, softwareVersion)
      else if (firstVersions.get(service) !== softwareVersion) mixed.add(service)
    }
    for (const service of mixed) this.onStream(service)
  }

  /** Observes all services whose streams this host has served. */
  observeAll (): void {
    for (const service of this.#known.keys()) this.observe(service)
  }

  /**
   * Whether a new stream may begin at this version: it is recorded, or it is the only one with a usable runner. Of several versions
   * that this host has not recorded, others may know one alone, and would continue any stream there.
   */
  mayBegin (service: string, softwareVersion: string | undefined): boolean {
    const versions = this.#known.get(service)
    if (this.#isRecorded(versions?.get(softwareVersion ?? UNSTATED_VERSION))) return true
    const usable = new Set(this.parts.runners.usable(service).map(({ entry }) => entry.softwareVersion ?? UNSTATED_VERSION))
    return usable.size <= 1 && ![...usable].some((version) => this.#isRecorded(versions?.get(version)))
  }

  /** Whether more than one version may have streams, as far as this host knows. */
  isMixed (service: string): boolean {
    return this.#recent(service).length > 1
  }

  services (): string[] {
    return [...this.#known.keys()]
  }

  /** The only version that any stream of the service can have begun at; undefined if there may be several, or if that isn't known. */
  async soleVersion (service: string): Promise<string | undefined> {
    for (const softwareVersion of this.#listed(service)) this.#note(service, softwareVersion)
    if (this.isMixed(service)) return undefined
    this.#addRecords(await this.parts.streamLog.readVersions())
    const [only, ...others] = this.#recent(service)
    return others.length === 0 && only !== UNSTATED_VERSION ? only : undefined
  }

  /** The platform came back from an older copy, which may lack what was recorded. */
  onNewEra (): void {
    for (const versions of this.#known.values()) for (const known of versions.values()) known.confirmedMs = -Infinity
    this.observeAll()
  }

  /** Versions of all listed runners, those that drain included. */
  #listed (service: string): Set<string> {
    const entries = this.parts.runners.all().filter(({ entry }) => entry.service === service)
    return new Set(entries.map(({ entry }) => entry.softwareVersion ?? UNSTATED_VERSION))
  }

  #note (service: string, softwareVersion: string, seenMs = this.#nowMs()): Known {
    const versions = this.#known.get(service) ?? new Map<string, Known>()
    this.#known.set(service, versions)
    const known = versions.get(softwareVersion) ?? { seenMs, confirmedMs: -Infinity, nextTryMs: -Infinity }
    versions.set(softwareVersion, known)
    known.seenMs = Math.max(known.seenMs, seenMs)
    return known
  }

  #recent (service: string): string[] {
    const sinceMs = this.#nowMs() - VERSION_LIFE_MS
    return [...this.#known.get(service) ?? []].filter(([, { seenMs }]) => seenMs >= sinceMs).map(([softwareVersion]) => softwareVersion)
  }

  #isRecorded (known: Known | undefined): boolean {
    return known !== undefined && this.#nowMs() - known.confirmedMs < STREAM_LIFE_MS
  }

  #confirm (service: string, softwareVersion: string, known: Known): void {
    const { clock, log } = this.parts
    const startedMs = this.#nowMs()
    known.nextTryMs = Infinity
    this.#record(service, softwareVersion).then(() => {
      known.confirmedMs = startedMs
      known.nextTryMs = -Infinity
    }, (error: Error) => {
      known.nextTryMs = clock.monotonicMs() + RETRY_MS
      log.warn('version of the runners was not recorded', { service, softwareVersion, reason: error.message })
    })
  }

  /** Another host may have recorded it shortly before. */
  async #record (service: string, softwareVersion: string): Promise<void> {
    const { streamLog, clock, log } = this.parts
    const records = await streamLog.readVersions()
    this.#addRecords(records)
    const recorded = records.find((record) => record.service === service && record.softwareVersion === softwareVersion)
    const ageMs = recorded === undefined ? Infinity : Math.abs(clock.now().getTime() - recorded.lastSeenAt.getTime())
    if (ageMs < REFRESH_MS) return
    await streamLog.writeVersion({ service, softwareVersion, lastSeenAt: clock.now() })
    if (ageMs === Infinity) log.info('version of the runners recorded', { service, softwareVersion })
  }

  /** Wall clocks of hosts differ; a time in the future counts as now. */
  #addRecords (records: readonly VersionRecord[]): void {
    const nowUnixMs = this.parts.clock.now().getTime()
    for (const { service, softwareVersion, lastSeenAt } of records) {
      const ageMs = Math.max(0, nowUnixMs - lastSeenAt.getTime())
      if (ageMs < VERSION_LIFE_MS) this.#note(service, softwareVersion, this.#nowMs() - ageMs)
    }
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }
}
