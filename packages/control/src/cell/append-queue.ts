/** Appends records to a cell's stream one at a time, in order; each is retried under the same record id until the log confirms it. */
import type { LogClient } from '@figloom/clients'
import type { Clock, IdSource } from '@figloom/runtime'
import type { CellRecordBody } from './records.js'

/** An append whose record has not been read back from the log yet. */
export type PendingAppend = {
  recordId: string
  body: CellRecordBody
  /** Monotonic time of the first attempt, in milliseconds; undefined before it. */
  firstSentMs?: number
  /** Offset that the log confirmed. */
  offset?: number
}

export type AppendQueueOptions = {
  log: LogClient
  clock: Clock
  ids: IdSource
  stream: string
  /** Timeout of one attempt. */
  timeoutMs: number
  /** Delay after the first failed attempt; doubles up to `maxRetryMs`. */
  retryMs: number
  maxRetryMs: number
}

/** Queue of appends; an entry is removed when its record is read back from the log or when it is dropped. */
export class AppendQueue {
  readonly #pending = new Map<string, PendingAppend>()
  readonly #stop = new AbortController()
  #running = false

  private constructor (private readonly options: AppendQueueOptions) {}

  static create (options: AppendQueueOptions): AppendQueue {
    return new AppendQueue(options)
  }

  /** Queues a body under a new record id and returns the id. */
  append (body: CellRecordBody): string {
    const recordId = this.options.ids.next()
    this.#pending.set(recordId, { recordId, body })
    if (!this.#running) this.#run()
    return recordId
  }

  /** Removes and returns the append whose record was read back; undefined if this process did not append it. */
  confirmRead (recordId: string): PendingAppend | undefined {
    const pending = this.#pending.get(recordId)
    this.#pending.delete(recordId)
    return pending
  }

  /** Removes confirmed appends up to an offset, for a state that came from a snapshot and not from reading each record. */
  removeThrough (readOffset: number): void {
    for (const { recordId, offset } of [...this.#pending.values()]) {
      if (offset !== undefined && offset <= readOffset) this.#pending.delete(recordId)
    }
  }

  /** Drops appends that have become void. One that is in flight may still reach the log. */
  dropMatching (isVoid: (body: CellRecordBody) => boolean): void {
    for (const { recordId, body } of [...this.#pending.values()]) if (isVoid(body)) this.#pending.delete(recordId)
  }

  /** Whether an append that matches has not been read back yet. */
  has (matches: (body: CellRecordBody) => boolean): boolean {
    return [...this.#pending.values()].some(({ body }) => matches(body))
  }

  /** Whether the record that withdraws an intent is queued or in flight. */
  isWithdrawing (intent: number): boolean {
    return this.has((body) => body.kind === 'withdrawn' && body.intent === intent)
  }

  get size (): number {
    return this.#pending.size
  }

  stop (): void {
    this.#stop.abort()
    this.#pending.clear()
  }

  async #run (): Promise<void> {
    this.#running = true
    for (let next = this.#next(); next !== undefined; next = this.#next()) await this.#appendUntilConfirmed(next)
    this.#running = false
  }

  #next (): PendingAppend | undefined {
    if (this.#stop.signal.aborted) return undefined
    return [...this.#pending.values()].find(({ offset }) => offset === undefined)
  }

  async #appendUntilConfirmed (pending: PendingAppend): Promise<void> {
    const { clock, retryMs, maxRetryMs } = this.options
    pending.firstSentMs = clock.monotonicMs()
    for (let pauseMs = retryMs; this.#pending.has(pending.recordId); pauseMs = Math.min(maxRetryMs, pauseMs * 2)) {
      const offset = await this.#attempt(pending)
      if (offset !== undefined) {
        pending.offset = offset
        return
      }
      await clock.sleep(pauseMs, this.#stop.signal)
    }
  }

  async #attempt (pending: PendingAppend): Promise<number | undefined> {
    const { log, clock, stream, timeoutMs } = this.options
    const abort = new AbortController()
    const timer = clock.setTimer(timeoutMs, () => abort.abort())
    const result = await log.append(stream, pending.recordId, pending.body, abort.signal)
    timer.cancel()
    return result.isOk() ? result.value.offset : undefined
  }
}
