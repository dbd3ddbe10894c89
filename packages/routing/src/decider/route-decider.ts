/** The decisions of one host for the runners of one cell. Pure: state and clock readings in, decisions out. */
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import { Priority } from '@figloom/tables'
import { isEligible, type Candidate, type Choice } from '../choose/choose-runner.js'
import { FairQueue } from '../admission/fair-queue.js'
import { PrefixIndex, prefixKeys, type PrefixEvent } from '../prefix-index/prefix-index.js'
import { RetryBudget } from '../retry/retry-budget.js'
import { decideRetry, RetryAction } from '../retry/retry-rules.js'
import type { Attempt } from '../load/runner-load.js'
import {
  targetKey, type Decision, type LoadReport, type NeighbourLoad, type RandomSource, type RefuseDecision,
  type Released, type RouteRequest, type RunnerInfo, type SendDecision
} from '../types.js'
import { DEFAULT_DECIDER_OPTIONS, type DeciderOptions } from './options.js'
import { RunnerState, type RunnerStatus } from './runner-state.js'
import { TargetStats, type TargetDemand } from './target-stats.js'

/** What to do with an attempt that failed. */
export type FailureDecision =
  { kind: 'repeat' | 'resume', send: SendDecision } |
  { kind: 'give-up', failure: Failure }

/** Runners that may take a request and the places within their limits. Ejected ones only where no other holds the model. */
type Room = { candidates: Candidate[], slots: number }

const MIN_RETRY_AFTER_MS = 50
const NO_RUNNER_RETRY_MS = 1_000
/** An attempt without progress for this long, and for this many times what was expected, marks a stalled runner. */
const STALL_MS = 3_000
const STALL_FACTOR = 10

export class RouteDecider {
  readonly #runners = new Map<string, RunnerState>()
  readonly #attempts = new Map<string, Attempt>()
  readonly #stats = new Map<string, TargetStats>()
  readonly #queue = FairQueue.create()
  readonly #prefixes = PrefixIndex.create()
  readonly #budget: RetryBudget

  private constructor (
    private readonly options: DeciderOptions,
    private readonly random: RandomSource,
    nowMs: number
  ) {
    this.#budget = RetryBudget.create(nowMs)
  }

  static create (input: { options?: Partial<DeciderOptions>, random: RandomSource, nowMs: number }): RouteDecider {
    return new RouteDecider({ ...DEFAULT_DECIDER_OPTIONS, ...input.options }, input.random, input.nowMs)
  }

  /** Requests that wait here. */
  get waiting (): number {
    return this.#queue.size
  }

