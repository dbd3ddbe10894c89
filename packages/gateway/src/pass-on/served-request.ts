/** One request that this host sends to a runner for another host. */
import type { PassOnPart, PassOnRequest } from '@figloom/protocol'
import type { Timer } from '@figloom/runtime'
import type { Dispatcher } from 'undici'
import { AttemptObserver, FailureStage, FaultAt, Flow, type Attempt } from '../forward/attempt.js'
import { DirectAttempt } from '../forward/direct-attempt.js'
import type { RawHeaders } from '../forward/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import { outcomeOfFailure, PassOnOutcome } from './metrics.js'
import { PartQueue } from './part-queue.js'
import type { PassOnServerParts } from './pass-on-server.js'
import { RefusalReason } from './refusal-reason.js'

/** The other host ends a request itself when its time is over; one that doesn't by then is lost or stopped. */
const OVERDUE_MARGIN_MS = 250

export type ServedRequestOptions = {
  parts: PassOnServerParts
  message: PassOnRequest
  runner: RunnerState
  dispatcher: Dispatcher
  /** Aborts when the other host no longer waits for the answer. */
  signal: AbortSignal
  /** Called once, when the whole answer was taken or the request was given up. */
  onOver: (outcome: PassOnOutcome) => void
}

export class ServedRequest extends AttemptObserver {
  readonly #queue: PartQueue
  #attempt: Attempt | undefined
  #deadlineTimer: Timer | undefined
  #headReceived = false
  #refused = false
  #left = false
  #over = false
  #outcome: PassOnOutcome = PassOnOutcome.Canceled
  #leavePath: (() => void) | undefined

  private constructor (private readonly options: ServedRequestOptions) {
    super()
    const { parts, runner } = options
    this.#queue = PartQueue.create(parts.memory.open(runner.entry.id, () => {}), () => this.#attempt?.resume())
  }

  static start (options: ServedRequestOptions): ServedRequest {
    const served = new ServedRequest(options)
    served.#start()
    return served
  }

  /** The parts of the answer. */
  async * answer (): AsyncGenerator<PassOnPart> {
    try {
      yield * this.#queue.read()
    } finally {
      this.#end()
    }
  }

  override get refused (): boolean {
    return this.#refused
  }

  override beforeWrite (): boolean {
    const { parts: { closures, paths, runners }, runner, message } = this.options
    if (!runners.mayUse(runner) || !closures.mayWrite(runner.entry, message.requestId)) return false
    // An answer may still arrive on a path that is found to be broken, and the other host decides how long it waits.
    this.#leavePath = paths.onSent(runner.entry, () => {})
    return true
  }

  override onHead (status: number, headers: RawHeaders): Flow {
    this.#headReceived = true
    this.options.parts.paths.onReached(this.options.runner.entry)
    this.#applySignals(status, headers)
    this.#queue.pushHead(status, headers)
    return Flow.Continue
  }

  override onData (chunk: Buffer): Flow {
    this.options.parts.paths.onReached(this.options.runner.entry)
    return this.#queue.pushData(chunk) ? Flow.Continue : Flow.Pause
  }

  override onEnd (): void {
    this.#outcome = PassOnOutcome.Complete
    this.#leaveRunner()
    this.#queue.pushEnd()
  }

  override onFailure (stage: FailureStage, error: Error): void {
    const { parts, runner } = this.options
    if (stage === FailureStage.Connect) parts.paths.onConnectFailed(runner.entry, error.message)
    this.#fail(stage, stage === FailureStage.Withdrawn ? RefusalReason.Closed : error.message)
  }

  #start (): void {
    const { parts: { clock, closures }, message, runner, dispatcher, signal } = this.options
    const { method, target, headers, body, requestId, timeLeftMs } = message
    closures.onChosen(runner.entry, requestId)
    this.#deadlineTimer = clock.setTimer(timeLeftMs + OVERDUE_MARGIN_MS, () => this.#onOverdue())
    signal.addEventListener('abort', () => this.#end(), { once: true })
    const bytes = body === undefined ? undefined : Buffer.from(body.buffer, body.byteOffset, body.byteLength)
    this.#attempt = DirectAttempt.start(dispatcher, { id: requestId, method, target, headers, body: bytes }, this, clock)
    if (signal.aborted) this.#end()
  }

  /** What the runner states about itself closes it to this host's own requests too. */
  #applySignals (status: number, headers: RawHeaders): void {
    const { parts: { closures, codec }, message: { requestId }, runner } = this.options
    const signals = codec.decodeAnswer(status, headers)
    this.#refused = signals.notRun || signals.misdirected
    const isFromOtherRunner = signals.misdirected && signals.runnerId !== runner.entry.id
    if (signals.requestId === requestId && !isFromOtherRunner) closures.onAnswer({ runner: runner.entry, requestId, signals })
  }

  #onOverdue (): void {
    const stage = this.#attempt?.sent !== true ? FailureStage.Withdrawn : this.#headReceived ? FailureStage.Answer : FailureStage.Sent
    this.#attempt?.cancel()
    this.#fail(stage, RefusalReason.Overdue)
  }

  #fail (stage: FailureStage, reason: string): void {
    this.#outcome = outcomeOfFailure(stage, FaultAt.Runner)
    this.#leaveRunner()
    this.#queue.pushFailure(stage, reason)
  }

  #leaveRunner (): void {
    if (this.#left) return
    this.#left = true
    this.#deadlineTimer?.cancel()
    this.#leavePath?.()
    // The host that took the request from its caller counts what it occupies at the runner.
    this.options.parts.closures.onEnded(this.options.runner.entry, this.options.message.requestId, true)
  }

  /** The answer was taken, or the other host no longer waits for it. */
  #end (): void {
    if (this.#over) return
    this.#over = true
    this.#attempt?.cancel()
    this.#leaveRunner()
    this.#queue.discard()
    this.options.onOver(this.#outcome)
  }
}
