/**
 * Finds at which version of the runners' software a stream began that a caller continues, and publishes where this host's streams
 * began while several versions may have streams. What isn't known for certain is unknown.
 */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import { StreamMemory, type StreamOrigin } from './stream-memory.js'
import { UNSTATED_VERSION, type StreamLog } from './types.js'
import type { VersionHistory } from './version-history.js'

/** Interval between two batches; at most some hundred a second from all hosts together. */
const MIN_PUBLISH_MS = 250
const PUBLISH_MS_PER_HOST = 10
/** Ids in one record of the platform, which is bounded. */
const MAX_BATCH = 2_000
/** Time for which a caller that continues a stream is kept waiting for records of the platform. */
const MAX_WAIT_MS = 700

/** Who knows at which version a stream began. */
export const KnownBy = { ThisAnswer: 'this answer', ThisHost: 'this host', OnlyVersion: 'the only version', Platform: 'the platform', Nobody: 'nobody' } as const
export type KnownBy = (typeof KnownBy)[keyof typeof KnownBy]

export type FoundOrigin = { softwareVersion: string, knownBy: KnownBy }

export type StreamOriginsParts = { clock: Clock, log: Logger, history: VersionHistory, streamLog: StreamLog, hostCount: () => number }

export class StreamOrigins {
  readonly #own = StreamMemory.create()
  readonly #others = StreamMemory.create()
  /** Ids of own streams that are on the platform. */
  readonly #published = new Set<string>()
  #timer: Timer | undefined
  #stopped = false
  /** The read of the platform's records that is in progress, and the one that follows it. */
  #reading: Promise<void> | undefined
  #nextRead: Promise<void> | undefined

  private constructor (private readonly parts: StreamOriginsParts) {}

  static create (parts: StreamOriginsParts): StreamOrigins {
    return new StreamOrigins(parts)
  }

  start (): void {
    this.#timer = this.parts.clock.setTimer(this.#publishMs(), () => this.#publishRegularly())
  }

  stop (): void {
    this.#stopped = true
    this.#timer?.cancel()
  }

  /** @param streamId id of the caller's request that brought the stream's first event */
  onBegun (streamId: string, origin: StreamOrigin): void {
    this.#own.onBegun(streamId, origin, this.#nowMs())
  }

  onComplete (streamId: string): void {
    this.#own.onComplete(streamId, this.#nowMs())
  }

  /** What this host knows without asking the platform. */
  recall (streamId: string, service: string): FoundOrigin | undefined {
    const origin = this.#own.originOf(streamId, this.#nowMs())
    return origin === undefined || origin.service !== service ? undefined : toFound(origin, KnownBy.ThisHost)
  }

  /** Asks the platform; undefined if it isn't known for certain. */
  async find (streamId: string, service: string): Promise<FoundOrigin | undefined> {
    const { clock, history } = this.parts
    // A stream that began at another service goes on nowhere.
    if (this.#own.originOf(streamId, this.#nowMs()) !== undefined) return undefined
    const untilMs = this.#nowMs() + MAX_WAIT_MS
    const sole = await this.#inTime(history.soleVersion(service), untilMs)
    if (sole !== undefined) return { softwareVersion: sole, knownBy: KnownBy.OnlyVersion }
    if (streamId === '') return undefined
    for (;;) {
      await this.#inTime(this.#readOthers(), untilMs)
      const origin = this.#others.originOf(streamId, this.#nowMs())
      if (origin !== undefined && origin.service === service) return toFound(origin, KnownBy.Platform)
      // The host that began it may not have published it yet.
      if (this.#nowMs() + this.#publishMs() > untilMs) return undefined
      await clock.sleep(this.#publishMs())
    }
  }

  /** Publishes the streams of services with several versions; also called when another version is seen. */
  async publish (): Promise<void> {
    const mixed = this.parts.history.services().filter((service) => this.parts.history.isMixed(service))
    await Promise.all(mixed.map((service) => this.#publishService(service)))
  }

  sweep (): void {
    const nowMs = this.#nowMs()
    this.#own.sweep(nowMs)
    this.#others.sweep(nowMs)
    for (const requestId of this.#published) if (this.#own.originOf(requestId, nowMs) === undefined) this.#published.delete(requestId)
  }

  /** The platform came back from an older copy, which may lack what was published. */
  onNewEra (): void {
    this.#published.clear()
  }

  #publishRegularly (): void {
    if (this.#stopped) return
    this.parts.history.observeAll()
    this.publish().finally(() => { if (!this.#stopped) this.start() })
  }

  async #publishService (service: string): Promise<void> {
    const fresh = this.#own.open(service, this.#nowMs()).filter(({ requestId }) => !this.#published.has(requestId))
    const versions = new Set(fresh.map(({ origin }) => origin.softwareVersion))
    for (const softwareVersion of versions) {
      const requestIds = fresh.filter(({ origin }) => origin.softwareVersion === softwareVersion).map(({ requestId }) => requestId).slice(0, MAX_BATCH)
      try {
        await this.parts.streamLog.writeStreams({ service, softwareVersion, requestIds })
        for (const requestId of requestIds) this.#published.add(requestId)
      } catch (error) {
        this.parts.log.warn('streams of a version were not published', { service, softwareVersion, streams: requestIds.length, reason: (error as Error).message })
      }
    }
  }

  /** A read that starts from now on; those that ask while one is in progress share the next one. */
  #readOthers (): Promise<void> {
    if (this.#reading === undefined) {
      this.#reading = this.#read().finally(() => { this.#reading = undefined })
      return this.#reading
    }
    this.#nextRead ??= this.#reading.then(() => {
      this.#nextRead = undefined
      return this.#readOthers()
    })
    return this.#nextRead
  }

  async #read (): Promise<void> {
    try {
      for (const { service, softwareVersion, requestIds } of await this.parts.streamLog.readStreams()) {
        for (const requestId of requestIds) this.#others.onBegun(requestId, { service, softwareVersion }, this.#nowMs())
      }
    } catch (error) {
      this.parts.log.warn('streams of versions could not be read', { reason: (error as Error).message })
    }
  }

  async #inTime<Value> (promise: Promise<Value>, untilMs: number): Promise<Value | undefined> {
    const { clock, log } = this.parts
    const settled = promise.catch((error: Error) => {
      log.warn('records of versions could not be read', { reason: error.message })
      return undefined
    })
    return Promise.race([settled, clock.sleep(Math.max(0, untilMs - this.#nowMs())).then(() => undefined)])
  }

  #publishMs (): number {
    return Math.max(MIN_PUBLISH_MS, this.parts.hostCount() * PUBLISH_MS_PER_HOST)
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }
}

function toFound ({ softwareVersion }: StreamOrigin, knownBy: KnownBy): FoundOrigin | undefined {
  return softwareVersion === UNSTATED_VERSION ? undefined : { softwareVersion, knownBy }
}