  /** Replaces what is known of the cell's runners and their copies. State of runners that stay is kept. */
  setRunners (infos: readonly RunnerInfo[]): void {
    const names = new Set(infos.map((info) => info.name))
    for (const name of this.#runners.keys()) if (!names.has(name)) this.#forget(name)
    for (const info of infos) {
      const known = this.#runners.get(info.name)
      if (known === undefined) this.#runners.set(info.name, RunnerState.create(info, this.options.createLimit))
      else known.update(info)
    }
  }

  /** Decides on a new request. One that waits is queued here until `release`, `cancel` or its deadline. */
  decide (request: RouteRequest, nowMs: number): Decision {
    this.#statsOf(request).onRequest()
    const room = this.#roomFor(request, nowMs)
    const early = this.#refuseEarly(request, room, nowMs)
    if (early !== undefined) return early
    const choice = this.#mayPass(request) ? this.#choose(request, room, nowMs) : undefined
    if (choice !== undefined) return this.#sendTo(choice)
    return this.#enqueue(request, room, nowMs)
  }

  /** Decisions on waiting requests that are final now. Call after an answer ended and at `nextDueMs`. */
  release (nowMs: number): Released[] {
    const released: Released[] = []
    this.#queue.drain((request) => {
      const decision = this.#decideWaiting(request, nowMs)
      if (decision === undefined) return false
      released.push({ request, decision })
      if (decision.kind === 'send') this.onSent(request, decision, nowMs)
      return true
    })
    return released
  }

  /** Removes a waiting request whose caller gave up; false if it does not wait here. */
  cancel (requestId: string): boolean {
    return this.#queue.remove(requestId)
  }

  /** Counts an attempt. `release` has counted those that it returned. */
  onSent (request: RouteRequest, decision: SendDecision, nowMs: number): void {
    const state = this.#runners.get(decision.runner)
    if (state === undefined) return
    const keys = prefixKeysOf(request)
    const ownTokens = request.promptTokens - this.#cachedTokens(state, request, keys)
    const attempt = {
      request,
      runner: decision.runner,
      sentMs: nowMs,
      tokensAhead: state.load.pendingTokens(nowMs) + ownTokens,
      ownTokens,
      loadWhenSent: state.load.total(nowMs) + 1,
      copyLoadWhenSent: state.load.totalOf(targetKey(request.target), nowMs) + 1,
      expectedFirstTokenMs: decision.expectedFirstTokenMs,
      lastProgressMs: nowMs,
      tokens: 0
    }
    this.#attempts.set(request.id, attempt)
    state.load.add(attempt, nowMs)
    state.health.onSent(request.id)
    this.#budget.onFirstAttempt()
    this.#queue.charge(request, request.promptTokens + 1)
    this.#prefixes.onSent(decision.runner, keys)
  }

  onFirstToken (requestId: string, nowMs: number): void {
    const attempt = this.#attempts.get(requestId)
    const state = attempt && this.#runners.get(attempt.runner)
    if (attempt === undefined || state === undefined || attempt.firstTokenMs !== undefined) return
    state.load.onFirstToken(attempt, nowMs)
    const waitedMs = nowMs - attempt.sentMs - this.#roundTripMs(state) - state.latency.stepMs(attempt.loadWhenSent)
    state.latency.onFirstToken(waitedMs, attempt.tokensAhead)
  }

  /** Notes progress of a stream: tokens delivered so far. */
  onToken (requestId: string, tokens: number, nowMs: number): void {
    const attempt = this.#attempts.get(requestId)
    if (attempt === undefined) return
    attempt.tokens = tokens
    attempt.lastProgressMs = nowMs
  }

  /** An answer is complete. */
  onDone (requestId: string, tokens: number, nowMs: number): void {
    const attempt = this.#end(requestId, nowMs)
    const state = attempt && this.#runners.get(attempt.runner)
    if (attempt === undefined || state === undefined) return
    state.health.onSuccess()
    const firstMs = attempt.firstTokenMs ?? nowMs
    const copyLimit = state.copyLimit(targetKey(attempt.request.target))
    const load = Math.max(attempt.loadWhenSent, state.load.total(nowMs) + 1)
    const stepMs = tokens > 1 ? (nowMs - firstMs) / (tokens - 1) : undefined
    const runnerMs = attempt.ownTokens * state.latency.prefillMsPerToken + (nowMs - firstMs) / state.limit.value
    const durationMs = nowMs - attempt.sentMs
    this.#statsOf(attempt.request).onDone(durationMs, runnerMs, durationMs / copyLimit.value)
    if (stepMs !== undefined) state.latency.onStep(stepMs, load)
    state.limit.onSample((stepMs ?? 0) <= attempt.request.betweenTokensTargetMs, load, nowMs)
    copyLimit.onSample(firstMs <= attempt.request.deadlineMs, attempt.copyLoadWhenSent, nowMs)
  }

  /** The caller gave up an attempt, or it was the slower one of two. */
  onCanceled (requestId: string, nowMs: number): void {
    const attempt = this.#end(requestId, nowMs)
    if (attempt !== undefined) this.#runners.get(attempt.runner)?.health.onNeutral(requestId)
  }

  /** An attempt failed: repeat, resume or give up, at once. A resumed stream has met its deadline already. */
  onFailed (requestId: string, failure: Failure, attempts: number, nowMs: number): FailureDecision {
    const attempt = this.#end(requestId, nowMs)
    if (attempt === undefined) return { kind: 'give-up', failure }
    this.#runners.get(attempt.runner)?.health.onFailure(requestId, nowMs)
    const action = decideRetry(attempt.request, failure, { attempts, tokens: attempt.tokens })
    if (action === RetryAction.GiveUp || !this.#budget.take(nowMs)) return { kind: 'give-up', failure }
    const request = action === RetryAction.Resume ? { ...attempt.request, deadlineMs: Infinity } : attempt.request
    // The runner that failed is better than none: a single broken connection need not be its end.
    const choice = this.#choose(request, this.#roomFor(request, nowMs, attempt.runner), nowMs) ??
      this.#choose(request, this.#roomFor(request, nowMs), nowMs)
    if (choice === undefined) return { kind: 'give-up', failure }
    return { kind: action, send: this.#sendTo(choice) }
  }

  onReport (runner: string, report: LoadReport, nowMs: number): void {
    this.#runners.get(runner)?.load.onReport(report, nowMs)
  }

  onNeighbour (load: NeighbourLoad, nowMs: number): void {
    this.#runners.get(load.runner)?.load.onNeighbour(load, nowMs)
  }

  onCacheEvents (runner: string, events: readonly PrefixEvent[]): void {
    this.#prefixes.onEvents(runner, events)
  }

  /** The engine's process was replaced. */
  onReplaced (runner: string): void {
    this.#prefixes.reset(runner)
  }

  /** What this host tells its neighbours. */
  ownLoads (host: string): NeighbourLoad[] {
    return [...this.#runners.values()].map(({ info, load }) => (
      { host, runner: info.name, inFlight: load.inFlight, pendingTokens: load.ownPendingTokens }))
  }

  /** Figures of every runner, for metrics and status. */
  runnerStatus (nowMs: number): RunnerStatus[] {
    return [...this.#runners.values()].map((state) => state.status(nowMs))
  }

  /** Requests since the last call, by model version; refused ones count. */
  takeDemand (): TargetDemand[] {
    return [...this.#stats.values()].map((stats) => stats.take())
  }

  /** Ejects runners whose attempts make no progress. Call about once a second. */
  checkStalls (nowMs: number): string[] {
    const stalled = new Set<string>()
    for (const attempt of this.#attempts.values()) {
      const allowedMs = Math.max(STALL_MS, STALL_FACTOR * attempt.expectedFirstTokenMs)
      if (nowMs - attempt.lastProgressMs > allowedMs) stalled.add(attempt.runner)
    }
    for (const name of stalled) this.#runners.get(name)?.health.eject(nowMs)
    return [...stalled]
  }

  #forget (name: string): void {
    this.#runners.delete(name)
    this.#prefixes.reset(name)
  }

  #end (requestId: string, nowMs: number): Attempt | undefined {
    const attempt = this.#attempts.get(requestId)
    if (attempt === undefined) return undefined
    this.#attempts.delete(requestId)
    this.#runners.get(attempt.runner)?.load.remove(attempt, nowMs)
    return attempt
  }

  #roomFor (request: RouteRequest, nowMs: number, except?: string): Room {
    const holders: Candidate[] = []
    const keys = prefixKeysOf(request)
    for (const [name, state] of this.#runners) {
      if (name === except || state.info.draining || !state.holds(request.target)) continue
      holders.push(this.#candidate(state, request, keys, nowMs))
    }
    const healthy = holders.filter(isEligible)
    const candidates = healthy.length > 0 ? healthy : holders.map((candidate) => ({ ...candidate, healthy: true }))
    return { candidates, slots: candidates.reduce((sum, { limit, copyLimit }) => sum + Math.min(limit, copyLimit), 0) }
  }

  #candidate (state: RunnerState, request: RouteRequest, keys: readonly string[], nowMs: number): Candidate {
    const load = state.load.total(nowMs)
    const key = targetKey(request.target)
    const share = request.priority === Priority.Batch ? this.options.batchShare : 1
    return {
      runner: state.info.name,
      availabilityZone: state.info.availabilityZone,
      resident: true,
      healthy: state.health.accepts(nowMs),
      draining: state.info.draining,
      load,
      limit: Math.floor(state.limit.value * share),
      copyLoad: state.load.totalOf(key, nowMs),
      copyLimit: Math.floor(state.copyLimit(key).value * share),
      pendingTokens: state.load.pendingTokens(nowMs),
      prefillMsPerToken: state.latency.prefillMsPerToken,
      stepMs: state.latency.stepMs(load + 1),
      roundTripMs: this.#roundTripMs(state),
      cachedTokens: this.#cachedTokens(state, request, keys)
    }
  }

  #roundTripMs (state: RunnerState): number {
    const same = state.info.availabilityZone === this.options.availabilityZone
    return same ? this.options.sameZoneRoundTripMs : this.options.otherZoneRoundTripMs
  }

  #cachedTokens (state: RunnerState, request: RouteRequest, keys: readonly string[]): number {
    return request.promptTokens * this.#prefixes.expectedShare(state.info.name, keys)
  }

  #refuseEarly (request: RouteRequest, room: Room, nowMs: number): RefuseDecision | undefined {
    if (nowMs >= request.deadlineMs) return refuse(createFailure(ResultCode.DeadlinePassed, 'deadline passed before the request was sent'))
    if (room.candidates.length > 0) return undefined
    const message = `no runner serves ${targetKey(request.target)} now`
    return refuse(createFailure(ResultCode.NoRunner, message, { retryAfterMs: NO_RUNNER_RETRY_MS }))
  }

  /** A new request does not overtake those of its own priority, or above, that wait for the same runners. */
  #mayPass (request: RouteRequest): boolean {
    return this.#queue.waitingOf(request.route) === 0
  }

  #choose (request: RouteRequest, room: Room, nowMs: number): Choice | undefined {
    const choice = this.options.chooser.choose(room.candidates, request, this.random)
    if (choice === undefined) return undefined
    return nowMs + choice.expectedFirstTokenMs <= request.deadlineMs ? choice : undefined
  }

  #sendTo (choice: Choice): SendDecision {
    return { kind: 'send', runner: choice.candidate.runner, expectedFirstTokenMs: choice.expectedFirstTokenMs }
  }

  #enqueue (request: RouteRequest, room: Room, nowMs: number): Decision {
    const ahead = this.#queue.waitingOf(request.route)
    if (ahead >= this.options.maxWaitingPerRoute) {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, this.#statsOf(request).expectedWaitMs(ahead, room.slots))
      return refuse(createFailure(ResultCode.RateLimited, `route ${request.route} has its share of waiting requests`, { retryAfterMs }))
    }
    const expectedWaitMs = this.#statsOf(request).expectedWaitMs(this.#queue.aheadOf(request), room.slots)
    const least = leastFirstTokenMs(room, request)
    if (nowMs + expectedWaitMs + least > request.deadlineMs) return overloaded(expectedWaitMs)
    this.#queue.push(request)
    return { kind: 'wait', expectedWaitMs }
  }

  #decideWaiting (request: RouteRequest, nowMs: number): SendDecision | RefuseDecision | undefined {
    const room = this.#roomFor(request, nowMs)
    const early = this.#refuseEarly(request, room, nowMs)
    if (early !== undefined) return early
    const choice = this.#choose(request, room, nowMs)
    if (choice !== undefined) return this.#sendTo(choice)
    const late = nowMs + leastFirstTokenMs(room, request) > request.deadlineMs
    return late ? overloaded(this.#statsOf(request).expectedWaitMs(this.#queue.aheadOf(request), room.slots)) : undefined
  }

  #statsOf (request: RouteRequest): TargetStats {
    const key = targetKey(request.target)
    const existing = this.#stats.get(key)
    if (existing !== undefined) return existing
    const stats = TargetStats.create(request.target)
    this.#stats.set(key, stats)
    return stats
  }
}

function prefixKeysOf (request: RouteRequest): string[] {
  return request.prefixHashes.length === 0 ? [] : prefixKeys(targetKey(request.target), request.prefixHashes)
}

function refuse (failure: Failure): RefuseDecision {
  return { kind: 'refuse', failure }
}

function overloaded (expectedWaitMs: number): RefuseDecision {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs)
  return refuse(createFailure(ResultCode.Overloaded, 'the deadline cannot be met at the present load', { retryAfterMs }))
}

/** Least time to a first token if a place were free at once. */
function leastFirstTokenMs (room: Room, request: RouteRequest): number {
  let least = Infinity
  for (const candidate of room.candidates) {
    const ownTokens = Math.max(0, request.promptTokens - candidate.cachedTokens)
    least = Math.min(least, candidate.roundTripMs + candidate.stepMs + ownTokens * candidate.prefillMsPerToken)
  }
  return least
}
