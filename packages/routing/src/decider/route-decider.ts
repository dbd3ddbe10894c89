/** Routing decisions of one host for the runners of one cell. Does no I/O; callers pass in the time and act on the decisions. */
import type { Failure } from '@figloom/runtime'
import type { Choice } from '../choose/choose-runner.js'
import { minFirstTokenMs, refuseOverloaded, refuseOverShare, refuseEarly } from '../admission/refusals.js'
import { FairQueue } from '../admission/fair-queue.js'
import type { PrefixEvent } from '../prefix-index/prefix-index.js'
import { RetryBudget } from '../retry/retry-budget.js'
import { decideRetry, RetryAction } from '../retry/retry-rules.js'
import type { Attempt } from '../load/runner-load.js'
import {
  targetKey, type Decision, type LoadReport, type PeerLoad, type RandomSource, type RefuseDecision,
  type Released, type RouteRequest, type RunnerInfo, type SendDecision, type Target
} from '../types.js'
import { DEFAULT_DECIDER_OPTIONS, type DeciderOptions } from './options.js'
import type { RunnerStatus } from './runner-state.js'
import { RunnerTable, type AvailableRunners } from './runner-table.js'
import { TargetStats, type TargetDemand } from './target-stats.js'

/** What to do with an attempt that failed. */
export type FailureDecision =
  { kind: 'repeat' | 'resume', send: SendDecision } |
  { kind: 'give-up', failure: Failure }

/** A runner is stalled if an attempt makes no progress for this long and for this many times the expected first-token time. */
const STALL_MS = 3_000
const STALL_FACTOR = 10

export class RouteDecider {
  readonly #runners: RunnerTable
  readonly #attempts = new Map<string, Attempt>()
  readonly #stats = new Map<string, TargetStats>()
  readonly #queue = FairQueue.create()
  readonly #budget: RetryBudget

  private constructor (
    private readonly options: DeciderOptions,
    private readonly random: RandomSource,
    nowMs: number
  ) {
    this.#runners = RunnerTable.create(options)
    this.#budget = RetryBudget.create(nowMs)
  }

  static create (input: { options?: Partial<DeciderOptions>, random: RandomSource, nowMs: number }): RouteDecider {
    return new RouteDecider({ ...DEFAULT_DECIDER_OPTIONS, ...input.options }, input.random, input.nowMs)
  }

  /** Number of queued requests. */
  get waiting (): number {
    return this.#queue.size
  }

  /** Replaces the list of the cell's runners and their copies. Load, health and latency data of remaining runners is kept. */
  setRunners (infos: readonly RunnerInfo[]): void {
    this.#runners.setRunners(infos)
  }

  /** Whether any runner that is not draining holds the target. */
  serves (target: Target): boolean {
    return this.#runners.serves(target)
  }

  /** Decides on a new request. If it has to wait, it is queued until `release` returns it or `cancel` removes it. */
  decide (request: RouteRequest, nowMs: number): Decision {
    this.#statsOf(request).onRequest()
    const available = this.#runners.availableFor(request, nowMs)
    const early = refuseEarly(request, available, nowMs)
    if (early !== undefined) return early
    const choice = this.#mayBypassQueue(request) ? this.#choose(request, available, nowMs) : undefined
    if (choice !== undefined) return this.#sendTo(choice)
    return this.#enqueue(request, available, nowMs)
  }

  /** Removes the queued requests that can be sent or have to be refused now. Call after an answer ended, and regularly. */
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

  /** Removes a queued request whose caller canceled it; false if it is not queued. */
  cancel (requestId: string): boolean {
    return this.#queue.remove(requestId)
  }

  /** Records that an attempt was sent. `release` has already recorded those that it returned. */
  onSent (request: RouteRequest, decision: SendDecision, nowMs: number): void {
    const state = this.#runners.get(decision.runner)
    if (state === undefined) return
    const ownTokens = this.#runners.ownTokens(state, request)
    const attempt = {
      request,
      runner: decision.runner,
      sentMs: nowMs,
      tokensAhead: state.load.pendingTokens(nowMs) + ownTokens,
      ownTokens,
      loadWhenSent: state.load.total(nowMs) + 1,
      copyLoadWhenSent: state.load.totalForModel(targetKey(request.target), nowMs) + 1,
      expectedFirstTokenMs: decision.expectedFirstTokenMs,
      lastProgressMs: nowMs,
      tokens: 0
    }
    this.#attempts.set(request.id, attempt)
    state.load.add(attempt, nowMs)
    state.health.onSent(request.id)
    this.#budget.onFirstAttempt()
    this.#queue.charge(request, request.promptTokens + 1)
    this.#runners.onSent(decision.runner, request)
  }

