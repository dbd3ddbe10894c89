/** Gathers entries of a stream into one record for a short window, and appends one record at a time until it is taken. */
import type { Clock, Timer } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { CLAIM_RULE, type ClaimLogEntry } from './types.js'

export type AppendQueueOptions = {
  log: LogClient
  stream: string
  clock: Clock
  /** Record ids are this prefix and a number; no other process may use it. */
  recordIdPrefix: string
  /** How long a claim waits for others, in milliseconds. */
  windowMs: number
  /** How long ends of attempts wait, in milliseconds. */
  lazyWindowMs: number
  /** Time for one answer of the log, in milliseconds. */
  timeoutMs: number
  /** Pause before a repeat, in milliseconds. */
  retryMs: number
  onFailed: () => void
}

const MAX_ENTRIES = 200
const MAX_QUEUE = 5000

/** Owned by one task. Repeats go under the same record id, so an append whose answer was lost is not doubled. */
export class AppendQueue {
  readonly #queue: ClaimLogEntry[] = []
  readonly #abort = new AbortController()
  #timer: Timer | undefined
  #dueMs = Infinity
  #count = 0
  #inFlightSinceMs: number | undefined
  #failed = false

  private constructor (private readonly options: AppendQueueOptions) {}

  static create (options: AppendQueueOptions): AppendQueue {
    return new AppendQueue(options)
  }

  /** Whether the log refused, did not answer or is slow; claims made now would wait without hope. */
  get failing (): boolean {
    if (this.#failed) return true
    return this.#inFlightSinceMs !== undefined && this.options.clock.monotonicMs() - this.#inFlightSinceMs > this.options.timeoutMs
  }

  get failed (): boolean {
    return this.#failed
  }

  /** Queues an entry; false if the queue is full. */
  add (entry: ClaimLogEntry): boolean {
    if (this.#queue.length >= MAX_QUEUE) return false
    this.#queue.push(entry)
    this.#schedule(entry.kind === 'claim' ? this.options.windowMs : this.options.lazyWindowMs)
    return true
  }

  /** Takes a claim out that has not been appended yet; false if it may have been. */
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
    const entries = this.#queue.splice(0, MAX_ENTRIES)
    this.#dueMs = this.#queue.length > 0 ? this.options.clock.monotonicMs() : Infinity
    if (entries.length === 0) return
    this.#count += 1
    this.#appendUntilTaken(`${this.options.recordIdPrefix}-${this.#count}`, { rule: CLAIM_RULE, entries })
  }

  async #appendUntilTaken (recordId: string, body: unknown): Promise<void> {
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
      this.options.onFailed()
      await clock.sleep(result.error.retryAfterMs ?? retryMs, signal)
    }
    this.#inFlightSinceMs = undefined
    if (clock.monotonicMs() >= this.#dueMs) this.#flush()
  }
}
