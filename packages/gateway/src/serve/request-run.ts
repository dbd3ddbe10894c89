/** One request from its arrival to its final answer: choosing, sending, sending again, and giving up. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFailure, Ran, ResultCode, type Failure, type ResultCodeInfo, type Timer } from '@figloom/runtime'
import { LoadWait } from './load-wait.js'
import { findCandidates, type CandidateSet, type ClosedRunner } from '../choose/candidates.js'
import { chooseRunner, type Candidate } from '../choose/choose-runner.js'
import { ClosedBy } from '../closures/types.js'
import { RouteKind } from '../config/types.js'
import { Attempt } from '../forward/attempt.js'
import { afterNextPoll, hasLeft } from '../front/caller-check.js'
import { limitFields } from '../limits/limit-fields.js'
import type { Permit } from '../limits/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import { AnswerRelay } from './answer-relay.js'
import { ResultObserver, type AttemptResult } from './attempt-result.js'
import { decideNext, NextStep, Outcome, wasNotSent, type Progress } from './outcome.js'
import { writeFailure } from './own-answer.js'
import { affinityKey, promisesNotRun, urgencyOf } from './request-hints.js'
import { ANSWERED, reportEnd } from './request-end.js'
import { RequestLog } from './request-log.js'
import { StallWatch } from './stall-watch.js'
import { learnFromAttempt, learnFromHead } from './learn-from-attempt.js'
import { createNeed, moveOutlook } from './request-need.js'
import { refusalOf } from './refusal.js'
import { retryWhenLoaded, retryWhenRoom } from './retry-advice.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** Part of the time left within which an adapter has to arrive. */
const ADAPTER_WAIT_SHARE = 0.3
const MAX_ADAPTER_TRIES = 4
/** Runners that are named in the log where all are closed. */
const MAX_CLOSED_LINES = 3
/** A sending with less time than this can't be answered. */
const MIN_ATTEMPT_MS = 5

export class RequestRun {
  readonly #relay: AnswerRelay
  readonly #log: RequestLog
  readonly #excluded = new Set<string>()
  readonly #progress: Progress = { runs: 0, notRuns: 0, unsent: 0, answerBegun: false }
  readonly #finished: Promise<void>
  #resolveFinished: () => void = () => {}
  #attempt: Attempt | undefined
  #runner: RunnerState | undefined
  #timer: Timer | undefined
  #lookTimer: Timer | undefined
  #loadWait: LoadWait | undefined
  #stallWatch: StallWatch | undefined
  #weightsVersion: number | undefined
  #mayHaveRun = false
  #over = false
  #sendings = 0
  #sentMs = 0
  /** When a connection was there for the last sending; undefined while there is none. */
  #writtenMs: number | undefined
  /** The same on the clock that counts suspensions. */
  #askedMs = 0
  #adapterTries = 0
  #firstByteMs: number | undefined
  #lastReason = ''

  private constructor (
    private readonly context: ServeContext,
    private readonly request: AcceptedRequest,
    private readonly response: ServerResponse
  ) {
    this.#relay = AnswerRelay.create(response, context.codec, context.host.isLeaving)
    this.#log = RequestLog.create(context.log, context.clock, request.id)
    this.#finished = new Promise((resolve) => { this.#resolveFinished = resolve })
  }

  /** Serves the request; resolves when its final answer is written or its caller is gone. */
  static serve (context: ServeContext, request: AcceptedRequest, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const run = new RequestRun(context, request, response)
    run.#contain(() => run.#start(incoming))
    return run.#finished
  }

