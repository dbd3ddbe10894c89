/** What an attempt tells of its runner: its health, what it holds, whether it can be reached. */
import { LimitWord, type AnswerFacts } from '../forward/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import type { AttemptResult } from './attempt-result.js'
import { Outcome } from './outcome.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type EndedAttempt = {
  request: AcceptedRequest
  runner: RunnerState
  result: AttemptResult
  /** Monotonic time at which it began. */
  sentMs: number
}

export function learnFromAttempt (context: ServeContext, attempt: EndedAttempt): void {
  const { request, runner, result } = attempt
  const { facts, outcome } = result
  const nowMs = context.clock.monotonicMs()
  if (facts?.misdirected === true) return learnMisdirected(context, attempt, nowMs)
  if (outcome === Outcome.Answered) learnAnswered(context, attempt, nowMs)
  else if (facts?.notRun === true || outcome === Outcome.Withdrawn) runner.health.onNeutral(request.id)
  else if (outcome === Outcome.Unreached) context.runners.markUnreachable(runner.entry.id, nowMs)
  else runner.health.onFailure(request.id, nowMs)
}

export type AnswerHeard = {
  requestId: string
  runner: RunnerState
  facts: AnswerFacts
  /** When its request was written, on the clock that counts suspensions. */
  askedMs: number
}

/** Takes over what the head of an answer says of its runner, whatever comes of the answer. */
export function learnFromHead (context: ServeContext, heard: AnswerHeard): void {
  const { requestId, runner: { entry }, facts } = heard
  const isOfAnother = facts.misdirected && facts.runnerId !== entry.id
  if (isOfAnother) return
  context.closures.onAnswer({ runner: entry, requestId, words: facts })
  if (!facts.misdirected) learnLimit(context, heard)
}

/** Any answer to a request may name its runner's limit; that there is none says only an answer that the runner vouches for. */
function learnLimit ({ runners, limits }: ServeContext, { runner, facts, askedMs }: AnswerHeard): void {
  if (runners.get(runner.entry.id) !== runner) return
  if (facts.limit.word === LimitWord.None && !facts.signed) return
  limits.onAnswer(runner.entry, facts.limit, askedMs)
}

/** Another runner answers at the address, or this one doesn't hold what was asked for. */
function learnMisdirected ({ runners }: ServeContext, { request, runner, result }: EndedAttempt, nowMs: number): void {
  const { model, adapter } = request.facts
  const answeredBy = result.facts?.runnerId
  const { id } = runner.entry
  // The runner's entry is about to expire, unless the answer was damaged.
  if (answeredBy !== undefined && answeredBy !== id) runners.markUnreachable(id, nowMs)
  else if (model !== undefined) runners.markDenied(id, model, adapter, nowMs)
  runner.health.onNeutral(request.id)
}

function learnAnswered ({ demand }: ServeContext, { request, runner, sentMs }: EndedAttempt, nowMs: number): void {
  const { service, facts } = request
  runner.health.onSuccess()
  if (service.engine !== undefined && facts.model !== undefined) demand.observeHold(service.name, facts.model, nowMs - sentMs)
}
