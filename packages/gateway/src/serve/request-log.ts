/**
 * Buffers the log lines of one request, one for each decision, and writes them at its end if the request failed or is in the
 * sample. The sample is chosen by a hash of the request id, so that all hosts log the same requests.
 */
import type { Clock, LogFields, Logger } from '@figloom/runtime'
import { hashOf } from '../choose/rendezvous.js'

/** One answered request in this many is logged. */
const SAMPLE_ONE_IN = 64
/** Most lines buffered for one request; further ones are dropped. */
const MAX_LINES = 24

type Line = { message: string, atMs: number, fields: LogFields }

export class RequestLog {
  readonly #lines: Line[] = []
  readonly #arrivedMs: number
  #marked = false

  private constructor (private readonly log: Logger, private readonly clock: Clock, private readonly requestId: string) {
    this.#arrivedMs = clock.monotonicMs()
  }

  static create (log: Logger, clock: Clock, requestId: string): RequestLog {
    return new RequestLog(log, clock, requestId)
  }

  /** The lines are written however the request ends. */
  mark (): void {
    this.#marked = true
  }

  /** Buffers a line for a decision, with the inputs to that decision. */
  note (message: string, fields: LogFields): void {
    if (this.#lines.length < MAX_LINES) this.#lines.push({ message, atMs: this.clock.monotonicMs() - this.#arrivedMs, fields })
  }

  /** Writes the buffered lines if the request failed, was marked or is in the sample. */
  end (failed: boolean): void {
    if (!failed && !this.#marked && hashOf(this.requestId) % SAMPLE_ONE_IN !== 0) return
    for (const { message, atMs, fields } of this.#lines) {
      this.log.info(message, { requestId: this.requestId, atMs: Math.round(atMs), ...fields })
    }
  }
}
