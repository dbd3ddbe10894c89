/** Records what an attempt shows about its runner: its health, the models it holds, whether it can be reached. */
import type { Route } from '../config/types.js'
import { LimitSignal, PauseSignal, type AnswerFacts, type AnswerLimit } from '../forward/types.js'
import type { AnswerTimes } from '../pace/answer-times.js'
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
  times: AnswerTimes
  /** It failed on the way to the runner, which says nothing about the runner. */
  pathFailed: boolean
}

export function recordAttempt (context: ServeContext, attempt: EndedAttempt): void {
  const { request, runner, result } = attempt
  const { facts, outcome } = result
  const nowMs = context.clock.monotonicMs()
  if (facts?.misdirected === true) return recordMisdirected(context, attempt, nowMs)
  if (facts?.rejected === true) runner.slowStart?.onStrain(nowMs)
  if (outcome === Outcome.Answered) recordAnswered(context, attempt, nowMs)
  else if (attempt.pathFailed || result.lacksRoom === true) runner.health.onNeutral(request.id)
  else if (facts?.notRun === true || outcome === Outcome.Withdrawn) runner.health.onNeutral(request.id)
  else if (outcome === Outcome.ConnectFailed) context.runners.markUnreachable(runner.entry.id, nowMs)
  else recordFailed(context, attempt, nowMs)
}

/** A runner that is ejected gets few requests at first when it is used again. */
function recordFailed ({ runners }: ServeContext, { request, runner }: EndedAttempt, nowMs: number): void {
  const { health, slowStart } = runner
  const { ejectedUntilMs } = health
  health.onFailure(request.id, nowMs)
  if (health.ejectedUntilMs === ejectedUntilMs) slowStart?.onStrain(nowMs)
  else runners.startSlowly(runner, health.ejectedUntilMs)
}

/** Records the start of an answer: whether a runner that has just started keeps up with the requests it gets. */
export function recordBegun ({ host, clock }: ServeContext, { targetLatencyMs }: Route, { slowStart }: RunnerState, startedMs: number): void {
  const nowMs = clock.monotonicMs()
  if (nowMs - startedMs > targetLatencyMs) slowStart?.onStrain(nowMs)
  else slowStart?.onAnswer(host.hostCount(), nowMs)
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
  if (facts.pause.signal === PauseSignal.Named) context.runners.startSlowly(received.runner, context.clock.monotonicMs() + facts.pause.pauseMs)
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

function recordAnswered (context: ServeContext, { request, runner, startedMs, times }: EndedAttempt, nowMs: number): void {
  const { service, route, facts } = request
  runner.health.onSuccess()
  if (times.firstMs === undefined) recordBegun(context, route, runner, startedMs)
  if (service.engine === undefined || facts.model === undefined) return
  context.demand.observeHold(service.name, facts.model, nowMs - startedMs)
  const { medianPauseMs: durationMs } = times
  if (durationMs !== undefined) context.runners.paces.observe({ runnerId: runner.entry.id, work: `${service.name}/${facts.model}`, durationMs }, nowMs)
}
