import { errAsync, ResultAsync, err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { LogClient, type LogPage, type LogRecord, type ReadOptions } from '@figloom/clients'

/** Injected faults of the log. They can be changed while the log is in use. */
export type LogFaults = {
  /** Every call fails without effect. */
  down: boolean
  /** Delay before a call takes effect, in milliseconds. */
  delayMs: number
  /** Number of upcoming appends that take effect, but whose answer is lost. */
  loseAnswers: number
  /** Number of upcoming appends that are refused without effect. */
  rejectAppends: number
  /** Rate limit for appends to all streams together, per second. 0 disables it. */
  appendsPerSecond: number
}

type StoredRecord = LogRecord & { appendedAtMs: number }
type PendingRead = { stream: string, wake: () => void }

const DEFAULT_READ_LIMIT = 1000
const MS_PER_SECOND = 1_000

/** A simulated log service without its HTTP layer: streams in memory, with retention and injected faults. */
export class MemoryLog extends LogClient {
  readonly faults: LogFaults = { down: false, delayMs: 0, loseAnswers: 0, rejectAppends: 0, appendsPerSecond: 0 }
  readonly #streams = new Map<string, StoredRecord[]>()
  readonly #nextOffsets = new Map<string, number>()
  readonly #pendingReads = new Set<PendingRead>()
  /** Number of appends that took effect, for measurements. */
  appendCount = 0
  /** Size in bytes of the record ids and bodies, as JSON, of the appends that took effect. */
  appendedBytes = 0
  /** Token bucket of the rate limit, with the time of its last update. */
  #tokenBucket = { tokens: 0, updatedAtMs: -Infinity }

  private constructor (private readonly clock: Clock, private readonly retentionMs: number) {
    super()
  }

  static create (options: { clock: Clock, retentionMs?: number }): MemoryLog {
    return new MemoryLog(options.clock, options.retentionMs ?? Infinity)
  }

  override append (stream: string, recordId: string, body: unknown, signal?: AbortSignal): ResultAsync<{ offset: number }, Failure> {
    return new ResultAsync(this.#append(stream, recordId, body, signal))
  }

  override read (stream: string, options: ReadOptions): ResultAsync<LogPage, Failure> {
    if (options.from < 1) return errAsync(createFailure(ResultCode.MalformedRequest, 'offsets start at 1'))
    return new ResultAsync(this.#read(stream, options))
  }

  async #append (stream: string, recordId: string, body: unknown, signal?: AbortSignal): Promise<Result<{ offset: number }, Failure>> {
    await this.#delay(signal)
    if (this.faults.down || signal?.aborted) return err(createFailure(ResultCode.LogUnavailable, 'the log did not answer'))
    if (this.faults.rejectAppends > 0) {
      this.faults.rejectAppends -= 1
      return err(createFailure(ResultCode.LogRejected, 'the log refused the append', { retryAfterMs: 100 }))
    }
    const waitMs = this.#takeToken()
    if (waitMs > 0) return err(createFailure(ResultCode.LogRejected, 'the rate limit of the log is exceeded', { retryAfterMs: waitMs }))
    const offset = this.#store(stream, recordId, body)
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1
      return err(createFailure(ResultCode.LogUnavailable, 'the answer of the log was lost'))
    }
    return ok({ offset })
  }

  async #read (stream: string, options: ReadOptions): Promise<Result<LogPage, Failure>> {
    await this.#delay(options.signal)
    if (this.faults.down) return err(createFailure(ResultCode.LogUnavailable, 'the log did not answer'))
    if (options.from >= this.#nextOffset(stream) && (options.waitMs ?? 0) > 0) await this.#waitForAppend(stream, options)
    if (this.faults.down || options.signal?.aborted) return err(createFailure(ResultCode.LogUnavailable, 'the log did not answer'))
    return this.#readPage(stream, options.from, options.limit ?? DEFAULT_READ_LIMIT)
  }

  #readPage (stream: string, from: number, limit: number): Result<LogPage, Failure> {
    const retained = this.#retainedRecords(stream)
    const nextOffset = this.#nextOffset(stream)
    const firstOffset = retained[0]?.offset ?? nextOffset
    if (from < firstOffset) return err(createFailure(ResultCode.LogTruncated, `offset ${from} was truncated; the oldest is ${firstOffset}`))
    const start = from - firstOffset
    const records = retained.slice(start, start + limit)
      .map(({ offset, recordId, body }) => ({ offset, recordId, body: structuredClone(body) }))
    return ok({ firstOffset, nextOffset, records })
  }

  #store (stream: string, recordId: string, body: unknown): number {
    const offset = this.#nextOffset(stream)
    const records = this.#streams.get(stream) ?? []
    records.push({ offset, recordId, body: structuredClone(body), appendedAtMs: this.clock.monotonicMs() })
    this.#streams.set(stream, records)
    this.#nextOffsets.set(stream, offset + 1)
    this.appendCount += 1
    this.appendedBytes += Buffer.byteLength(JSON.stringify({ recordId, body }))
    for (const pending of [...this.#pendingReads]) if (pending.stream === stream) pending.wake()
    return offset
  }

  /** Takes a token from the bucket, whose capacity is one second of the rate. Returns the wait in milliseconds if it is empty, else 0. */
  #takeToken (): number {
    const rate = this.faults.appendsPerSecond
    if (rate <= 0) return 0
    const nowMs = this.clock.monotonicMs()
    const gained = (nowMs - this.#tokenBucket.updatedAtMs) * rate / MS_PER_SECOND
    const tokens = Math.min(rate, this.#tokenBucket.tokens + gained)
    this.#tokenBucket = { tokens: tokens >= 1 ? tokens - 1 : tokens, updatedAtMs: nowMs }
    return tokens >= 1 ? 0 : Math.ceil((1 - tokens) * MS_PER_SECOND / rate)
  }

  #retainedRecords (stream: string): StoredRecord[] {
    const records = this.#streams.get(stream) ?? []
    const retainedSinceMs = this.clock.monotonicMs() - this.retentionMs
    while (records[0] !== undefined && records[0].appendedAtMs < retainedSinceMs) records.shift()
    return records
  }

  #nextOffset (stream: string): number {
    return this.#nextOffsets.get(stream) ?? 1
  }

  async #delay (signal?: AbortSignal): Promise<void> {
    if (this.faults.delayMs > 0) await this.clock.sleep(this.faults.delayMs, signal)
  }

  #waitForAppend (stream: string, options: ReadOptions): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.cancel()
        options.signal?.removeEventListener('abort', wake)
        this.#pendingReads.delete(pending)
        resolve()
      }
      const pending = { stream, wake }
      const timer = this.clock.setTimer(options.waitMs ?? 0, wake)
      options.signal?.addEventListener('abort', wake, { once: true })
      this.#pendingReads.add(pending)
    })
  }
}
