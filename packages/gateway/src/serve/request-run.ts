/** Runs one request until its final answer: chooses a runner, sends the request, and retries it or gives up. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFailure, Ran, ResultCode, type Failure, type ResultCodeInfo, type Timer } from '@figloom/runtime'
import { findCandidates, type CandidateSet } from '../choose/candidates.js'
import { chooseRunner, type Candidate } from '../choose/choose-runner.js'
import { isRequestKey } from '../crashes/request-key.js'
import { KeyGuard } from '../customers/key-guard.js'
import { RouteKind } from '../config/types.js'
import { FaultAt } from '../forward/attempt.js'
import type { AnswerFacts } from '../forward/types.js'
import { onceOver } from '../front/answer-over.js'
import { afterNextPoll, hasDisconnected } from '../front/caller-check.js'
import { limitFields } from '../limits/limit-fields.js'
import type { Permit } from '../limits/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import { AnswerWriter, type BufferedAnswer } from './answer-writer.js'
import { AttemptBudget } from './attempt-budget.js'
import { AttemptPair } from './attempt-pair.js'
import { INTACT, type PathAssessment } from './attempt-path.js'
import { logClosedRunners } from './closed-runners-log.js'
import { ResultObserver, type AttemptResult } from './attempt-result.js'
import { DispatchWait } from './dispatch-wait.js'
import { departureOf, NextStep, Outcome, wasNotSent } from './outcome.js'
import { writeFailure } from './gateway-answer.js'
import { affinityKey, impliesNotRun, urgencyOf } from './request-hints.js'
import { RequestGuard } from './request-guard.js'
import { ANSWERED, BROKEN_OFF, reportEnd } from './request-end.js'
import { RequestLog } from './request-log.js'
import { StallDetector } from './stall-detector.js'
import { StreamContinuity } from './stream-continuity.js'
import { recordAttempt, recordAnswerHead, recordBegun } from './record-attempt.js'
import { createNeed, assessMove } from './request-need.js'
import { createRefusal } from './refusal.js'
import { RunnerAttempt } from './runner-attempt.js'
import { retryDelayWhenMissing, retryDelayWhenFull } from './retry-delay.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** Fraction of the remaining time that a request spends waiting for an adapter to be loaded. */
const ADAPTER_WAIT_FRACTION = 0.3
const MAX_ADAPTER_ATTEMPTS = 4
/** No attempt is started with less time left than this: its answer would come too late. */
const MIN_ATTEMPT_MS = 5

export class RequestRun {
  readonly #writer: AnswerWriter
  readonly #log: RequestLog
  readonly #requestGuard: RequestGuard
  readonly #keyGuard: KeyGuard
  readonly #continuity: StreamContinuity
  readonly #excluded = new Set<string>()
  /** Runners to which the path broke while the request was at them: they are tried again where no other runner is left. */
  readonly #lastResorts = new Set<string>()
  readonly #attempts = AttemptPair.create()
  readonly #budget: AttemptBudget
  readonly #wait: DispatchWait
  readonly #finished: Promise<void>
  #resolveFinished: () => void = () => {}
  #deadlineTimer: Timer | undefined
  #stallDetector: StallDetector | undefined
  #weightsVersion: number | undefined
  #ended = false
  #attemptCount = 0
  #adapterAttempts = 0
  #firstByteMs: number | undefined
  /** The answer that was written in one piece. */
  #written: BufferedAnswer | undefined
  #lastFailureReason = ''

  private constructor (
    private readonly context: ServeContext,
    private readonly request: AcceptedRequest,
    private readonly response: ServerResponse
  ) {
    this.#writer = AnswerWriter.create(response, context.codec, context.host.isLeaving, context.memory.answers)
    this.#log = RequestLog.create(context.log, context.clock, request.id)
    this.#requestGuard = RequestGuard.create(context.crashes, request, (featureId) => this.#guard(() => this.#onBlocked(featureId)))
    this.#keyGuard = KeyGuard.create({ config: context.config, isConfigFresh: context.host.isConfigFresh, route: request.route, keyDigest: request.facts.keyDigest })
    this.#continuity = StreamContinuity.create(context, request)
    this.#budget = AttemptBudget.create({ context, request, log: this.#log, answerStarted: () => this.#writer.started })
    this.#wait = DispatchWait.create({ context, request, continuity: this.#continuity, log: this.#log, retry: () => this.#guard(() => this.#dispatch()) })
    this.#finished = new Promise((resolve) => { this.#resolveFinished = resolve })
  }

