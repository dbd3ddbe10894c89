/**
 * Remembers at which version of the runners' software the streams of this host began, by the id of the request that brought the
 * first event. Callers that continue a stream name that id; if it came twice, at different versions, neither is known. Pure state;
 * times are monotonic milliseconds.
 */
import { UNSTATED_VERSION } from './types.js'

/** A stream can't be continued any more after this time. */
export const STREAM_LIFE_MS = 120_000
/** A stream whose answer was complete may still be continued if its last bytes were lost on the way. */
const COMPLETE_LIFE_MS = 5_000
/** Streams of two minutes at some hundred a second; the oldest ones are dropped. */
const MAX_STREAMS = 32_768

/** Where a stream began. */
export type StreamOrigin = { service: string, softwareVersion: string }

type Entry = StreamOrigin & { untilMs: number }

export class StreamMemory {
  readonly #streams = new Map<string, Entry>()

  private constructor () {}

  static create (): StreamMemory {
    return new StreamMemory()
  }

  /** The first event of a stream is written to its caller, or a request that continues one is sent on. */
  onBegun (requestId: string, origin: StreamOrigin, nowMs: number): void {
    const known = this.#streams.get(requestId)
    const isAmbiguous = known !== undefined && (known.softwareVersion !== origin.softwareVersion || known.service !== origin.service)
    this.#streams.delete(requestId)
    this.#streams.set(requestId, { ...origin, softwareVersion: isAmbiguous ? UNSTATED_VERSION : origin.softwareVersion, untilMs: nowMs + STREAM_LIFE_MS })
    if (this.#streams.size <= MAX_STREAMS) return
    const [oldest] = this.#streams.keys()
    if (oldest !== undefined) this.#streams.delete(oldest)
  }

  /** The whole stream was written to its caller. */
  onComplete (requestId: string, nowMs: number): void {
    const entry = this.#streams.get(requestId)
    if (entry !== undefined) entry.untilMs = Math.min(entry.untilMs, nowMs + COMPLETE_LIFE_MS)
  }

  originOf (requestId: string, nowMs: number): StreamOrigin | undefined {
    const entry = this.#streams.get(requestId)
    return entry === undefined || entry.untilMs < nowMs ? undefined : entry
  }

  /** Ids of the streams of a service that may be continued, with their origins. */
  open (service: string, nowMs: number): { requestId: string, origin: StreamOrigin }[] {
    return [...this.#streams].filter(([, entry]) => entry.service === service && entry.untilMs >= nowMs).map(([requestId, origin]) => ({ requestId, origin }))
  }

  sweep (nowMs: number): void {
    for (const [requestId, { untilMs }] of this.#streams) if (untilMs < nowMs) this.#streams.delete(requestId)
  }
}
