/** Appends to a cell's stream: one at a time, in order, each repeated under its own id until the log answers. */
import type { LogClient } from '@figloom/clients'
import type { Clock, IdSource } from '@figloom/runtime'
import type { CellRecordBody } from './records.js'

/** An append whose record was not read back yet. */
export type PendingAppend = {
  recordId: string
  body: CellRecordBody
  /** Monotonic time of the first attempt in milliseconds; undefined before it. */
  firstSentMs?: number
  /** Offset that the log confirmed. */
  offset?: number
}

export type JournalOptions = {
  log: LogClient
  clock: Clock
  ids: IdSource
  stream: string
  /** Limit for one attempt. */
  timeoutMs: number
  /** Pause after the first failed attempt; doubles up to `maxRetryMs`. */
  retryMs: number
  maxRetryMs: number
}

/** Queue of appends; records leave it when they are read back or dropped. */
export class CellJournal {
  readonly #pending = new Map<string, PendingAppend>()
  readonly #stop = new AbortController()
  #running = false

  private constructor (private readonly options: JournalOptions) {}

  static create (options: JournalOptions): CellJournal {
    return new CellJournal(options)
  }

  /** Queues a body under a new id. */
  append (body: CellRecordBody): string {
    const recordId = this.options.ids.next()
    this.#pending.set(recordId, { recordId, body })
    if (!this.#running) this.#run()
    return recordId
  }

  /** Takes an append out because its record was read; undefined if it is not of this process. */
  readBack (recordId: string): PendingAppend | undefined {
    const pending = this.#pending.get(recordId)
    this.#pending.delete(recordId)
    return pending
  }

  /** Takes out appends up to an offset that the state contains without their having been read one by one. */
  passOver (readTo: number): void {
    for (const { recordId, offset } of [...this.#pending.values()]) {
      if (offset !== undefined && offset <= readTo) this.#pending.delete(recordId)
    }
  }

  /** Gives up appends that are void by now. One that is on its way may still take effect. */
  dropWhere (isVoid: (body: CellRecordBody) => boolean): void {
    for (const { recordId, body } of [...this.#pending.values()]) if (isVoid(body)) this.#pending.delete(recordId)
  }

  /** Whether an append that matches is not read back yet. */
  has (matches: (body: CellRecordBody) => boolean): boolean {
    return [...this.#pending.values()].some(({ body }) => matches(body))
  }

  /** Whether the word that an order is not sent any more is on its way. */
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
    for (let next = this.#next(); next !== undefined; next = this.#next()) await this.#appendUntilKnown(next)
    this.#running = false
  }

  #next (): PendingAppend | undefined {
    if (this.#stop.signal.aborted) return undefined
    return [...this.#pending.values()].find(({ offset }) => offset === undefined)
  }

  async #appendUntilKnown (pending: PendingAppend): Promise<void> {
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
