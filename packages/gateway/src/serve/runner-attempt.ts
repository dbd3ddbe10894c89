/** One attempt of a request at one runner: what it occupies there until it leaves, and when it was sent. */
import type { Dispatcher } from 'undici'
import { Departure } from '../crashes/types.js'
import type { KeyGuard } from '../customers/key-guard.js'
import type { Attempt, AttemptObserver, AttemptRequest } from '../forward/attempt.js'
import type { ForwardedCaller } from '../forward/types.js'
import type { Permit } from '../limits/types.js'
import type { ByteHold } from '../memory/byte-budget.js'
import type { PathListener } from '../paths/types.js'
import { AnswerTimes } from '../pace/answer-times.js'
import type { RunnerState } from '../runners/runner-table.js'
import { AttemptPath } from './attempt-path.js'
import type { RequestGuard } from './request-guard.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type RunnerAttemptOptions = {
  context: ServeContext
  request: AcceptedRequest
  requestGuard: RequestGuard
  keyGuard: KeyGuard
  /** What the request as encoded tells the runner of its caller. */
  caller: ForwardedCaller | undefined
  runner: RunnerState
  permit: Permit | undefined
  /** Called when the direct path to the runner is found to be broken while the request is on it. */
  onPathBroken: PathListener
}

export class RunnerAttempt {
  readonly runner: RunnerState
  readonly path: AttemptPath
  readonly startedMs: number
  readonly times = AnswerTimes.create()
  #attempt: Attempt | undefined
  /** Counts what is kept of the answer. */
  #hold: ByteHold | undefined
  #left = false
  #canceled = false
  /** When the attempt got a connection; undefined until then. */
  #writtenMs: number | undefined
  /** The same, on the clock that includes the time for which the host was suspended. */
  #writtenInstantMs = 0

  private constructor (private readonly options: RunnerAttemptOptions) {
    this.runner = options.runner
    this.path = AttemptPath.create(options.context, options.runner.entry)
    this.startedMs = options.context.clock.monotonicMs()
  }

  static create (options: RunnerAttemptOptions): RunnerAttempt {
    return new RunnerAttempt(options)
  }

  /** A byte of the request may have reached the runner. */
  get sent (): boolean {
    return this.#attempt?.sent === true
  }

  get writtenInstantMs (): number {
    return this.#writtenInstantMs
  }

  /** Time from the start until the attempt had a connection. */
  get writtenAfterMs (): number | undefined {
    return this.#writtenMs === undefined ? undefined : this.#writtenMs - this.startedMs
  }

  start (dispatcher: Dispatcher, attemptRequest: AttemptRequest, observer: AttemptObserver): void {
    const { context, request } = this.options
    this.runner.inFlight += 1
    context.waiting.customers.onSent(request.customer)
    this.runner.health.onSent(request.id)
    context.closures.onChosen(this.runner.entry, request.id)
    const timeLeftMs = request.dueMs - context.clock.monotonicMs()
    const attempt = this.path.start(dispatcher, { request: attemptRequest, requestId: request.id, timeLeftMs }, observer)
    this.#attempt = attempt
    if (this.#canceled) attempt.cancel()
  }

  /**
   * Checks the runner again: it may have started to drain or been closed by its own signals while the request waited for a connection.
   * @param number 1 for the first attempt in which the request may run
   */
  beforeWrite (number: number): boolean {
    const { context, request, requestGuard, keyGuard, caller, permit, onPathBroken } = this.options
    const { clock, closures, instants, limits, metrics, runners } = context
    const { entry } = this.runner
    this.#writtenMs = clock.monotonicMs()
    this.#writtenInstantMs = instants.nowMs()
    if (!runners.mayUse(this.runner)) return false
    if (!closures.mayWrite(entry, request.id)) return false
    if (!requestGuard.mayWrite()) return false
    if (!keyGuard.mayWrite(caller)) return false
    if (!limits.beforeWrite(entry, permit)) return false
    if (permit !== undefined) metrics.limitedAttempts.inc()
    requestGuard.onSent(entry, number)
    this.path.onWritten(onPathBroken)
    return true
  }

  /** @param onGiveWay called when the memory of the answer is needed for others */
  openHold (onGiveWay: () => void): ByteHold {
    this.#hold = this.options.context.memory.answers.open(this.runner.entry.id, onGiveWay)
    return this.#hold
  }

  /** Resumes reading of a paused body. */
  resume (): void {
    this.#attempt?.resume()
  }

  /** The request is no longer at the runner. */
  leave (departure: Departure = Departure.Other): void {
    if (this.#left) return
    this.#left = true
    const { context, request, requestGuard } = this.options
    requestGuard.onLeft(this.runner.entry, departure)
    context.closures.onEnded(this.runner.entry, request.id, departure === Departure.Answered)
    this.path.leave()
    this.runner.inFlight -= 1
    context.waiting.customers.onLeft(request.customer)
    context.waiting.onRoom()
  }

  /** Takes the request back from the runner and closes the connection. */
  cancel (): void {
    this.#canceled = true
    this.#hold?.close()
    this.leave()
    this.#attempt?.cancel()
  }

  /** Cancels without a judgment of the runner. */
  cancelNeutrally (): void {
    if (!this.#left) this.runner.health.onNeutral(this.options.request.id)
    this.cancel()
  }
}
