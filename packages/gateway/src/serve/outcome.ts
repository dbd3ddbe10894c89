/** How an attempt at a runner ended, and what follows from it. Pure. */
import { RouteKind, type Route } from '../config/types.js'

export const Outcome = {
  /** The whole answer has reached the caller's connection, or is ready for it. */
  Answered: 'answered',
  /** No connection: the runner never saw the request. */
  Unreached: 'unreached',
  /** The runner was to be left before the request was written. */
  Withdrawn: 'withdrawn',
  /** The runner saw the request and certainly did not run it. */
  NotRun: 'not-run',
  /** It may have run; no whole answer came. */
  Unknown: 'unknown',
  /** The runner answered with a failure of its own. */
  RunnerFailed: 'runner-failed'
} as const
export type Outcome = (typeof Outcome)[keyof typeof Outcome]

export const NextStep = { Finish: 'finish', SendAgain: 'send-again', GiveUp: 'give-up' } as const
export type NextStep = (typeof NextStep)[keyof typeof NextStep]

export type Progress = {
  /** Runners that may have run the request. */
  runs: number
  /** Sendings that a runner refused. */
  notRuns: number
  /** Sendings of which no byte left this host. */
  unsent: number
  /** Bytes of an answer have gone to the caller. */
  answerBegun: boolean
}

/** Sendings that may be refused before the caller is told to come back. */
const MAX_NOT_RUN = 3
/** Runners that may turn out to be gone: finding that out takes a connection's timeout at most, and costs no runner anything. */
const MAX_UNSENT = 8

/** Decides after an attempt; the budget is asked separately when the answer is to send again. */
export function decideNext (route: Route, outcome: Outcome, progress: Progress): NextStep {
  if (outcome === Outcome.Answered) return NextStep.Finish
  if (wasNotSent(outcome)) return progress.unsent < MAX_UNSENT ? NextStep.SendAgain : NextStep.GiveUp
  if (outcome === Outcome.NotRun) return progress.notRuns < MAX_NOT_RUN ? NextStep.SendAgain : NextStep.GiveUp
  if (!mayRunAgain(route, progress)) return NextStep.GiveUp
  return progress.runs < route.maxAttempts ? NextStep.SendAgain : NextStep.GiveUp
}

/** No byte of the request has left this host. */
export function wasNotSent (outcome: Outcome): boolean {
  return outcome === Outcome.Unreached || outcome === Outcome.Withdrawn
}

function mayRunAgain (route: Route, progress: Progress): boolean {
  if (route.kind === RouteKind.Idempotent) return !progress.answerBegun
  return route.kind === RouteKind.Stream && route.resumable
}