  #start (incoming: IncomingMessage): void {
    const { clock, budget } = this.context
    this.response.on('close', () => this.#contain(() => this.#onCallerGone()))
    this.response.on('drain', () => this.#contain(() => this.#attempt?.resume()))
    if (incoming.socket.destroyed) return this.#onCallerGone()
    this.#timer = clock.setTimer(this.request.dueMs - clock.monotonicMs(), () => this.#contain(() => this.#onDue()))
    if (this.request.route.kind === RouteKind.Stream && this.request.route.resumable) this.#stallWatch = this.#createStallWatch()
    budget.onRequest(this.request.service.name, clock.monotonicMs())
    const { socket } = incoming
    if (!this.context.callerCheck.isDue(socket)) return this.#begin()
    afterNextPoll(() => this.#contain(() => hasLeft(socket) ? this.#onCallerGone() : this.#begin()))
  }

  #begin (): void {
    if (this.#over) return
    const { route, service, facts, dueMs, arrivedMs } = this.request
    this.#log.note('request accepted', {
      route: route.name,
      kind: route.kind,
      service: service.name,
      model: facts.model,
      adapter: facts.adapter,
      configVersion: this.context.config.version,
      timeLeftMs: Math.round(dueMs - arrivedMs)
    })
    this.#send()
  }

  /** Sends the request to the best runner now, or gives it up at once. */
  #send (): void {
    if (this.#over) return
    const nowMs = this.context.clock.monotonicMs()
    if (this.request.dueMs - nowMs < MIN_ATTEMPT_MS) return this.#onDue()
    const set = findCandidates(this.context.runners, createNeed(this.context, this.request, this.#excluded), nowMs)
    const chosen = this.#choose(set.open, affinityKey(this.request.facts))
    if (chosen?.needsPermit === true) return this.#sendWithPermit(chosen)
    if (chosen !== undefined) return this.#sendTo(chosen)
    if (set.withoutAdapter.length > 0) {
      this.#bringAdapter(set.withoutAdapter).catch((error: Error) => this.#onUnexpected(error))
      return
    }
    this.#refuse(set)
  }

  #choose (candidates: readonly Candidate[], affinity: string): Candidate | undefined {
    const { host, random } = this.context
    return chooseRunner({
      candidates,
      affinityKey: affinity,
      availabilityZone: host.availabilityZone,
      hostOfOldLoads: host.hostOfOldLoads(),
      random
    })
  }

  async #bringAdapter (candidates: Candidate[]): Promise<void> {
    const { model, adapter } = this.request.facts
    if (model === undefined || adapter === undefined) return
    const chosen = this.#choose(candidates, `${model}/${adapter}`)
    if (chosen === undefined) return
    this.#log.note('adapter asked for', { runner: chosen.id, holders: candidates.length })
    const resident = await this.context.adapters.ensure(chosen.id, model, adapter, this.#timeLeftMs() * ADAPTER_WAIT_SHARE)
    if (this.#over) return
    this.#adapterTries += 1
    if (!resident) this.#excluded.add(chosen.id)
    if (!resident && this.#adapterTries >= MAX_ADAPTER_TRIES) return this.#giveUp(this.#failure(ResultCode.NoRunner, 'the adapter could not be made resident', retryWhenRoom(this.context, this.#timeLeftMs())))
    this.#send()
  }

  /** The runner names a limit, which all hosts share. Without a permit the request looks for another runner at once. */
  #sendWithPermit (candidate: Candidate): void {
    const { limits, metrics, runners } = this.context
    const runner = runners.get(candidate.id)
    if (runner === undefined) return this.#send()
    limits.takePermit(runner.entry).then((permit) => {
      if (this.#over) return
      if (permit !== undefined) return this.#sendTo(candidate, permit)
      metrics.passedOver.inc()
      this.#log.note('runner passed over for its limit', { runner: candidate.id, ...limitFields(this.context.limits, runner.entry) })
      this.#send()
    }).catch((error: Error) => this.#onUnexpected(error))
  }

  #sendTo (candidate: Candidate, permit?: Permit): void {
    const runner = this.context.runners.get(candidate.id)
    if (runner === undefined) return this.#refuse({ open: [], fullCount: 0, closed: [], withoutAdapter: [] })
    const { request, context } = this
    const nowMs = context.clock.monotonicMs()
    const { id, address } = runner.entry
    const headers = context.codec.encodeRequest(request.headers, {
      deadlineMs: Math.max(1, Math.floor(request.dueMs - nowMs)),
      runnerId: id,
      urgency: request.service.engine === undefined ? undefined : urgencyOf(request.route),
      lastEventId: this.#relay.lastEventId ?? request.facts.lastEventId,
      weightsVersion: this.#relay.begun ? this.#weightsVersion : undefined
    })
    const dispatcher = context.connections.to(id, address)
    if (dispatcher.isErr()) return this.#onUnusable(runner, dispatcher.error)
    const observer = ResultObserver.create(request.id, context.codec, this.#relay, {
      onSending: () => this.#contain(() => this.#onSending(runner, permit)) ?? false,
      onHead: (facts) => this.#contain(() => learnFromHead(context, { requestId: request.id, runner, facts, askedMs: this.#askedMs })),
      onFirstByte: () => this.#contain(() => this.#onFirstByte()),
      onEvents: () => this.#contain(() => this.#stallWatch?.onProgress()),
      onOverlong: (reason) => context.connections.onOverlong(id, reason),
      onResult: (result) => this.#contain(() => this.#onResult(runner, result))
    })
    this.#writtenMs = undefined
    this.#log.note('sent to a runner', {
      runner: id,
      sending: this.#sendings + 1,
      inFlight: candidate.inFlight,
      slots: candidate.slots,
      listAgeMs: Math.round(context.host.runnersAgeMs()),
      ...limitFields(this.context.limits, runner.entry),
      resumedAfter: this.#relay.lastEventId
    })
    this.#sendings += 1
    this.#sentMs = nowMs
    this.#runner = runner
    runner.inFlight += 1
    runner.health.onSent(request.id)
    context.closures.onChosen(runner.entry, request.id)
    const { method, target, body } = request
    this.#attempt = Attempt.start(dispatcher.value, { method, target, headers, body }, observer, context.clock)
  }

