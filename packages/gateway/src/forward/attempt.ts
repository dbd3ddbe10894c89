/** One attempt to send a request to a runner and receive its answer. */
import type { Clock, Timer } from '@figloom/runtime'
import type { Dispatcher } from 'undici'
import type { IdentifiedRequest } from './bounded-client.js'
import type { RawHeaders } from './types.js'

/** The request as it is written to the runner. */
export type AttemptRequest = {
  id: string
  method: string
  /** Path and query, unchanged. */
  target: string
  headers: RawHeaders
  body: Buffer | undefined
}

/** The stage at which an attempt failed. */
export const FailureStage = {
  /** No connection was opened and no byte sent: the runner can't have run the request. */
  Connect: 'connect',
  /** Withdrawn by the observer after the connection was opened; no byte was sent. */
  Withdrawn: 'withdrawn',
  /** The request was sent; no answer was received. */
  Sent: 'sent',
  /** The answer was interrupted. */
  Answer: 'answer'
} as const
export type FailureStage = (typeof FailureStage)[keyof typeof FailureStage]

/** How to go on with the rest of an answer. */
export const Flow = {
  Continue: 'continue',
  /** Reading stops until `resume` is called. */
  Pause: 'pause',
  /** The rest is read within bounds and discarded, so that the connection can be reused. The observer isn't called again. */
  Skip: 'skip',
  /** The connection is closed. The observer isn't called again. */
  Close: 'close'
} as const
export type Flow = (typeof Flow)[keyof typeof Flow]

/** Receives the parts of an answer in order. The last call is `onEnd` or `onFailure`, unless the rest is skipped or the attempt is closed. */
export abstract class AttemptObserver {
  /** Called when a connection is available, just before the request is written. Returning false withdraws the attempt. */
  abstract beforeWrite (): boolean
  abstract onHead (status: number, headers: RawHeaders): Flow
  /** A chunk of the body. */
  abstract onData (chunk: Buffer): Flow
  abstract onEnd (): void
  abstract onFailure (stage: FailureStage, error: Error): void
}

/** Bytes of a skipped answer that are read so that its connection can be reused; beyond that it is closed. */
const MAX_SKIPPED_BYTES = 65_536
/** The same limit as a time. */
const MAX_SKIP_MS = 1_000

/** Handle of an attempt in progress. */
export class Attempt {
  #abort: ((error: Error) => void) | undefined
  #resume: (() => void) | undefined
  #sent = false
  #withdrawn = false
  #headReceived = false
  #closed = false
  #skipTimer: Timer | undefined
  #skippedBytes = 0

  private constructor (private readonly observer: AttemptObserver, private readonly clock: Clock) {}

  /** Sends the request and reports what follows to the observer. */
  static start (dispatcher: Dispatcher, request: AttemptRequest, observer: AttemptObserver, clock: Clock): Attempt {
    const attempt = new Attempt(observer, clock)
    const options: IdentifiedRequest = {
      requestId: request.id,
      wasRefused: () => attempt.#skipTimer !== undefined,
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

  /** Cancels the attempt. Its connection is closed and the observer isn't called again. */
  cancel (): void {
    if (this.#closed) return
    this.#closed = true
    this.#skipTimer?.cancel()
    this.#abort?.(new Error('attempt canceled'))
  }

  /** Resumes reading of a paused body. */
  resume (): void {
    this.#resume?.()
  }

  #handlers (): Dispatcher.DispatchHandler {
    return {
      onConnect: (abort) => this.#onConnect(abort),
      onHeaders: (status, headers, resume) => this.#onHeaders(status, headers, resume),
      onData: (chunk) => this.#onData(chunk),
      onComplete: () => this.#finish(() => this.observer.onEnd()),
      onError: (error) => this.#finish(() => this.observer.onFailure(this.#failureStage(), error))
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
    this.#headReceived = true
    this.#resume = resume
    return this.#applyFlow(this.observer.onHead(status, headers.map((part) => part.toString('latin1'))))
  }

  #onData (chunk: Buffer): boolean {
    if (this.#closed) return true
    if (this.#skipTimer === undefined) return this.#applyFlow(this.observer.onData(chunk))
    this.#skippedBytes += chunk.length
    if (this.#skippedBytes > MAX_SKIPPED_BYTES) this.cancel()
    return true
  }

  /** Acts on the observer's decision; returns whether the HTTP client goes on reading. */
  #applyFlow (flow: Flow): boolean {
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

  #failureStage (): FailureStage {
    if (this.#withdrawn) return FailureStage.Withdrawn
    if (!this.#sent) return FailureStage.Connect
    return this.#headReceived ? FailureStage.Answer : FailureStage.Sent
  }
}
