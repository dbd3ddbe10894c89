/** One sending of a request to one runner, and what came back. */
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
export const FailedAt = {
  /** No byte was sent: the runner can't have run it. */
  Connect: 'connect',
  /** Taken back when a connection was there; no byte was sent. */
  Withdrawn: 'withdrawn',
  /** Sent, no answer. */
  Sent: 'sent',
  /** The answer broke off. */
  Answer: 'answer'
} as const
export type FailedAt = (typeof FailedAt)[keyof typeof FailedAt]

/** Receives the parts of an answer in order; exactly one of `onEnd` and `onFailure` closes it. */
export abstract class AttemptObserver {
  /** A connection is there: the request is written next, or not at all where this gives false. */
  abstract onSending (): boolean
  /** Head of the answer; false: the answer isn't wanted and its connection is closed. */
  abstract onHead (status: number, headers: RawHeaders): boolean
  /** A piece of the body; false: pause until `resume`. */
  abstract onData (chunk: Buffer): boolean
  abstract onEnd (): void
  abstract onFailure (at: FailedAt, error: Error): void
}

/** Handle of an attempt under way. */
export class Attempt {
  #abort: ((error: Error) => void) | undefined
  #resume: (() => void) | undefined
  #sent = false
  #withdrawn = false
  #headSeen = false
  #closed = false

  private constructor (private readonly observer: AttemptObserver) {}

  /** Sends the request; everything that follows reaches the observer. */
  static start (dispatcher: Dispatcher, request: AttemptRequest, observer: AttemptObserver): Attempt {
    const attempt = new Attempt(observer)
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
      onData: (chunk) => this.#closed ? true : this.observer.onData(chunk),
      onComplete: () => this.#finish(() => this.observer.onEnd()),
      onError: (error) => this.#finish(() => this.observer.onFailure(this.#failedAt(), error))
    }
  }

  #onConnect (abort: (error?: Error) => void): void {
    if (this.#closed) {
      abort(new Error('attempt canceled'))
      return
    }
    if (!this.observer.onSending()) {
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
    const wanted = this.observer.onHead(status, headers.map((part) => part.toString('latin1')))
    if (!wanted) this.cancel()
    return true
  }

  #finish (report: () => void): void {
    if (this.#closed) return
    this.#closed = true
    report()
  }

  #failedAt (): FailedAt {
    if (this.#withdrawn) return FailedAt.Withdrawn
    if (!this.#sent) return FailedAt.Connect
    return this.#headSeen ? FailedAt.Answer : FailedAt.Sent
  }
}
