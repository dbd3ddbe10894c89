/** Records what an attempt shows about its runner: its health, the models it holds, whether it can be reached. */
import { LimitSignal, type AnswerFacts, type AnswerLimit } from '../forward/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import type { AttemptResult } from './attempt-result.js'
import { Outcome } from './outcome.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type EndedAttempt = {
  request: AcceptedRequest
  runner: RunnerState
  result: AttemptResult
  /** Monotonic time at which the attempt started. */
  startedMs: number
  /** It failed on the way to the runner, which says nothing about the runner. */
  pathFailed: boolean
}

export function recordAttempt (context: ServeContext, attempt: EndedAttempt): void {
  const { request, runner, result } = attempt
  const { facts, outcome } = result
  const nowMs = context.clock.monotonicMs()
  if (facts?.misdirected === true) return recordMisdirected(context, attempt, nowMs)
  if (outcome === Outcome.Answered) recordAnswered(context, attempt, nowMs)
  else if (attempt.pathFailed || result.lacksRoom === true) runner.health.onNeutral(request.id)
  else if (facts?.notRun === true || outcome === Outcome.Withdrawn) runner.health.onNeutral(request.id)
  else if (outcome === Outcome.ConnectFailed) context.runners.markUnreachable(runner.entry.id, nowMs)
  else runner.health.onFailure(request.id, nowMs)
}

export type ReceivedHead = {
  requestId: string
  runner: RunnerState
  facts: AnswerFacts
  /** When the request was written, on the clock that includes the time for which the host was suspended. */
  writtenInstantMs: number
}

/** Records the signals about its runner in the head of an answer, whether or not the answer is used. */
export function recordAnswerHead (context: ServeContext, received: ReceivedHead): void {
  const { requestId, runner: { entry }, facts } = received
  const isFromOtherRunner = facts.misdirected && facts.runnerId !== entry.id
  if (isFromOtherRunner) return
  context.closures.onAnswer({ runner: entry, requestId, signals: facts })
  if (!facts.misdirected) recordLimits(context, received)
}

/** Any answer may state its runner's limits. The absence of a limit counts only in a signed answer. */
function recordLimits ({ runners, limits, metrics }: ServeContext, { runner, facts, writtenInstantMs }: ReceivedHead): void {
  if (runners.get(runner.entry.id) !== runner) return
  const counts = ({ signal }: AnswerLimit) => signal !== LimitSignal.None || facts.signed
  if (counts(facts.limit)) limits.onAnswer(runner.entry, facts.limit, writtenInstantMs)
  if (counts(facts.rejectionLimit)) limits.onAnswerToRejections(runner.entry, facts.rejectionLimit, writtenInstantMs)
  if (!facts.rejected || limits.rejectionLimitOf(runner.entry) === undefined) return
  metrics.countedRejections.inc()
  limits.onRejected(runner.entry)
}

/** Another runner uses the address, or this runner doesn't hold the requested model or adapter. */
function recordMisdirected ({ runners }: ServeContext, { request, runner, result }: EndedAttempt, nowMs: number): void {
  const { model, adapter } = request.facts
  const answeredBy = result.facts?.runnerId
  const { id } = runner.entry
  // The runner at this address was replaced and its entry will expire soon, unless the answer was damaged.
  if (answeredBy !== undefined && answeredBy !== id) runners.markUnreachable(id, nowMs)
  else if (model !== undefined) runners.markNotResident(id, model, adapter, nowMs)
  runner.health.onNeutral(request.id)
}

function recordAnswered ({ demand }: ServeContext, { request, runner, startedMs }: EndedAttempt, nowMs: number): void {
  const { service, facts } = request
  runner.health.onSuccess()
  if (service.engine !== undefined && facts.model !== undefined) demand.observeHold(service.name, facts.model, nowMs - startedMs)
}
