/**
 * The story of one request for the log: a line for each decision, kept until the end and written if the request
 * failed or belongs to the sample. The sample goes by id, so that all hosts write the same requests.
 */
import type { Clock, LogFields, Logger } from '@figloom/runtime'
import { hashOf } from '../choose/rendezvous.js'

/** One answered request in this many is written. */
const SAMPLE_ONE_IN = 64
/** Lines kept for one request. */
const MAX_LINES = 24

type Line = { message: string, atMs: number, fields: LogFields }

export class RequestLog {
  readonly #lines: Line[] = []
  readonly #arrivedMs: number

  private constructor (private readonly log: Logger, private readonly clock: Clock, private readonly requestId: string) {
    this.#arrivedMs = clock.monotonicMs()
  }

  static create (log: Logger, clock: Clock, requestId: string): RequestLog {
    return new RequestLog(log, clock, requestId)
  }

  /** Keeps a decision with the inputs that it rests on. */
  note (message: string, fields: LogFields): void {
    if (this.#lines.length < MAX_LINES) this.#lines.push({ message, atMs: this.clock.monotonicMs() - this.#arrivedMs, fields })
  }

  /** Writes the story if the request failed or is in the sample. */
  end (failed: boolean): void {
    if (!failed && hashOf(this.requestId) % SAMPLE_ONE_IN !== 0) return
    for (const { message, atMs, fields } of this.#lines) {
      this.log.info(message, { requestId: this.requestId, atMs: Math.round(atMs), ...fields })
    }
  }
}
