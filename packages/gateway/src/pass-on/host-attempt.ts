/** An attempt by way of another host, which sends the request to the runner on a connection of its own. */
import { Code, ConnectError } from '@connectrpc/connect'
import type { PassOnFailure, PassOnHead, PassOnPart } from '@figloom/protocol'
import type { Clock, Timer } from '@figloom/runtime'
import { Attempt, FailureStage, FaultAt, Flow, MAX_SKIP_MS, MAX_SKIPPED_BYTES, type AttemptObserver } from '../forward/attempt.js'
import { wasNotConnected } from './host-connections.js'
import { outcomeOfFailure, PassOnOutcome } from './metrics.js'
import { isReasonOfHost } from './refusal-reason.js'
import { fromStageMessage } from './stages.js'

/** Calls the other host; the call ends when the signal aborts. */
export type PassOnCall = (signal: AbortSignal) => AsyncIterable<PassOnPart>

export type HostAttemptOptions = {
  call: PassOnCall
  observer: AttemptObserver
  clock: Clock
  /** Called once, when the attempt is over. */
  onOver: (outcome: PassOnOutcome) => void
}

export class HostAttempt extends Attempt {
  readonly #abort = new AbortController()
  #sent = false
  #headReceived = false
  #closed = false
  #resume: (() => void) | undefined
  #skipTimer: Timer | undefined
  #skippedBytes = 0

  private constructor (private readonly options: HostAttemptOptions) {
    super()
  }

  /** The observer isn't called before this has returned. */
  static start (options: HostAttemptOptions): HostAttempt {
    const attempt = new HostAttempt(options)
    queueMicrotask(() => { attempt.#run().catch((error: Error) => attempt.#onCallFailed(error)) })
    return attempt
  }

  override get sent (): boolean {
    return this.#sent
  }

  override cancel (): void {
    this.#close(PassOnOutcome.Canceled)
    this.#abort.abort()
    this.resume()
  }

  override resume (): void {
    this.#resume?.()
    this.#resume = undefined
  }

  /** The other host no longer reports, so its connection may never end by itself. */
  onHostSilent (): void {
    this.#fail(this.#interruptedStage(), new Error('the host that passes the request on is silent'), FaultAt.Path)
  }

  async #run (): Promise<void> {
    if (this.#closed) return
    if (!this.options.observer.beforeWrite()) return this.#fail(FailureStage.Withdrawn, new Error('attempt withdrawn'), FaultAt.Runner)
    // A deadline or a block within the call may have ended the attempt.
    if (this.#closed) return
    this.#sent = true
    for await (const part of this.options.call(this.#abort.signal)) {
      // After the last part the call is read to its end, so that its connection can be reused.
      if (!this.#closed && this.#onPart(part) === Flow.Pause) await this.#untilResumed()
    }
    this.#fail(this.#interruptedStage(), new Error('the host ended its answer early'), FaultAt.Path)
  }

  #onPart ({ part }: PassOnPart): Flow {
    switch (part.case) {
      case 'head': return this.#onHead(part.value)
      case 'data': return this.#onData(part.value)
      case 'end':
        if (this.#close(PassOnOutcome.Complete)) this.options.observer.onEnd()
        return Flow.Continue
      case 'failure':
        this.#onFailurePart(part.value)
        return Flow.Continue
      default:
        return Flow.Continue
    }
  }

  #onHead ({ status, headers }: PassOnHead): Flow {
    this.#headReceived = true
    return this.#applyFlow(this.options.observer.onHead(status, headers))
  }

  #onData (bytes: Uint8Array): Flow {
    const chunk = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
    if (this.#skipTimer === undefined) return this.#applyFlow(this.options.observer.onData(chunk))
    this.#skippedBytes += chunk.length
    if (this.#skippedBytes > MAX_SKIPPED_BYTES) this.cancel()
    return Flow.Continue
  }

  #onFailurePart ({ stage, reason }: PassOnFailure): void {
    this.#fail(fromStageMessage(stage), new Error(reason), isReasonOfHost(reason) ? FaultAt.Path : FaultAt.Runner)
  }

  #applyFlow (flow: Flow): Flow {
    if (flow === Flow.Close) this.cancel()
    if (flow === Flow.Skip && !this.#closed) this.#skipTimer = this.options.clock.setTimer(MAX_SKIP_MS, () => this.cancel())
    return flow
  }

  async #untilResumed (): Promise<void> {
    if (this.#closed) return
    await new Promise<void>((resolve) => { this.#resume = resolve })
  }

  #onCallFailed (error: Error): void {
    this.#fail(isUnsent(error) ? FailureStage.Connect : this.#interruptedStage(), error, FaultAt.Path)
  }

  #interruptedStage (): FailureStage {
    return this.#headReceived ? FailureStage.Answer : FailureStage.Sent
  }

  #fail (stage: FailureStage, error: Error, at: FaultAt): void {
    const isSkipping = this.#skipTimer !== undefined
    if (!this.#close(outcomeOfFailure(stage, at))) return
    if (at === FaultAt.Path) this.#abort.abort()
    this.resume()
    if (!isSkipping) this.options.observer.onFailure(stage, error, at)
  }

  /** Returns false if the attempt was over before. */
  #close (outcome: PassOnOutcome): boolean {
    if (this.#closed) return false
    this.#closed = true
    this.#skipTimer?.cancel()
    this.options.onOver(outcome)
    return true
  }
}

/** The other host did not receive the request, or is of a release that passes nothing on. */
function isUnsent (error: unknown): boolean {
  return wasNotConnected(error) || (error instanceof ConnectError && error.code === Code.Unimplemented)
}
