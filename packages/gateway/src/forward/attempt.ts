/** One sending of a request to one runner, and what came back. */
import type { Clock, Timer } from '@figloom/runtime'
import type { Dispatcher } from 'undici'
import type { RawHeaders } from './types.js'

/** What is sent. */
export type AttemptRequest = {
  method: string
  /** Path and query, unchanged. */
  target: string
  headers: RawHeaders
  body: Buffer | undefined
}

/** How far a failed attempt got. */
export const FailureStage = {
  /** No byte was sent: the runner can't have run it. */
  Connect: 'connect',
  /** Taken back when a connection was there; no byte was sent. */
  Withdrawn: 'withdrawn',
  /** Sent, no answer. */
  Sent: 'sent',
  /** The answer broke off. */
  Answer: 'answer'
} as const
export type FailureStage = (typeof FailureStage)[keyof typeof FailureStage]

/** What becomes of the rest of an answer. */
export const Flow = {
  Continue: 'continue',
  /** Until `resume`. */
  Pause: 'pause',
  /** The rest isn't wanted. It is read within bounds, so that the connection stays in use; the observer hears nothing of it. */
  Skip: 'skip',
  /** The connection is closed; the observer hears nothing more. */
  Close: 'close'
} as const
export type Flow = (typeof Flow)[keyof typeof Flow]

/** Receives the parts of an answer in order; exactly one of `onEnd` and `onFailure` closes it, unless its rest isn't wanted. */
export abstract class AttemptObserver {
  /** A connection is there: the request is written next, or not at all where this gives false. */
  abstract beforeWrite (): boolean
  abstract onHead (status: number, headers: RawHeaders): Flow
  /** A piece of the body. */
  abstract onData (chunk: Buffer): Flow
  abstract onEnd (): void
  abstract onFailure (at: FailureStage, error: Error): void
}

/** Bytes of an unwanted answer that are read so that its connection stays in use. */
const MAX_SKIPPED_BYTES = 65_536
/** The same in time. */
const MAX_SKIP_MS = 1_000

/** Handle of an attempt under way. */
export class Attempt {
  #abort: ((error: Error) => void) | undefined
  #resume: (() => void) | undefined
  #sent = false
  #withdrawn = false
  #headSeen = false
  #closed = false
  #skipTimer: Timer | undefined
  #skippedBytes = 0

  private constructor (private readonly observer: AttemptObserver, private readonly clock: Clock) {}

  /** Sends the request; everything that follows reaches the observer. */
  static start (dispatcher: Dispatcher, request: AttemptRequest, observer: AttemptObserver, clock: Clock): Attempt {
    const attempt = new Attempt(observer, clock)
    const options = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body
    }
    dispatcher.dispatch(options, attempt.#handlers())
    return attempt
  }

  /** A byte of the request may have reached the runner. */
  get sent (): boolean {
    return this.#sent
  }

  /** Gives the attempt up; its connection is closed and the observer hears nothing more. */
  cancel (): void {
    if (this.#closed) return
    this.#closed = true
    this.#skipTimer?.cancel()
    this.#abort?.(new Error('attempt canceled'))
  }

  /** Lets a paused body flow again. */
  resume (): void {
    this.#resume?.()
  }

  #handlers (): Dispatcher.DispatchHandler {
    return {
      onConnect: (abort) => this.#onConnect(abort),
      onHeaders: (status, headers, resume) => this.#onHeaders(status, headers, resume),
      onData: (chunk) => this.#onData(chunk),
      onComplete: () => this.#finish(() => this.observer.onEnd()),
      onError: (error) => this.#finish(() => this.observer.onFailure(this.#failedAt(), error))
    }
  }

  #onConnect (abort: (error?: Error) => void): void {
    if (this.#closed) {
      abort(new Error('attempt canceled'))
      return
    }
    if (!this.observer.beforeWrite()) {
      this.#withdrawn = true
      abort(new Error('attempt withdrawn'))
      return
    }
    this.#sent = true
    this.#abort = abort
  }

  #onHeaders (status: number, headers: Buffer[], resume: () => void): boolean {
    if (status < 200 || this.#closed) return true
    this.#headSeen = true
    this.#resume = resume
    return this.#go(this.observer.onHead(status, headers.map((part) => part.toString('latin1'))))
  }

  #onData (chunk: Buffer): boolean {
    if (this.#closed) return true
    if (this.#skipTimer === undefined) return this.#go(this.observer.onData(chunk))
    this.#skippedBytes += chunk.length
    if (this.#skippedBytes > MAX_SKIPPED_BYTES) this.cancel()
    return true
  }

  /** Tells the library whether to go on reading. */
  #go (flow: Flow): boolean {
    if (flow === Flow.Close) this.cancel()
    if (flow === Flow.Skip) this.#skipTimer = this.clock.setTimer(MAX_SKIP_MS, () => this.cancel())
    return flow !== Flow.Pause
  }

  #finish (report: () => void): void {
    if (this.#closed) return
    this.#closed = true
    this.#skipTimer?.cancel()
    report()
  }

  #failedAt (): FailureStage {
    if (this.#withdrawn) return FailureStage.Withdrawn
    if (!this.#sent) return FailureStage.Connect
    return this.#headSeen ? FailureStage.Answer : FailureStage.Sent
  }
}
