import { errAsync, err, ok, ResultAsync, type Result } from 'neverthrow'
import { createFailure, ResultCode, Task, type Clock, type Failure, type IdSource, type TaskErrorHandler, type Timer } from '@figloom/runtime'
import { z } from 'zod'
import { appendUntilConfirmed, type AppendedRecord, type Backoff } from './append-until-confirmed.js'
import type { LogClient, LogRecord } from './types.js'

/** Schema of the body of a record that carries several entries. */
export const batchBodySchema = z.object({ entries: z.array(z.object({ entryId: z.string(), body: z.unknown() })) })

/** An entry of a batch with its position: entries are ordered by the offset of their record, then by their index in it. */
export type BatchEntry = { entryId: string, body: unknown, offset: number, index: number }

/** Position of an appended entry, and whether its record may be duplicated; see `AppendedRecord`. */
export type AppendedEntry = AppendedRecord & { recordId: string, index: number }

/** Options of a batching appender. */
export type BatchingAppenderOptions = {
  log: LogClient
  clock: Clock
  /** Generates the record ids. */
  ids: IdSource
  stream: string
  /** How long the first entry of a batch waits for further entries. */
  windowMs: number
  /** Maximum number of entries in a record. */
  maxEntries: number
  /** Maximum number of entries that wait for a batch; further appends are refused. */
  maxWaiting: number
  backoff: Backoff
  onFault: TaskErrorHandler
}

type Entry = {
  entryId: string
  body: unknown
  deadlineMs: number
  state: 'waiting' | 'sent' | 'settled'
  timer?: Timer
  settle: (result: Result<AppendedEntry, Failure>) => void
}

type Message =
  | { kind: 'entry', entry: Entry }
  | { kind: 'window' }
  | { kind: 'expired', entry: Entry }
  | { kind: 'answered', recordId: string, batch: Entry[], result: Result<AppendedRecord, Failure> }

/** Returns the entries of a batch record; none if its body isn't a batch. */
export function readBatch (record: LogRecord): BatchEntry[] {
  const parsed = batchBodySchema.safeParse(record.body)
  if (!parsed.success) return []
  return parsed.data.entries.map(({ entryId, body }, index) => ({ entryId, body, offset: record.offset, index }))
}

/**
 * Combines small entries into records, so that a host needs few appends. One append is in flight at a time; it is retried
 * under the same record id until its outcome is known or the latest deadline of its entries has passed.
 */
export class BatchingAppender extends Task<Message> {
  #waiting: Entry[] = []
  #windowTimer: Timer | undefined
  #appendInFlight = false
  /** Entries that aren't part of an append yet; `stop` settles them. */
  readonly #unsent = new Set<Entry>()

  private constructor (private readonly options: BatchingAppenderOptions) {
    super(options.onFault)
  }

  static create (options: BatchingAppenderOptions): BatchingAppender {
    return new BatchingAppender(options)
  }

  /**
   * Appends one entry by `deadlineMs` on the clock. Errors: `LogRejected` if the append certainly takes no effect,
   * `LogUnavailable` if it may have taken effect or may still do so.
   */
  append (entryId: string, body: unknown, deadlineMs: number): ResultAsync<AppendedEntry, Failure> {
    if (this.stopped) return errAsync(createFailure(ResultCode.LogRejected, 'the appender has stopped'))
    return new ResultAsync(new Promise((resolve) => {
      const entry: Entry = { entryId, body, deadlineMs, state: 'waiting', settle: resolve }
      this.#unsent.add(entry)
      this.post({ kind: 'entry', entry })
    }))
  }

  /** Stops the task and rejects the entries that haven't been sent. Entries in flight are settled by the log's answer. */
  override stop (): void {
    super.stop()
    this.#windowTimer?.cancel()
    this.#waiting = []
    for (const entry of this.#unsent) this.#settle(entry, err(createFailure(ResultCode.LogRejected, 'the appender has stopped')))
  }

  protected override handle (message: Message): void {
    if (message.kind === 'entry') this.#accept(message.entry)
    if (message.kind === 'expired') this.#expire(message.entry)
    if (message.kind === 'window') this.#send()
    if (message.kind === 'answered') this.#finish(message.recordId, message.batch, message.result)
  }

  #accept (entry: Entry): void {
    if (this.#waiting.length >= this.options.maxWaiting) {
      return this.#settle(entry, err(createFailure(ResultCode.LogRejected, 'too many entries are waiting for the log')))
    }
    entry.timer = this.options.clock.setTimer(entry.deadlineMs - this.options.clock.monotonicMs(), () => this.post({ kind: 'expired', entry }))
    this.#waiting.push(entry)
    this.#schedule()
  }

  #expire (entry: Entry): void {
    const sent = entry.state === 'sent'
    const code = sent ? ResultCode.LogUnavailable : ResultCode.LogRejected
    this.#waiting = this.#waiting.filter((other) => other !== entry)
    this.#settle(entry, err(createFailure(code, 'the deadline passed before the log confirmed the entry')))
  }

  #schedule (): void {
    if (this.#appendInFlight || this.#waiting.length === 0) return
    if (this.#waiting.length >= this.options.maxEntries) return this.#send()
    this.#windowTimer ??= this.options.clock.setTimer(this.options.windowMs, () => this.post({ kind: 'window' }))
  }

  #send (): void {
    this.#windowTimer?.cancel()
    this.#windowTimer = undefined
    if (this.#appendInFlight || this.#waiting.length === 0) return
    const batch = this.#waiting.splice(0, this.options.maxEntries)
    const recordId = this.options.ids.next()
    const body = { entries: batch.map(({ entryId, body }) => ({ entryId, body })) }
    const deadlineMs = Math.max(...batch.map((entry) => entry.deadlineMs))
    for (const entry of batch) {
      entry.state = 'sent'
      this.#unsent.delete(entry)
    }
    this.#appendInFlight = true
    const { log, clock, stream, backoff } = this.options
    appendUntilConfirmed(log, clock, stream, recordId, body, { deadlineMs, backoff })
      .then((result) => this.#deliver({ kind: 'answered', recordId, batch, result }), this.options.onFault)
  }

  /** An answer that arrives after `stop` still settles its entries. */
  #deliver (message: Extract<Message, { kind: 'answered' }>): void {
    if (this.stopped) return this.#finish(message.recordId, message.batch, message.result)
    this.post(message)
  }

  #finish (recordId: string, batch: Entry[], result: Result<AppendedRecord, Failure>): void {
    this.#appendInFlight = false
    batch.forEach((entry, index) => {
      this.#settle(entry, result.isOk() ? ok({ ...result.value, recordId, index }) : err(result.error))
    })
    this.#schedule()
  }

  #settle (entry: Entry, result: Result<AppendedEntry, Failure>): void {
    if (entry.state === 'settled') return
    entry.state = 'settled'
    this.#unsent.delete(entry)
    entry.timer?.cancel()
    entry.settle(result)
  }
}
