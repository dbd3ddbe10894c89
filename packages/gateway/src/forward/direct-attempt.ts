/** An attempt on a connection of this host to the runner. */
import type { Clock, Timer } from '@figloom/runtime'
import type { Dispatcher } from 'undici'
import { Attempt, FailureStage, FaultAt, Flow, MAX_SKIP_MS, MAX_SKIPPED_BYTES, type AttemptObserver, type AttemptRequest } from './attempt.js'
import type { IdentifiedRequest } from './bounded-client.js'

export class DirectAttempt extends Attempt {
  #abort: ((error: Error) => void) | undefined
  #resume: (() => void) | undefined
  #sent = false
  #withdrawn = false
  #headReceived = false
  #closed = false
  #skipTimer: Timer | undefined
  #skippedBytes = 0

  private constructor (private readonly observer: AttemptObserver, private readonly clock: Clock) {
    super()
  }

  /** Sends the request and reports what follows to the observer. */
  static start (dispatcher: Dispatcher, request: AttemptRequest, observer: AttemptObserver, clock: Clock): DirectAttempt {
    const attempt = new DirectAttempt(observer, clock)
    const options: IdentifiedRequest = {
      requestId: request.id,
      wasRefused: () => attempt.#skipTimer !== undefined || observer.refused,
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body
    }
    dispatcher.dispatch(options, attempt.#handlers())
    return attempt
  }

  override get sent (): boolean {
    return this.#sent
  }

  override cancel (): void {
    if (this.#closed) return
    this.#closed = true
    this.#skipTimer?.cancel()
    this.#abort?.(new Error('attempt canceled'))
  }

  override resume (): void {
    this.#resume?.()
  }

  #handlers (): Dispatcher.DispatchHandler {
    return {
      onConnect: (abort) => this.#onConnect(abort),
      onHeaders: (status, headers, resume) => this.#onHeaders(status, headers, resume),
      onData: (chunk) => this.#onData(chunk),
      onComplete: () => this.#finish(() => this.observer.onEnd()),
      onError: (error) => this.#finish(() => this.observer.onFailure(this.#failureStage(), error, FaultAt.Runner))
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
