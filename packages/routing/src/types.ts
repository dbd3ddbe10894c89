/** Types shared by the routing decisions. Times are monotonic milliseconds unless stated otherwise. */
import type { Priority } from '@figloom/tables'
import type { Failure } from '@figloom/runtime'

/** Source of random numbers in [0, 1); injected to make decisions reproducible. */
export type RandomSource = () => number

/** What a request is for: a model version, optionally with an adapter, or a plain service. */
export type Target = { model: string, version: string, adapter?: string }

/** The properties of a request that routing decisions use. */
export type RouteRequest = {
  id: string
  /** Name of the route; the queue is fair between routes. */
  route: string
  target: Target
  priority: Priority
  /** Time by which the first token, or the answer of a plain service, is due. */
  deadlineMs: number
  betweenTokensTargetMs: number
  promptTokens: number
  /** Hashes of the prompt's leading blocks, shortest prefix first; empty if unknown. */
  prefixHashes: readonly string[]
  /** Whether the request may run twice. */
  idempotent: boolean
}

/** Load of a runner as reported by its engine. */
export type LoadReport = { running: number, queued: number, kvUsedMiB: number, ageMs: number }

/** Load that another host puts on one runner. */
export type PeerLoad = { host: string, runner: string, inFlight: number, pendingTokens: number }

/** The properties of a copy that routing uses. */
export type RoutableCopy = { model: string, version: string, adapters: readonly string[] }

/** A runner as the configuration tables and the control plane describe it. */
export type RunnerInfo = {
  name: string
  availabilityZone: string
  draining: boolean
  copies: readonly RoutableCopy[]
}

/** Send the request to the runner now. */
export type SendDecision = {
  kind: 'send'
  runner: string
  expectedFirstTokenMs: number
}

/** The request is queued in the decider, and `release` returns it later. */
export type WaitDecision = { kind: 'wait', expectedWaitMs: number }

/** Refuse the request. */
export type RefuseDecision = { kind: 'refuse', failure: Failure }

export type Decision = SendDecision | WaitDecision | RefuseDecision

/** The final decision on a queued request. */
export type Released = { request: RouteRequest, decision: SendDecision | RefuseDecision }

/** Key of a model version. */
export function targetKey (target: { model: string, version: string }): string {
  return `${target.model}@${target.version}`
}
