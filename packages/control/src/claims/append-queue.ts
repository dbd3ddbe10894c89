/** Batches the entries of a stream into records, and appends one record at a time, with retries, until the log accepts it. */
import type { Clock, Timer } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { CLAIM_RULE, type ClaimLogEntry } from './types.js'

export type AppendQueueOptions = {
  log: LogClient
  stream: string
  clock: Clock
  /** Record ids are this prefix and a counter; no other process may use the same prefix. */
  recordIdPrefix: string
  /** Longest time that a claim waits for others to share its record, in milliseconds. */
  claimBatchWindowMs: number
  /** Longest time that ends of attempts wait for a record, in milliseconds. */
  endBatchWindowMs: number
  /** Timeout of one append, in milliseconds. */
  timeoutMs: number
  /** Delay before a retry, if the log names none, in milliseconds. */
  retryMs: number
  onAppendFailed: () => void
}

const MAX_ENTRIES_PER_RECORD = 200
const MAX_QUEUED_ENTRIES = 5000

/** Owned by one task. A retry uses the same record id, so an append whose answer was lost is not duplicated. */
export class AppendQueue {
  readonly #queue: ClaimLogEntry[] = []
  readonly #abort = new AbortController()
  #timer: Timer | undefined
  #dueMs = Infinity
  #recordCount = 0
  #inFlightSinceMs: number | undefined
  #failed = false

  private constructor (private readonly options: AppendQueueOptions) {}

  static create (options: AppendQueueOptions): AppendQueue {
    return new AppendQueue(options)
  }

  /** Whether the last append failed or the present one exceeds its timeout; a new claim would wait in vain. */
  get failing (): boolean {
    if (this.#failed) return true
    return this.#inFlightSinceMs !== undefined && this.options.clock.monotonicMs() - this.#inFlightSinceMs > this.options.timeoutMs
  }

  get failed (): boolean {
    return this.#failed
  }

  /** Queues an entry; returns false if the queue is full. */
  add (entry: ClaimLogEntry): boolean {
    if (this.#queue.length >= MAX_QUEUED_ENTRIES) return false
    this.#queue.push(entry)
    this.#schedule(entry.kind === 'claim' ? this.options.claimBatchWindowMs : this.options.endBatchWindowMs)
    return true
  }

  /** Removes a claim from the queue; returns false if it is no longer there, as it may have been appended. */
  withdraw (attemptId: string): boolean {
    const index = this.#queue.findIndex((entry) => entry.kind === 'claim' && entry.attemptId === attemptId)
    if (index !== -1) this.#queue.splice(index, 1)
    return index !== -1
  }

  stop (): void {
    this.#abort.abort()
    this.#timer?.cancel()
  }

  #schedule (delayMs: number): void {
    const dueMs = this.options.clock.monotonicMs() + delayMs
    if (dueMs >= this.#dueMs) return
    this.#timer?.cancel()
    this.#dueMs = dueMs
    this.#timer = this.options.clock.setTimer(delayMs, () => this.#flush())
  }

  #flush (): void {
    if (this.#inFlightSinceMs !== undefined || this.#abort.signal.aborted) return
    const entries = this.#queue.splice(0, MAX_ENTRIES_PER_RECORD)
    this.#dueMs = this.#queue.length > 0 ? this.options.clock.monotonicMs() : Infinity
    if (entries.length === 0) return
    this.#recordCount += 1
    this.#appendUntilAccepted(`${this.options.recordIdPrefix}-${this.#recordCount}`, { rule: CLAIM_RULE, entries })
  }

  async #appendUntilAccepted (recordId: string, body: unknown): Promise<void> {
    const { log, stream, clock, retryMs } = this.options
    const { signal } = this.#abort
    this.#inFlightSinceMs = clock.monotonicMs()
    while (!signal.aborted) {
      const expiry = new AbortController()
      const timer = clock.setTimer(this.options.timeoutMs, () => expiry.abort())
      const result = await log.append(stream, recordId, body, expiry.signal)
      timer.cancel()
      this.#failed = result.isErr()
      if (result.isOk()) break
      this.options.onAppendFailed()
      await clock.sleep(result.error.retryAfterMs ?? retryMs, signal)
    }
    this.#inFlightSinceMs = undefined
    if (clock.monotonicMs() >= this.#dueMs) this.#flush()
  }
}