  /** The platform lists an address that nothing can be sent to. */
  #onUnusable ({ entry }: RunnerState, failure: Failure): void {
    this.#log.note('runner has an unusable address', { runner: entry.id, address: entry.address, reason: failure.message })
    this.context.runners.markUnreachable(entry.id, this.context.clock.monotonicMs())
    this.#excluded.add(entry.id)
    this.#send()
  }

  /** A runner may have begun to drain, or been closed by what it said, while the request waited for a connection. */
  #onSending (runner: RunnerState, permit: Permit | undefined): boolean {
    const { clock, closures, instants, limits, metrics, runners } = this.context
    this.#writtenMs = clock.monotonicMs()
    this.#askedMs = instants.nowMs()
    if (!runners.mayUse(runner)) return false
    if (!closures.mayWrite(runner.entry, this.request.id)) return false
    if (!limits.onSending(runner.entry, permit)) return false
    if (permit !== undefined) metrics.limitedSendings.inc()
    return true
  }

  #onFirstByte (): void {
    if (this.#firstByteMs !== undefined) return
    this.#firstByteMs = this.context.clock.monotonicMs()
    this.context.metrics.firstByteSeconds.observe({ route: this.request.route.name }, (this.#firstByteMs - this.request.arrivedMs) / 1000)
  }

  #onResult (runner: RunnerState, result: AttemptResult): void {
    this.#release()
    if (this.#over) return
    learnFromAttempt(this.context, { request: this.request, runner, result, sentMs: this.#sentMs })
    if (result.facts?.misdirected !== true) this.#weightsVersion ??= result.facts?.weightsVersion
    this.#count(result)
    this.#excluded.add(runner.entry.id)
    this.#lastReason = result.reason
    const step = decideNext(this.request.route, result.outcome, this.#progress)
    this.#log.note('attempt ended', {
      runner: runner.entry.id,
      outcome: result.outcome,
      reason: result.reason,
      status: result.facts?.status,
      tookMs: Math.round(this.context.clock.monotonicMs() - this.#sentMs),
      writtenAfterMs: this.#writtenMs === undefined ? undefined : Math.round(this.#writtenMs - this.#sentMs),
      draining: runner.entry.draining,
      next: step
    })
    if (step === NextStep.Finish) return this.#finish(result)
    if (step === NextStep.SendAgain && this.#takeRepeat(result)) return this.#send()
    this.#finishFailed(result)
  }

  #createStallWatch (): StallWatch {
    return StallWatch.create({
      clock: this.context.clock,
      maxPauseMs: this.request.route.maxPauseMs,
      callerIsSlow: () => this.response.writableNeedDrain,
      onStall: (silentMs) => this.#contain(() => this.#onStall(silentMs))
    })
  }

  /** A stalled stream goes on at another runner where one is free; where none is, its runner may still recover. */
  #onStall (silentMs: number): void {
    const runner = this.#runner
    if (runner === undefined || this.#over) return
    const outlook = moveOutlook(this.context, this.request, new Set([...this.#excluded, runner.entry.id]), this.#progress)
    this.#log.note('stream stalled', { runner: runner.entry.id, silentMs: Math.round(silentMs), lastEventId: this.#relay.lastEventId, ...outlook })
    if (!outlook.mayMove) return
    this.#attempt?.cancel()
    this.#onResult(runner, { outcome: Outcome.Unknown, reason: 'the stream stalled' })
  }

  #release (): void {
    if (this.#runner === undefined) return
    this.context.closures.onEnded(this.#runner.entry, this.request.id)
    this.#runner.inFlight -= 1
    this.#runner = undefined
  }

  #count (result: AttemptResult): void {
    if (wasNotSent(result.outcome)) this.#progress.unsent += 1
    else if (result.outcome === Outcome.NotRun) this.#progress.notRuns += 1
    else {
      this.#progress.runs += 1
      this.#mayHaveRun = true
    }
    this.#progress.answerBegun = this.#relay.begun
  }

  #takeRepeat (result: AttemptResult): boolean {
    const { budget, clock, host, metrics } = this.context
    if (host.isLeaving() && this.#relay.begun) return false
    // The budget is for what runners have to bear.
    if (wasNotSent(result.outcome)) return true
    const granted = budget.take(this.request.service.name, host.hostCount(), clock.monotonicMs())
    if (granted) metrics.repeats.inc({ reason: result.outcome })
    else this.#log.note('repeat refused by the budget', { service: this.request.service.name, hosts: host.hostCount() })
    return granted
  }

  #finish (result: AttemptResult): void {
    if (result.whole !== undefined) {
      this.#onFirstByte()
      this.#relay.sendWhole(result.whole.head, result.whole.body)
    }
    this.#end(ANSWERED, result.reason)
  }

  #finishFailed (result: AttemptResult): void {
    if (this.#relay.begun) return this.#breakOff(result.reason)
    if (result.outcome === Outcome.RunnerFailed && result.whole !== undefined && !promisesNotRun(result.whole.head.status)) {
      this.#relay.sendWhole(result.whole.head, result.whole.body)
      return this.#end('runner_failed', result.reason)
    }
    if (this.#mayHaveRun) return this.#giveUp(this.#failure(ResultCode.BackendFailed, result.reason))
    this.#giveUp(this.#failure(ResultCode.Overloaded, result.reason, retryWhenRoom(this.context, this.#timeLeftMs())))
  }

  /** Looks again in a moment if the model is being loaded and will be there in time. */
  #waitForLoad (): boolean {
    const { clock, loads, host } = this.context
    const { service, facts, route, arrivedMs } = this.request
    if (service.engine === undefined || facts.model === undefined || host.isLeaving()) return false
    const isFirstLook = this.#loadWait === undefined
    this.#loadWait ??= LoadWait.create(loads, { service: service.name, model: facts.model, arrivedMs, targetLatencyMs: route.targetLatencyMs })
    const lookMs = this.#loadWait.nextLookMs(clock.monotonicMs())
    if (lookMs === undefined) return false
    if (isFirstLook) this.#log.note('waits for a load', { model: facts.model, readyInMs: loads.readyInMs(service.name, facts.model) })
    this.#lookTimer = clock.setTimer(lookMs, () => this.#contain(() => this.#send()))
    return true
  }

  #refuse (set: CandidateSet): void {
    const mayWait = !this.#relay.begun && !this.#mayHaveRun && set.fullCount === 0
    if (mayWait && this.#waitForLoad()) return
    this.#log.note('no runner can take the request', { full: set.fullCount, closed: set.closed.length, withoutAdapter: set.withoutAdapter.length, excluded: this.#excluded.size, listed: this.context.runners.usable(this.request.service.name).length })
    for (const closed of set.closed.slice(0, MAX_CLOSED_LINES)) this.#noteClosed(closed)
    this.#noteLeaving()
    if (this.#relay.begun) return this.#breakOff('no runner to resume the stream')
    if (this.#mayHaveRun) return this.#giveUp(this.#failure(ResultCode.BackendFailed, `${this.#lastReason}; no other runner is free`))
    const { code, message, retryAfterMs } = refusalOf(this.context, this.request, set, this.#timeLeftMs())
    this.#giveUp(this.#failure(code, message, retryAfterMs))
  }

  /** Names runners that hold what is needed and leave. */
  #noteLeaving (): void {
    const { clock, runners } = this.context
    const { service, facts: { model } } = this.request
    const holders = runners.leaving(service.name).filter((state) => model === undefined || runners.holds(state, model, undefined, clock.monotonicMs()))
    for (const { entry } of holders.slice(0, MAX_CLOSED_LINES)) this.#log.note('runner is closed', { runner: entry.id, by: ClosedBy.Leaving })
  }

  #noteClosed ({ id, by, opensInMs }: ClosedRunner): void {
    const runner = this.context.runners.get(id)
    if (runner !== undefined) this.#log.note('runner is closed', { runner: id, by, opensInMs: Math.round(opensInMs), ...limitFields(this.context.limits, runner.entry) })
  }

  /** The route's timeout or the caller's deadline is reached. */
  #onDue (): void {
    if (this.#over) return
    const sent = this.#attempt?.sent === true && this.#runner !== undefined
    this.#cancelAttempt()
    if (this.#relay.begun) return this.#breakOff('timeout within the stream')
    const ran = sent || this.#mayHaveRun
    if (ran) return this.#giveUp(this.#failure(ResultCode.BackendTimeout, 'no answer within the time of the request'))
    this.#giveUp(this.#failure(ResultCode.NoRunner, 'no runner could be reached in time', retryWhenLoaded(this.context, this.request, this.#timeLeftMs())))
  }

  #onCallerGone (): void {
    if (this.#over) return
    this.#cancelAttempt()
    this.#end('caller_gone', 'the caller closed its connection')
  }

  #cancelAttempt (): void {
    const attempt = this.#attempt
    this.#attempt = undefined
    this.#runner?.health.onNeutral(this.request.id)
    this.#release()
    attempt?.cancel()
  }

  /** Runs what timers and connections call for: an unexpected error ends this request and nothing else. */
  #contain<Value> (step: () => Value): Value | undefined {
    try {
      return step()
    } catch (error) {
      this.#onUnexpected(error as Error)
      return undefined
    }
  }

  #onUnexpected (error: Error): void {
    this.context.log.error('request met an unexpected error', { requestId: this.request.id, reason: error.message, stack: error.stack })
    if (this.#over) return
    this.#cancelAttempt()
    if (this.#relay.begun) this.#breakOff(error.message)
    else this.#giveUp(this.#failure(ResultCode.Internal, error.message))
  }

  #failure (code: ResultCodeInfo, message: string, retryAfterMs?: number): Failure {
    return createFailure(code, message, { ran: this.#mayHaveRun ? Ran.Unknown : code.ran, retryAfterMs })
  }

  #timeLeftMs (): number {
    return this.request.dueMs - this.context.clock.monotonicMs()
  }

  #giveUp (failure: Failure): void {
    if (this.#over) return
    writeFailure(this.response, failure, this.context.host.isLeaving())
    this.#end(failure.code.type, failure.message)
  }

  #breakOff (reason: string): void {
    this.#relay.breakOff()
    this.#end('broken_off', reason)
  }

  #end (result: string, reason: string): void {
    if (this.#over) return
    this.#over = true
    this.#timer?.cancel()
    this.#lookTimer?.cancel()
    this.#stallWatch?.stop()
    reportEnd(this.context, this.request, this.#log, { result, reason, sendings: this.#sendings, runs: this.#progress.runs, firstByteMs: this.#firstByteMs })
    this.#resolveFinished()
  }
}