  /** Serves the request; resolves when its final answer is written or its caller has disconnected. */
  static serve (context: ServeContext, request: AcceptedRequest, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const run = new RequestRun(context, request, response)
    run.#guard(() => run.#start(incoming))
    const stopWaiting = context.openRequests.add(() => run.#guard(() => run.#onProcessEnds()))
    return run.#finished.finally(stopWaiting)
  }

  #start (incoming: IncomingMessage): void {
    const { clock, budget } = this.context
    if (incoming.socket.destroyed) return this.#onCallerDisconnected()
    onceOver(this.response, () => this.#guard(() => this.#onCallerDisconnected()))
    this.response.on('drain', () => this.#guard(() => this.#attempts.current?.resume()))
    this.#deadlineTimer = clock.setTimer(this.request.dueMs - clock.monotonicMs(), () => this.#guard(() => this.#onDeadline()))
    if (this.request.route.kind === RouteKind.Stream && this.request.route.resumable) this.#stallDetector = this.#createStallDetector()
    budget.onRequest(this.request.service.name, clock.monotonicMs())
    const { socket } = incoming
    if (!this.context.callerCheck.isNeeded(socket)) return this.#accept()
    afterNextPoll(() => this.#guard(() => hasDisconnected(socket) ? this.#onCallerDisconnected() : this.#accept()))
  }

  #accept (): void {
    if (this.#ended) return
    const { route, service, customer, facts, dueMs, arrivedMs } = this.request
    this.#log.note('request accepted', {
      route: route.name,
      customer: customer?.name,
      kind: route.kind,
      service: service.name,
      model: facts.model,
      adapter: facts.adapter,
      configVersion: this.context.config.version,
      timeLeftMs: Math.round(dueMs - arrivedMs)
    })
    if (!this.#continuity.isTakeUp) return this.#dispatch()
    this.#takeUp().catch((error: Error) => this.#onUnexpected(error))
  }

  /** The caller continues a stream: it goes on only at the version of the software that began it. */
  async #takeUp (): Promise<void> {
    this.#log.mark()
    const isKnown = await this.#continuity.find()
    if (this.#ended) return
    const { facts, service } = this.request
    const { softwareVersion } = this.#continuity
    const isLeft = this.context.runners.usable(service.name).some(({ entry }) => this.#continuity.accepts(entry))
    this.#log.note('caller continues a stream', { lastEventId: facts.lastEventId, ...this.#continuity.logFields(facts.lastEventId), runnersOfVersion: isLeft })
    this.context.metrics.takeUps.inc({ outcome: !isKnown ? 'unknown version' : isLeft ? 'goes on' : 'no runner of the version' })
    if (isKnown && isLeft) return this.#dispatch()
    const reason = isKnown ? `no runner of version ${softwareVersion}, which began the stream, is left` : 'it is not known at which version of the software the stream began'
    this.#giveUp(this.#failure(ResultCode.StreamNotContinuable, reason))
  }

  /** Sends the request to the best runner. Where there is none, waits for an adapter or a model to be loaded, or gives up. */
  #dispatch (): void {
    if (this.#ended) return
    const nowMs = this.context.clock.monotonicMs()
    if (this.request.dueMs - nowMs < MIN_ATTEMPT_MS) return this.#onDeadline()
    const block = this.#requestGuard.block()
    if (block !== undefined) return this.#refuseBlocked(block.featureId, block.reason)
    const keyRefusal = this.#keyGuard.refusal()
    if (keyRefusal !== undefined) return this.#refuseKey(keyRefusal)
    const set = this.#findCandidates(nowMs)
    const chosen = this.#chooseRunner(this.#continuity.preferred(set.open), affinityKey(this.request.facts))
    if (chosen !== undefined && this.#attemptCount === 0 && this.#wait.isBehindOthers() && this.#wait.forRoom()) return
    if (chosen !== undefined || set.fullCount === 0 || set.withoutAdapter.length > 0) this.#wait.endRoomWait()
    if (chosen?.needsPermit === true) return this.#startAttemptWithPermit(chosen)
    if (chosen !== undefined) return this.#startAttempt(chosen)
    if (set.withoutAdapter.length > 0) {
      this.#loadAdapter(set.withoutAdapter).catch((error: Error) => this.#onUnexpected(error))
      return
    }
    this.#refuse(set)
  }

  #findCandidates (nowMs: number): CandidateSet {
    const find = (excluded: ReadonlySet<string>) => findCandidates(this.context.runners, createNeed(this.context, this.request, this.#continuity, excluded), nowMs)
    const set = find(new Set([...this.#excluded, ...this.#lastResorts]))
    if (set.open.length > 0 || set.withoutAdapter.length > 0 || this.#lastResorts.size === 0) return set
    this.#lastResorts.clear()
    return find(this.#excluded)
  }

  #chooseRunner (candidates: readonly Candidate[], affinity: string): Candidate | undefined {
    const { host, random } = this.context
    return chooseRunner({
      candidates,
      affinityKey: affinity,
      availabilityZone: host.availabilityZone,
      hostWithStaleLoads: host.hostWithStaleLoads(),
      random
    })
  }

  async #loadAdapter (candidates: Candidate[]): Promise<void> {
    const { model, adapter } = this.request.facts
    if (model === undefined || adapter === undefined) return
    const chosen = this.#chooseRunner(this.#continuity.preferred(candidates), `${model}/${adapter}`)
    if (chosen === undefined) return
    this.#log.note('adapter asked for', { runner: chosen.id, holders: candidates.length })
    const resident = await this.context.adapters.ensure(chosen.id, model, adapter, this.#timeLeftMs() * ADAPTER_WAIT_FRACTION)
    if (this.#ended) return
    this.#adapterAttempts += 1
    if (!resident) this.#excluded.add(chosen.id)
    if (!resident && this.#adapterAttempts >= MAX_ADAPTER_ATTEMPTS) return this.#giveUp(this.#failure(ResultCode.NoRunner, 'the adapter could not be loaded in time', retryDelayWhenFull(this.context, this.#timeLeftMs())))
    this.#dispatch()
  }

  /** The runner has a request limit, which all hosts share. If no permit is left, the request is sent to another runner. */
  #startAttemptWithPermit (candidate: Candidate): void {
    const { limits, metrics, runners } = this.context
    const runner = runners.get(candidate.id)
    if (runner === undefined) return this.#dispatch()
    limits.takePermit(runner.entry).then((permit) => {
      if (this.#ended) return
      if (permit !== undefined) return this.#startAttempt(candidate, permit)
      metrics.passedOver.inc()
      this.#log.note('runner passed over for its limit', { runner: candidate.id, ...limitFields(this.context.limits, runner.entry) })
      this.#dispatch()
    }).catch((error: Error) => this.#onUnexpected(error))
  }

  #startAttempt (candidate: Candidate, permit?: Permit): void {
    const runner = this.context.runners.get(candidate.id)
    if (runner === undefined) return this.#refuse({ open: [], starting: [], fullCount: 0, fullSlots: 0, closed: [], withoutAdapter: [] })
    if (!this.#send(runner, candidate, permit)) this.#dispatch()
  }

  /** Sends the request to a runner, beside the attempt in progress if there is one; false: the runner's address is unusable. */
  #send (runner: RunnerState, candidate: Candidate, permit?: Permit): boolean {
    const { request, context } = this
    const nowMs = context.clock.monotonicMs()
    const { id, address } = runner.entry
    const caller = this.#keyGuard.forwarded()
    const headers = context.codec.encodeRequest(request.headers, {
      deadlineMs: Math.max(1, Math.floor(request.dueMs - nowMs)),
      runnerId: id,
      urgency: request.service.engine === undefined ? undefined : urgencyOf(request.route, this.#keyGuard.customer),
      lastEventId: this.#writer.lastEventId ?? request.facts.lastEventId,
      weightsVersion: this.#writer.started ? this.#weightsVersion : undefined,
      caller
    })
    const dispatcher = context.connections.dispatcherFor(id, address)
    if (dispatcher.isErr()) {
      this.#onUnusableAddress(runner, dispatcher.error)
      return false
    }
    const attempt: RunnerAttempt = RunnerAttempt.create({
      context,
      request,
      requestGuard: this.#requestGuard,
      keyGuard: this.#keyGuard,
      caller,
      runner,
      permit,
      onPathBroken: () => this.#guard(() => this.#onPathBroken(attempt))
    })
    const observer = ResultObserver.create(request.id, context.codec, this.#writer, {
      beforeWrite: () => this.#guard(() => this.#mayWrite(attempt)) ?? false,
      isBesideAnother: () => attempt === this.#attempts.next,
      onBytes: () => this.#guard(() => attempt.path.onBytes()),
      onHead: (facts) => this.#guard(() => recordAnswerHead(context, { requestId: request.id, runner, facts, writtenInstantMs: attempt.writtenInstantMs })),
      onStream: (facts) => this.#guard(() => this.#onStream(attempt, facts)),
      onFirstByte: () => this.#guard(() => this.#onFirstByte()),
      onEvents: (count) => this.#guard(() => this.#onEvents(attempt, count)),
      onOverlong: (reason) => context.connections.onOverlong(id, reason),
      openHold: (onGiveWay) => attempt.openHold(() => this.#guard(onGiveWay)),
      closeConnection: () => attempt.cancel(),
      onResult: (result) => this.#guard(() => this.#takeResult(attempt, result))
    })
    if (this.#writer.lastEventId !== undefined || request.facts.lastEventId !== undefined) this.#log.mark()
    this.#log.note('sent to a runner', {
      runner: id,
      ...attempt.path.logFields,
      sending: this.#attemptCount + 1,
      inFlight: candidate.inFlight,
      slots: candidate.slots,
      pace: Math.round(candidate.pace * 100) / 100,
      slowStartLimit: this.#slowStartLimit(runner, nowMs),
      listAgeMs: Math.round(context.host.runnersAgeMs()),
      ...limitFields(this.context.limits, runner.entry),
      softwareVersion: runner.entry.softwareVersion,
      resumedAfter: this.#writer.lastEventId ?? request.facts.lastEventId,
      ...this.#continuity.logFields(this.#writer.lastEventId)
    })
    this.#attemptCount += 1
    this.#attempts.add(attempt)
    const { id: requestId, method, target, body } = request
    attempt.start(dispatcher.value, { id: requestId, method, target, headers, body }, observer)
    return true
  }

  /** Requests of all hosts that may be at a runner which has just started or recovered; undefined for others. */
  #slowStartLimit ({ slowStart }: RunnerState, nowMs: number): number | undefined {
    const limit = slowStart?.limit(nowMs) ?? Infinity
    return limit === Infinity ? undefined : Math.round(limit)
  }

  /** The platform's list of runners has an address to which no connection can be opened. */
  #onUnusableAddress ({ entry }: RunnerState, failure: Failure): void {
    this.#log.note('runner has an unusable address', { runner: entry.id, address: entry.address, reason: failure.message })
    this.context.runners.markUnreachable(entry.id, this.context.clock.monotonicMs())
    this.#excluded.add(entry.id)
  }

  /** A move of a stream draws on the retry budget when it reaches a runner, not when it is tried. */
  #mayWrite (attempt: RunnerAttempt): boolean {
    if (attempt === this.#attempts.next && !this.#budget.acquire(Outcome.Unknown)) return false
    const isWritten = attempt.beforeWrite(this.#budget.progress.possibleRuns + this.#attempts.sentCount + 1)
    if (isWritten) this.request.quotaUse?.onSent()
    return isWritten
  }

  /** A runner begins a valid stream. @returns why the stream must not be used, if so */
  #onStream (attempt: RunnerAttempt, facts: AnswerFacts): string | undefined {
    if (attempt !== this.#attempts.next) {
      this.#weightsVersion ??= facts.weightsVersion
      return undefined
    }
    if (this.#weightsVersion !== undefined && facts.weightsVersion !== this.#weightsVersion) return 'the weights have another version'
    const stalled = this.#attempts.takeOver()
    if (stalled !== undefined) this.#recordEnd(stalled, { outcome: Outcome.Unknown, reason: 'the stream stalled' })
    return undefined
  }

  #onEvents ({ runner, times, startedMs }: RunnerAttempt, count: number): void {
    if (times.firstMs === undefined) recordBegun(this.context, this.request.route, runner, startedMs)
    times.onEvents(count, this.context.clock.monotonicMs())
    this.#requestGuard.onBegun(runner.entry)
    this.#continuity.onEvents(runner)
    this.#stallDetector?.onProgress()
    this.#dropNext('the stream goes on at its runner')
  }

  /** Takes the request back from the runner to which the stream might have moved. */
  #dropNext (reason: string): void {
    const dropped = this.#attempts.dropNext()
    if (dropped === undefined) return
    if (dropped.sent) this.#budget.count(Outcome.Unknown)
    this.#log.note('move of the stream canceled', { runner: dropped.runner.entry.id, reason, sent: dropped.sent })
  }

  #onFirstByte (): void {
    if (this.#firstByteMs !== undefined) return
    this.#firstByteMs = this.context.clock.monotonicMs()
    this.context.metrics.firstByteSeconds.observe({ route: this.request.route.name }, (this.#firstByteMs - this.request.arrivedMs) / 1000)
  }

  /** The memory of an answer that isn't written to the caller is given back. */
  #takeResult (attempt: RunnerAttempt, result: AttemptResult): void {
    try {
      this.#onResult(attempt, result)
    } finally {
      if (result.bufferedAnswer !== this.#written) result.bufferedAnswer?.hold.close()
    }
  }

  #onResult (attempt: RunnerAttempt, result: AttemptResult): void {
    const path = attempt.path.assess(result)
    attempt.leave(departureOf(result.outcome, result.connectionBroke === true && !path.failed))
    if (this.#ended) return
    const wasNext = attempt === this.#attempts.next
    if (!wasNext && result.outcome === Outcome.Answered) this.#dropNext('the stream ended at its runner')
    this.#attempts.remove(attempt)
    const step = this.#recordEnd(attempt, result, path)
    if (wasNext) return this.#onMoveFailed(result.outcome)
    if (result.facts?.misdirected !== true) this.#weightsVersion ??= result.facts?.weightsVersion
    this.#lastFailureReason = result.reason
    if (this.#attempts.current !== undefined) return
    if (step === NextStep.Finish) return this.#finish(result)
    if (step === NextStep.Retry && this.#budget.acquire(result.outcome)) return this.#dispatch()
    this.#finishFailed(result)
  }

  /** Counts and logs an attempt that has ended, and decides what follows if no other attempt is in progress. */
  #recordEnd ({ runner, startedMs, times, writtenAfterMs, path }: RunnerAttempt, result: AttemptResult, { failed, hasOther, isLastResort }: PathAssessment = INTACT): NextStep {
    recordAttempt(this.context, { request: this.request, runner, result, startedMs, times, pathFailed: failed })
    this.#budget.count(result.outcome)
    if (result.outcome === Outcome.NotRun) this.request.quotaUse?.onNotRun()
    if (isLastResort) this.#lastResorts.add(runner.entry.id)
    else if (!hasOther) this.#excluded.add(runner.entry.id)
    const step = this.#budget.nextStep(result.outcome)
    const remaining = this.#attempts.current?.runner.entry.id
    this.#log.note('attempt ended', {
      runner: runner.entry.id,
      ...path.logFields,
      outcome: result.outcome,
      reason: result.reason,
      status: result.facts?.status,
      tookMs: Math.round(this.context.clock.monotonicMs() - startedMs),
      writtenAfterMs: writtenAfterMs === undefined ? undefined : Math.round(writtenAfterMs),
      draining: runner.entry.draining,
      next: remaining === undefined ? step : `stays at ${remaining}`
    })
    return step
  }

  #createStallDetector (): StallDetector {
    return StallDetector.create({
      clock: this.context.clock,
      maxPauseMs: this.request.route.maxPauseMs,
      callerIsSlow: () => this.response.writableNeedDrain,
      onStall: (silentMs) => this.#guard(() => this.#onStall(silentMs))
    })
  }

  /** Sends a stalled stream to another runner too, if one is free. It stays at its runner, which may still recover, until the other one begins. */
  #onStall (silentMs: number): void {
    const { current, next } = this.#attempts
    if (current === undefined || next !== undefined || this.#ended) return
    const { candidates, ...assessment } = assessMove(this.context, this.request, this.#continuity, new Set([...this.#excluded, current.runner.entry.id]), this.#budget.progress)
    const { lastEventId } = this.#writer
    this.#log.note('stream stalled', { runner: current.runner.entry.id, silentMs: Math.round(silentMs), lastEventId, ...assessment })
    if (!assessment.mayMove || lastEventId === undefined || !this.#requestGuard.mayWrite() || !this.#keyGuard.maySend) return
    const chosen = this.#chooseRunner(candidates, affinityKey(this.request.facts))
    const runner = chosen === undefined ? undefined : this.context.runners.get(chosen.id)
    if (chosen !== undefined && runner !== undefined) this.#send(runner, chosen)
  }

  /** The direct path to the runner is broken, and no answer will arrive on it. A request that may run again is sent again at once. */
  #onPathBroken (attempt: RunnerAttempt): void {
    const { current, next } = this.#attempts
    if (this.#ended || (attempt !== current && attempt !== next)) return
    const mayMove = next !== undefined || this.#budget.mayRepeat()
    this.#log.note('path to the runner broke', { runner: attempt.runner.entry.id, mayMove, lastEventId: this.#writer.lastEventId })
    if (!mayMove) return
    attempt.cancel()
    this.#onResult(attempt, { outcome: Outcome.Unknown, reason: 'the path to the runner broke', faultAt: FaultAt.Path })
  }

  /** Tries another runner at once where the last one didn't run the request: the stream is still silent. */
  #onMoveFailed (outcome: Outcome): void {
    if (wasNotSent(outcome) || outcome === Outcome.NotRun) this.#onStall(this.#stallDetector?.silentMs ?? 0)
  }

  #finish (result: AttemptResult): void {
    if (result.bufferedAnswer !== undefined) {
      this.#onFirstByte()
      this.#writeBuffered(result.bufferedAnswer)
    }
    this.#continuity.onComplete()
    this.#end(ANSWERED, result.reason)
  }

  #writeBuffered (answer: BufferedAnswer): void {
    this.#written = answer
    this.#writer.writeBuffered(answer)
  }

  #finishFailed (result: AttemptResult): void {
    if (!this.#writer.started && result.outcome === Outcome.RunnerFailed && result.bufferedAnswer !== undefined && !impliesNotRun(result.bufferedAnswer.head.status)) {
      this.#writeBuffered(result.bufferedAnswer)
      return this.#end('runner_failed', result.reason)
    }
    const code = result.isTooLarge === true ? ResultCode.AnswerTooLarge : ResultCode.BackendFailed
    if (this.#budget.mayHaveRun) return this.#giveUp(this.#failure(code, result.reason))
    this.#giveUp(this.#failure(ResultCode.Overloaded, result.reason, retryDelayWhenFull(this.context, this.#timeLeftMs())))
  }

  #refuse (set: CandidateSet): void {
    const mayWait = !this.#writer.started && !this.#budget.mayHaveRun
    if (mayWait && (set.fullCount === 0 ? this.#wait.forLoad() : this.#wait.forRoom())) return
    this.#log.note('no runner can take the request', { full: set.fullCount, closed: set.closed.length, withoutAdapter: set.withoutAdapter.length, excluded: this.#excluded.size, listed: this.context.runners.usable(this.request.service.name).length })
    logClosedRunners(this.context, this.request, this.#log, set.closed)
    if (this.#budget.mayHaveRun) return this.#giveUp(this.#failure(ResultCode.BackendFailed, `${this.#lastFailureReason}; no other runner is free`))
    const { code, message, retryAfterMs } = createRefusal(this.context, this.request, set, this.#timeLeftMs(), this.#continuity.softwareVersion)
    this.#log.note('caller is asked to return', { retryAfterMs: Math.round(retryAfterMs), timeLeftMs: Math.round(this.#timeLeftMs()) })
    this.#giveUp(this.#failure(code, message, retryAfterMs))
  }

  /** A request that is at a runner is taken back before the runner begins it. A stream that has begun goes on where it is. */
  #onBlocked (featureId: string): void {
    if (this.#ended) return
    if (this.#writer.started) return this.#dropNext('blocked while the stream was moving')
    if (this.#attempts.sentCount > 0) this.#budget.onTakenBack()
    this.#attempts.cancelAll()
    this.#refuseBlocked(featureId, 'blocked while the request was in progress')
  }

  #refuseBlocked (featureId: string, reason: string): void {
    const { ran } = this.#budget
    const isRequest = isRequestKey(featureId)
    if (isRequest) this.#log.note('request has blocked content', { key: featureId, reason, ran })
    else this.#log.note('request has a blocked prompt part', { part: featureId, reason, ran })
    const code = isRequest ? ResultCode.RequestBlocked : ResultCode.PromptBlocked
    this.#giveUp(this.#failure(this.#budget.mayHaveRun ? ResultCode.BackendFailed : code, `${isRequest ? 'request' : 'prompt part'} ${featureId} is blocked: ${reason}`))
  }

  /** A newer configuration removed the caller's key. A stream that has begun is broken off where it would go on at another runner. */
  #refuseKey (refusal: Failure): void {
    this.#log.note('key is no longer known', { customer: this.request.customer?.name, configVersion: this.context.config.version, ran: this.#budget.ran })
    this.#giveUp(this.#budget.mayHaveRun ? this.#failure(ResultCode.BackendFailed, refusal.message) : refusal)
  }

  /** The route's timeout or the caller's deadline has passed. */
  #onDeadline (): void {
    if (this.#ended) return
    if (this.#takeBack()) return this.#giveUp(this.#failure(ResultCode.BackendTimeout, 'no answer within the time of the request'))
    this.#giveUp(this.#failure(ResultCode.NoRunner, 'no runner could be reached in time', retryDelayWhenMissing(this.context, this.request, this.#timeLeftMs())))
  }

  /** This process ends: the request gets its final answer before the connection of its caller is closed. */
  #onProcessEnds (): void {
    if (this.#ended) return
    if (this.#takeBack()) return this.#giveUp(this.#failure(ResultCode.BackendTimeout, 'no answer before this host stopped'))
    this.#giveUp(this.#failure(ResultCode.Draining, 'this host stopped before the request was sent to a runner', 0))
  }

  /** Takes the request back from its runners. @returns whether it may have run */
  #takeBack (): boolean {
    const sent = this.#attempts.sentCount > 0
    this.#attempts.cancelAll()
    return sent || this.#budget.mayHaveRun
  }

  #onCallerDisconnected (): void {
    if (this.#ended) return
    this.#attempts.cancelAll()
    this.#end('caller_gone', 'the caller closed its connection')
  }

  /** Runs a callback of a timer or connection. An unexpected error fails this request, not the process. */
  #guard<Value> (step: () => Value): Value | undefined {
    try {
      return step()
    } catch (error) {
      this.#onUnexpected(error as Error)
      return undefined
    }
  }

  #onUnexpected (error: Error): void {
    this.context.log.error('request failed with an unexpected error', { requestId: this.request.id, reason: error.message, stack: error.stack })
    if (this.#ended) return
    this.#attempts.cancelAll()
    this.#giveUp(this.#failure(ResultCode.Internal, error.message))
  }

  #failure (code: ResultCodeInfo, message: string, retryAfterMs?: number): Failure {
    return createFailure(code, message, { ran: this.#budget.mayHaveRun ? Ran.Unknown : code.ran, retryAfterMs })
  }

  #timeLeftMs (): number {
    return this.request.dueMs - this.context.clock.monotonicMs()
  }

  /** Ends a request that can't be answered: with the failure, or by breaking off an answer that has begun. */
  #giveUp (failure: Failure): void {
    if (this.#ended) return
    const hasBegun = this.#writer.started
    if (hasBegun) this.#writer.abort()
    else writeFailure(this.response, failure, this.context.host.isLeaving())
    this.#end(hasBegun ? BROKEN_OFF : failure.code.type, failure.message)
  }

  #end (result: string, reason: string): void {
    if (this.#ended) return
    this.#ended = true
    this.#deadlineTimer?.cancel()
    this.#wait.stop()
    this.#stallDetector?.stop()
    this.#requestGuard.end()
    this.#continuity.onEnded()
    reportEnd(this.context, this.request, this.#log, { result, reason, attempts: this.#attemptCount, runs: this.#budget.progress.possibleRuns, firstByteMs: this.#firstByteMs })
    this.#resolveFinished()
  }
}
