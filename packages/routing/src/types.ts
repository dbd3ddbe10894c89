/** Types that the decisions of routing share. Times are monotonic milliseconds unless said otherwise. */
import type { Priority } from '@figloom/tables'
import type { Failure } from '@figloom/runtime'

/** Source of random numbers in [0, 1); injected, so that decisions repeat. */
export type RandomSource = () => number

/** What is called: one version of a model, or a plain service. */
export type Target = { model: string, version: string, adapter?: string }

/** A request as the decisions see it. */
export type RouteRequest = {
  id: string
  /** Name of the route: the unit of fairness. */
  route: string
  target: Target
  priority: Priority
  /** Monotonic time by which the first token, or the answer of a plain service, is due. */
  deadlineMs: number
  betweenTokensTargetMs: number
  promptTokens: number
  /** Hashes of the prompt's leading blocks, shortest prefix first; empty if unknown. */
  prefixHashes: readonly string[]
  /** Whether the request may run twice. */
  idempotent: boolean
}

/** Load figures of a runner as its engine reported them. */
export type LoadReport = { running: number, queued: number, kvUsedMiB: number, ageMs: number }

/** What a neighbouring host has in flight at one runner. */
export type NeighbourLoad = { host: string, runner: string, inFlight: number, pendingTokens: number }

/** A copy as routing needs it. */
export type RoutableCopy = { model: string, version: string, adapters: readonly string[] }

/** A runner as routing learns it from the tables and from control. */
export type RunnerInfo = {
  name: string
  availabilityZone: string
  draining: boolean
  copies: readonly RoutableCopy[]
}

/** Send the request to a runner now. */
export type SendDecision = {
  kind: 'send'
  runner: string
  expectedFirstTokenMs: number
}

/** The request is queued in the decider; `release` returns it later. */
export type WaitDecision = { kind: 'wait', expectedWaitMs: number }

/** Give up at once. */
export type RefuseDecision = { kind: 'refuse', failure: Failure }

export type Decision = SendDecision | WaitDecision | RefuseDecision

/** What is final for a queued request. */
export type Released = { request: RouteRequest, decision: SendDecision | RefuseDecision }

/** Key of one version of a model. */
export function targetKey (target: { model: string, version: string }): string {
  return `${target.model}@${target.version}`
}
