/** Outcomes of an attempt and the decision whether to retry. Pure functions. */
import { RouteKind, type Route } from '../config/types.js'
import { Departure } from '../crashes/types.js'

export const Outcome = {
  /** The whole answer has been written to the caller's connection, or is ready to be. */
  Answered: 'answered',
  /** No connection could be opened: the runner never received the request. */
  ConnectFailed: 'unreached',
  /** The attempt was withdrawn before the request was written, since the runner was no longer usable. */
  Withdrawn: 'withdrawn',
  /** The runner received the request and states that it did not run it. */
  NotRun: 'not-run',
  /** The request may have run; no complete answer was received. */
  Unknown: 'unknown',
  /** The runner answered with a server error, or with anything but a stream when the caller has received a part of one. */
  RunnerFailed: 'runner-failed'
} as const
export type Outcome = (typeof Outcome)[keyof typeof Outcome]

export const NextStep = { Finish: 'finish', Retry: 'send-again', GiveUp: 'give-up' } as const
export type NextStep = (typeof NextStep)[keyof typeof NextStep]

export type Progress = {
  /** Attempts in which the request may have run. */
  possibleRuns: number
  /** Attempts that a runner refused. */
  refusals: number
  /** Attempts in which no byte was sent. */
  unsentAttempts: number
  /** Bytes of an answer have been sent to the caller. */
  answerStarted: boolean
}

/** Refused attempts after which the caller is asked to retry later. */
const MAX_REFUSALS = 3
/** Higher than the limit for refusals: such an attempt takes at most the connect timeout and puts no load on any runner. */
const MAX_UNSENT_ATTEMPTS = 8

/** Decides what follows an attempt. A retry also needs the retry budget, which the caller of this function checks. */
export function decideNextStep (route: Route, outcome: Outcome, progress: Progress): NextStep {
  if (outcome === Outcome.Answered) return NextStep.Finish
  if (wasNotSent(outcome)) return progress.unsentAttempts < MAX_UNSENT_ATTEMPTS ? NextStep.Retry : NextStep.GiveUp
  if (outcome === Outcome.NotRun) return progress.refusals < MAX_REFUSALS ? NextStep.Retry : NextStep.GiveUp
  if (!mayRunAgain(route, progress)) return NextStep.GiveUp
  return progress.possibleRuns < route.maxAttempts ? NextStep.Retry : NextStep.GiveUp
}

/** No byte of the request was sent. */
export function wasNotSent (outcome: Outcome): boolean {
  return outcome === Outcome.ConnectFailed || outcome === Outcome.Withdrawn
}

/** Fewer attempts were refused or unsent than end a request. */
export function mayTryOthers ({ refusals, unsentAttempts }: Progress): boolean {
  return refusals < MAX_REFUSALS && unsentAttempts < MAX_UNSENT_ATTEMPTS
}

/** How an attempt with this outcome left its runner. */
export function departureOf (outcome: Outcome, connectionBroke: boolean): Departure {
  if (connectionBroke) return Departure.Broken
  return outcome === Outcome.Answered || outcome === Outcome.RunnerFailed ? Departure.Answered : Departure.Other
}

function mayRunAgain (route: Route, progress: Progress): boolean {
  if (route.kind === RouteKind.Idempotent) return !progress.answerStarted
  return route.kind === RouteKind.Stream && route.resumable
}
