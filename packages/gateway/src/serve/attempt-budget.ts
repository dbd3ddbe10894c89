/** Counts the attempts of one request, and decides whether there may be another one: by its route, its progress and the retry budget. */
import { Ran } from '@figloom/runtime'
import { decideNextStep, NextStep, Outcome, wasNotSent, type Progress } from './outcome.js'
import type { RequestLog } from './request-log.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type AttemptBudgetOptions = {
  context: ServeContext
  request: AcceptedRequest
  log: RequestLog
  /** Bytes of an answer have been sent to the caller. */
  answerStarted: () => boolean
}

export class AttemptBudget {
  readonly #progress: Progress = { possibleRuns: 0, refusals: 0, unsentAttempts: 0, answerStarted: false }
  #mayHaveRun = false

  private constructor (private readonly options: AttemptBudgetOptions) {}

  static create (options: AttemptBudgetOptions): AttemptBudget {
    return new AttemptBudget(options)
  }

  get progress (): Progress {
    return this.#progress
  }

  /** A runner may have run the request. */
  get mayHaveRun (): boolean {
    return this.#mayHaveRun
  }

  /** What is known for certain about whether the request ran. */
  get ran (): Ran {
    return this.#mayHaveRun ? Ran.Unknown : Ran.No
  }

  /** An attempt that was sent is taken back. */
  onTakenBack (): void {
    this.#mayHaveRun = true
  }

  /** Counts an attempt that has ended. */
  count (outcome: Outcome): void {
    this.#progress.answerStarted = this.options.answerStarted()
    if (wasNotSent(outcome)) {
      this.#progress.unsentAttempts += 1
      return
    }
    if (outcome === Outcome.NotRun) {
      this.#progress.refusals += 1
      return
    }
    this.#progress.possibleRuns += 1
    this.#mayHaveRun = true
  }

  /** What follows an attempt that ended so, and was counted. */
  nextStep (outcome: Outcome): NextStep {
    return decideNextStep(this.options.request.route, outcome, this.#progress)
  }

  /** Takes a retry from the budget that all hosts share; false: there may be no other attempt. */
  acquire (outcome: Outcome): boolean {
    const { context: { budget, clock, host, metrics }, request, log, answerStarted } = this.options
    if (host.isLeaving() && answerStarted()) return false
    // The retry budget limits the load on runners, and this attempt put none on any.
    if (wasNotSent(outcome)) return true
    const granted = budget.take(request.service.name, host.hostCount(), clock.monotonicMs())
    if (granted) metrics.retries.inc({ reason: outcome })
    else log.note('repeat refused by the budget', { service: request.service.name, hosts: host.hostCount() })
    return granted
  }

  /** Whether the request may be sent again if the attempt in progress is given up. */
  mayRepeat (): boolean {
    const { context: { budget, clock, host }, request: { route, service }, answerStarted } = this.options
    const progress = { ...this.#progress, possibleRuns: this.#progress.possibleRuns + 1, answerStarted: answerStarted() }
    return decideNextStep(route, Outcome.Unknown, progress) === NextStep.Retry && budget.mayTake(service.name, host.hostCount(), clock.monotonicMs())
  }
}
