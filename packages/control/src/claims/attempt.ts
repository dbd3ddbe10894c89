/** One attempt to run a non-idempotent call: it is either sent once or abandoned for good. */
import type { Clock } from '@figloom/runtime'
import { MAX_KEPT_BODY_BYTES, type AttemptEnd, type KeptAnswer } from './types.js'

/** Unchanged answer of a plain service. */
export type ServiceAnswer = { status: number, headers: [string, string][], body: Uint8Array }

/** Stage of an attempt; it never goes back. */
const Stage = { Granted: 'granted', Sent: 'sent', Ended: 'ended' } as const
type Stage = (typeof Stage)[keyof typeof Stage]

export type AttemptOptions = {
  key: string
  attemptId: string
  clock: Clock
  /** Monotonic time from which on nothing may be sent, in milliseconds. */
  deadlineMs: number
  /** Reports the end of the attempt to a claim gateway. */
  deliver: (end: AttemptEnd) => void
}

/** Held by the request that won the claim. */
export class Attempt {
  #stage: Stage = Stage.Granted

  private constructor (private readonly options: AttemptOptions) {}

  static create (options: AttemptOptions): Attempt {
    return new Attempt(options)
  }

  get id (): string {
    return this.options.attemptId
  }

  /** To be called right before the first byte is sent. False: nothing may be sent, past the deadline or after `abandon`. */
  beginSend (): boolean {
    if (this.#stage !== Stage.Granted) return false
    if (this.options.clock.monotonicMs() >= this.options.deadlineMs) {
      this.abandon()
      return false
    }
    this.#stage = Stage.Sent
    return true
  }

  /** Abandons an attempt that was not sent, so that the key can be claimed again. */
  abandon (): void {
    if (this.#stage !== Stage.Granted) return
    this.#endWith({ kind: 'void', key: this.options.key, attemptId: this.options.attemptId })
  }

  /** Reports after `beginSend` that no byte reached the backend server, for example because it refused the connection. */
  notSent (): void {
    if (this.#stage !== Stage.Sent) return
    this.#endWith({ kind: 'void', key: this.options.key, attemptId: this.options.attemptId })
  }

  /** Records the answer for retries. A body over the limit is not kept: retries then fail with an unknown outcome. */
  answered (answer: ServiceAnswer): void {
    if (answer.body.length > MAX_KEPT_BODY_BYTES) return this.outcomeUnknown()
    if (this.#stage !== Stage.Sent) return
    this.#endWith({ kind: 'outcome', key: this.options.key, attemptId: this.options.attemptId, answer: toKeptAnswer(answer) })
  }

  /** Records that the call was sent and that its answer did not arrive or is not kept. */
  outcomeUnknown (): void {
    if (this.#stage !== Stage.Sent) return
    this.#endWith({ kind: 'outcome', key: this.options.key, attemptId: this.options.attemptId })
  }

  #endWith (end: AttemptEnd): void {
    this.#stage = Stage.Ended
    this.options.deliver(end)
  }
}

function toKeptAnswer ({ status, headers, body }: ServiceAnswer): KeptAnswer {
  return { status, headers, bodyBase64: Buffer.from(body).toString('base64') }
}
