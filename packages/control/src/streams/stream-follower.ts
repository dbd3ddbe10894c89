/** Follows one stream of the log by long poll and hands its records on in order, without gaps. */
import type { Clock, Failure } from '@figloom/runtime'
import { createFailure, ResultCode } from '@figloom/runtime'
import type { LogClient, LogPage, LogRecord } from '@figloom/clients'

/** What a follower reports; every event names the offset that was asked for. */
export type StreamEvent =
  | { kind: 'records', from: number, records: LogRecord[], nextOffset: number, firstOffset: number }
  | { kind: 'truncated', from: number }
  | { kind: 'failed', from: number, failure: Failure }

/** Settings of a follower, in milliseconds. */
export type StreamFollowerOptions = {
  log: LogClient
  stream: string
  clock: Clock
  /** Longest wait of one poll. */
  waitMs: number
  /** Pause after a failed poll; doubles with each further one up to eight times as long. */
  retryMs: number
  /** Time after which a poll counts as failed, on top of `waitMs`. */
  timeoutMs: number
  /** Handles an event before the next poll starts. */
  onEvent: (event: StreamEvent) => void
}

/** Offsets between which the log keeps a stream: `firstOffset` is the oldest, `nextOffset` the next to be given. */
export type StreamBounds = { firstOffset: number, nextOffset: number }

const MAX_PAUSE_FACTOR = 8

/** Pause after an empty answer, in case the log does not hold polls. */
const EMPTY_PAUSE_MS = 20

/** Polls a stream from an offset; `follow` starts again at another one. */
export class StreamFollower {
  #abort = new AbortController()

  private constructor (private readonly options: StreamFollowerOptions) {}

  static create (options: StreamFollowerOptions): StreamFollower {
    return new StreamFollower(options)
  }

  /** Drops the poll under way and reads on from `from`. */
  follow (from: number): void {
    this.stop()
    this.#abort = new AbortController()
    this.#run(from, this.#abort.signal)
  }

  /** Ends polling; no event follows. */
  stop (): void {
    this.#abort.abort()
  }

  async #run (start: number, signal: AbortSignal): Promise<void> {
    let from = start
    let waitMs = this.options.waitMs
    let failures = 0
    while (!signal.aborted) {
      const event = await this.#poll(from, waitMs, signal)
      if (signal.aborted) return
      if (event.kind === 'records') from += event.records.length
      // After a failure the next answer should come at once, so that a log that is back is seen.
      waitMs = event.kind === 'failed' ? 0 : this.options.waitMs
      this.options.onEvent(event)
      if (event.kind === 'truncated') return
      failures = event.kind === 'failed' ? failures + 1 : 0
      if (failures > 0) await this.options.clock.sleep(this.#pauseMs(failures), signal)
      if (isEmpty(event)) await this.options.clock.sleep(EMPTY_PAUSE_MS, signal)
    }
  }

  #pauseMs (failures: number): number {
    return this.options.retryMs * Math.min(2 ** (failures - 1), MAX_PAUSE_FACTOR)
  }

  async #poll (from: number, waitMs: number, signal: AbortSignal): Promise<StreamEvent> {
    const { log, stream, clock, timeoutMs } = this.options
    const expiry = new AbortController()
    const cancel = () => expiry.abort()
    signal.addEventListener('abort', cancel, { once: true })
    const timer = clock.setTimer(waitMs + timeoutMs, cancel)
    const result = await log.read(stream, { from, waitMs, signal: expiry.signal })
    timer.cancel()
    signal.removeEventListener('abort', cancel)
    if (result.isErr()) return toFailedEvent(from, result.error)
    return toRecordsEvent(from, result.value, expiry.signal.aborted)
  }
}

/** Reads which offsets of a stream the log keeps. */
export function readBounds (log: LogClient, stream: string): ReturnType<LogClient['read']> {
  return log.read(stream, { from: Number.MAX_SAFE_INTEGER, limit: 1 })
}

function toFailedEvent (from: number, failure: Failure): StreamEvent {
  if (failure.code.code === ResultCode.LogTruncated.code) return { kind: 'truncated', from }
  return { kind: 'failed', from, failure }
}

/** An empty answer that came after its time says nothing of the log's present end. */
function toRecordsEvent (from: number, page: LogPage, expired: boolean): StreamEvent {
  const records = contiguousPart(from, page.records)
  if (records.length === 0 && (page.records.length > 0 || expired)) {
    return { kind: 'failed', from, failure: createFailure(ResultCode.LogUnavailable, `no answer that starts at offset ${from}`) }
  }
  return { kind: 'records', from, records, nextOffset: page.nextOffset, firstOffset: page.firstOffset }
}

function isEmpty (event: StreamEvent): boolean {
  return event.kind === 'records' && event.records.length === 0
}

function contiguousPart (from: number, records: LogRecord[]): LogRecord[] {
  const end = records.findIndex((record, index) => record.offset !== from + index)
  return end === -1 ? records : records.slice(0, end)
}