  onFirstToken (requestId: string, nowMs: number): void {
    const attempt = this.#attempts.get(requestId)
    const state = attempt && this.#runners.get(attempt.runner)
    if (attempt === undefined || state === undefined || attempt.firstTokenMs !== undefined) return
    state.load.onFirstToken(attempt, nowMs)
    const waitedMs = nowMs - attempt.sentMs - this.#runners.roundTripMs(state) - state.latency.stepMs(attempt.loadWhenSent)
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
    const attempt = this.#endAttempt(requestId, nowMs)
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

  /** An attempt was canceled by its caller, or because another attempt of the same request was faster. */
  onCanceled (requestId: string, nowMs: number): void {
    const attempt = this.#endAttempt(requestId, nowMs)
    if (attempt !== undefined) this.#runners.get(attempt.runner)?.health.onNeutral(requestId)
  }

  /** Decides whether to retry, resume or give up after a failed attempt. A resumed stream has already met its deadline. */
  onFailed (requestId: string, failure: Failure, attempts: number, nowMs: number): FailureDecision {
    const attempt = this.#endAttempt(requestId, nowMs)
    if (attempt === undefined) return { kind: 'give-up', failure }
    this.#runners.get(attempt.runner)?.health.onFailure(requestId, nowMs)
    const action = decideRetry(attempt.request, failure, { attempts, tokens: attempt.tokens })
    if (action === RetryAction.GiveUp || !this.#budget.take(nowMs)) return { kind: 'give-up', failure }
    const request = action === RetryAction.Resume ? { ...attempt.request, deadlineMs: Infinity } : attempt.request
    // Prefer another runner, but fall back to the one that failed: a single broken connection does not mean that it is down.
    const choice = this.#choose(request, this.#runners.availableFor(request, nowMs, attempt.runner), nowMs) ??
      this.#choose(request, this.#runners.availableFor(request, nowMs), nowMs)
    if (choice === undefined) return { kind: 'give-up', failure }
    return { kind: action, send: this.#sendTo(choice) }
  }

  onReport (runner: string, report: LoadReport, nowMs: number): void {
    this.#runners.get(runner)?.load.onReport(report, nowMs)
  }

  onPeerLoad (load: PeerLoad, nowMs: number): void {
    this.#runners.get(load.runner)?.load.onPeerLoad(load, nowMs)
  }

  onCacheEvents (runner: string, events: readonly PrefixEvent[]): void {
    this.#runners.onCacheEvents(runner, events)
  }

  /** The engine's process was replaced, so its prefix cache is empty. */
  onEngineReplaced (runner: string): void {
    this.#runners.onEngineReplaced(runner)
  }

  /** This host's load on each runner, to be reported to other hosts. */
  ownLoads (host: string): PeerLoad[] {
    return this.#runners.ownLoads(host)
  }

  /** State of every runner, for metrics and status pages. */
  runnerStatus (nowMs: number): RunnerStatus[] {
    return this.#runners.status(nowMs)
  }

  /** Requests since the last call by model version, including refused ones. */
  takeDemand (): TargetDemand[] {
    return [...this.#stats.values()].map((stats) => stats.take())
  }

  /** Ejects the runners that have stalled and returns their names. Call about once a second. */
  checkStalls (nowMs: number): string[] {
    const stalled = new Set<string>()
    for (const attempt of this.#attempts.values()) {
      const allowedMs = Math.max(STALL_MS, STALL_FACTOR * attempt.expectedFirstTokenMs)
      if (nowMs - attempt.lastProgressMs > allowedMs) stalled.add(attempt.runner)
    }
    for (const name of stalled) this.#runners.get(name)?.health.eject(nowMs)
    return [...stalled]
  }

  #endAttempt (requestId: string, nowMs: number): Attempt | undefined {
    const attempt = this.#attempts.get(requestId)
    if (attempt === undefined) return undefined
    this.#attempts.delete(requestId)
    this.#runners.get(attempt.runner)?.load.remove(attempt, nowMs)
    return attempt
  }

  /** A new request may skip the queue only if no other request of its route is queued. */
  #mayBypassQueue (request: RouteRequest): boolean {
    return this.#queue.waitingForRoute(request.route) === 0
  }

  #choose (request: RouteRequest, available: AvailableRunners, nowMs: number): Choice | undefined {
    const choice = this.options.chooser.choose(available.candidates, request, this.random)
    if (choice === undefined) return undefined
    return nowMs + choice.expectedFirstTokenMs <= request.deadlineMs ? choice : undefined
  }

  #sendTo (choice: Choice): SendDecision {
    return { kind: 'send', runner: choice.candidate.runner, expectedFirstTokenMs: choice.expectedFirstTokenMs }
  }

  #enqueue (request: RouteRequest, available: AvailableRunners, nowMs: number): Decision {
    const ahead = this.#queue.waitingForRoute(request.route)
    if (ahead >= this.options.maxWaitingPerRoute) {
      return refuseOverShare(request, this.#statsOf(request).expectedWaitMs(ahead, available.slots))
    }
    const expectedWaitMs = this.#statsOf(request).expectedWaitMs(this.#queue.countAhead(request), available.slots)
    const least = minFirstTokenMs(available, request)
    if (nowMs + expectedWaitMs + least > request.deadlineMs) return refuseOverloaded(expectedWaitMs)
    this.#queue.push(request)
    return { kind: 'wait', expectedWaitMs }
  }

  #decideWaiting (request: RouteRequest, nowMs: number): SendDecision | RefuseDecision | undefined {
    const available = this.#runners.availableFor(request, nowMs)
    const early = refuseEarly(request, available, nowMs)
    if (early !== undefined) return early
    const choice = this.#choose(request, available, nowMs)
    if (choice !== undefined) return this.#sendTo(choice)
    const late = nowMs + minFirstTokenMs(available, request) > request.deadlineMs
    return late ? refuseOverloaded(this.#statsOf(request).expectedWaitMs(this.#queue.countAhead(request), available.slots)) : undefined
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
