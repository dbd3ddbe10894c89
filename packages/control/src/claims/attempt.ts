/** One attempt to run a non-idempotent call: it is sent at most once, or given up for good. */
import type { Clock } from '@figloom/runtime'
import { KEPT_BODY_LIMIT_BYTES, type AttemptEnd, type KeptAnswer } from './types.js'

/** An answer of a plain service, as it came. */
export type ServiceAnswer = { status: number, headers: [string, string][], body: Uint8Array }

/** Stage of an attempt; it only moves forward. */
const Stage = { Granted: 'granted', Sent: 'sent', Ended: 'ended' } as const
type Stage = (typeof Stage)[keyof typeof Stage]

export type AttemptOptions = {
  key: string
  attemptId: string
  clock: Clock
  /** Monotonic time after which nothing may be sent any more, in milliseconds. */
  deadlineMs: number
  /** Hands the end of the attempt to a gateway. */
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

  /** Call right before the first byte is sent. False: send nothing; the deadline passed or the attempt was given up. */
  beginSend (): boolean {
    if (this.#stage !== Stage.Granted) return false
    if (this.options.clock.monotonicMs() >= this.options.deadlineMs) {
      this.abandon()
      return false
    }
    this.#stage = Stage.Sent
    return true
  }

  /** Gives the attempt up before it was sent, so that the key can be claimed again. */
  abandon (): void {
    if (this.#stage !== Stage.Granted) return
    this.#endWith({ kind: 'void', key: this.options.key, attemptId: this.options.attemptId })
  }

  /** After `beginSend`: no byte reached the backend server, for example because it refused the connection. */
  notSent (): void {
    if (this.#stage !== Stage.Sent) return
    this.#endWith({ kind: 'void', key: this.options.key, attemptId: this.options.attemptId })
  }

  /** Keeps the answer for repeats; a body over the limit is not kept, and repeats learn that the outcome is unknown. */
  answered (answer: ServiceAnswer): void {
    if (answer.body.length > KEPT_BODY_LIMIT_BYTES) return this.outcomeUnknown()
    if (this.#stage !== Stage.Sent) return
    this.#endWith({ kind: 'outcome', key: this.options.key, attemptId: this.options.attemptId, answer: toKeptAnswer(answer) })
  }

  /** The call was sent and its answer did not come, or is not kept. */
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
