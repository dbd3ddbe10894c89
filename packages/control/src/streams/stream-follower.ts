/** Follows one stream of the log by long polling and emits its records in order, without gaps. */
import type { Clock, Failure } from '@figloom/runtime'
import { createFailure, ResultCode } from '@figloom/runtime'
import type { LogClient, LogPage, LogRecord } from '@figloom/clients'

/** Event of a follower; `from` is the offset that was requested. */
export type StreamEvent =
  | { kind: 'records', from: number, records: LogRecord[], nextOffset: number, firstOffset: number }
  | { kind: 'truncated', from: number }
  | { kind: 'failed', from: number, failure: Failure }

/** Settings of a follower; times are in milliseconds. */
export type StreamFollowerOptions = {
  log: LogClient
  stream: string
  clock: Clock
  /** Longest time that the log holds one poll. */
  waitMs: number
  /** Delay after a failed poll; doubles with each further failure, up to eight times this value. */
  retryMs: number
  /** Time after which a poll counts as failed, on top of `waitMs`. */
  timeoutMs: number
  /** Handles an event before the next poll starts. */
  onEvent: (event: StreamEvent) => void
}

/** Bounds of a stream in the log: the offset of the oldest record kept, and the one that the next record will get. */
export type StreamBounds = { firstOffset: number, nextOffset: number }

const MAX_BACKOFF_FACTOR = 8

/** Pause after an empty answer, in case the log answers polls at once. */
const EMPTY_POLL_PAUSE_MS = 20

/** Polls a stream from an offset; `follow` starts again at another one. */
export class StreamFollower {
  #abort = new AbortController()

  private constructor (private readonly options: StreamFollowerOptions) {}

  static create (options: StreamFollowerOptions): StreamFollower {
    return new StreamFollower(options)
  }

  /** Cancels the poll in progress and continues at `from`. */
  follow (from: number): void {
    this.stop()
    this.#abort = new AbortController()
    this.#run(from, this.#abort.signal)
  }

  /** Stops polling; no further event is emitted. */
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
      // After a failure the next poll asks for an answer at once, to detect early that the log is back.
      waitMs = event.kind === 'failed' ? 0 : this.options.waitMs
      this.options.onEvent(event)
      if (event.kind === 'truncated') return
      failures = event.kind === 'failed' ? failures + 1 : 0
      if (failures > 0) await this.options.clock.sleep(this.#pauseMs(failures), signal)
      if (isEmpty(event)) await this.options.clock.sleep(EMPTY_POLL_PAUSE_MS, signal)
    }
  }

  #pauseMs (failures: number): number {
    return this.options.retryMs * Math.min(2 ** (failures - 1), MAX_BACKOFF_FACTOR)
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

/** Reads the bounds of a stream. */
export function readBounds (log: LogClient, stream: string): ReturnType<LogClient['read']> {
  return log.read(stream, { from: Number.MAX_SAFE_INTEGER, limit: 1 })
}

function toFailedEvent (from: number, failure: Failure): StreamEvent {
  if (failure.code.code === ResultCode.LogTruncated.code) return { kind: 'truncated', from }
  return { kind: 'failed', from, failure }
}

/** An empty answer after the timeout counts as failed, since it may not reflect the present end of the log. */
function toRecordsEvent (from: number, page: LogPage, expired: boolean): StreamEvent {
  const records = contiguousPart(from, page.records)
  if (records.length === 0 && (page.records.length > 0 || expired)) {
    return { kind: 'failed', from, failure: createFailure(ResultCode.LogUnavailable, `no records that start at offset ${from} arrived in time`) }
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
