/** Tells whether a host answers requests of callers, or fails all of them. */
import type { ServerResponse } from 'node:http'
import type { Clock } from '@figloom/runtime'
import { onceOver } from './answer-over.js'

/** Requests that go without an answer for this long show that the host doesn't serve. */
const UNSERVED_MS = 5_000
/** Without a request for this long, it isn't known whether the host would serve. */
const RECENT_MS = 10_000
/** Answers from this status on say that the host failed. */
const FIRST_FAILED_STATUS = 500

export class ServingRecord {
  readonly #open = new Set<ServerResponse>()
  #lastRequestMs = -Infinity
  /** Arrival of the first request since one was answered; undefined without one. */
  #unservedSinceMs: number | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): ServingRecord {
    return new ServingRecord(clock)
  }

  onRequest (response: ServerResponse): void {
    const nowMs = this.clock.monotonicMs()
    this.#lastRequestMs = nowMs
    this.#unservedSinceMs ??= nowMs
    this.#open.add(response)
    response.once('finish', () => this.#onFinish(response))
    onceOver(response, () => this.#open.delete(response))
  }

  /** False if requests came lately and none of them has been answered for a while. */
  get isServing (): boolean {
    const nowMs = this.clock.monotonicMs()
    if (this.#unservedSinceMs === undefined || nowMs - this.#unservedSinceMs < UNSERVED_MS) return true
    if (nowMs - this.#lastRequestMs > RECENT_MS) return true
    return [...this.#open].some((response) => response.headersSent && isServed(response))
  }

  #onFinish (response: ServerResponse): void {
    if (isServed(response)) this.#unservedSinceMs = undefined
  }
}

function isServed ({ statusCode }: ServerResponse): boolean {
  return statusCode < FIRST_FAILED_STATUS
}
