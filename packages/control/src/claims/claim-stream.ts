/**
 * A claim gateway for one stream: batches claims of many hosts, appends them, and answers a claim only once the fold
 * has read it back, without a gap, first in order.
 */
import { Task, type Timer } from '@figloom/runtime'
import type { LogRecord } from '@figloom/clients'
import type { StreamEvent, StreamFollower } from '../streams/stream-follower.js'
import { AbandonedAttempts } from './abandoned-attempts.js'
import type { AppendQueue } from './append-queue.js'
import { applyClaimRecord, ClaimState, type ClaimStep } from './claim-state.js'
import { createAppendQueue, createFollower } from './claim-stream-parts.js'
import { ClaimUpkeep } from './claim-upkeep.js'
import { judgeRequest } from './judge.js'
import { Trust, type ClaimStreamMessage, type ClaimStreamOptions } from './claim-stream-types.js'
import { claimStreamName } from './keys.js'
import { PendingClaims, type PendingClaim } from './pending-claims.js'
import { SnapshotCollector, type ClaimSnapshot } from './snapshot.js'
import { findClaimStart, type ClaimStart } from './start.js'
import type { AttemptEnd, ClaimAnswer, ClaimRequest } from './types.js'

/** Task of one stream. Every host may run it; which ones do is decided by `rankGateways`. */
export class ClaimStream extends Task<ClaimStreamMessage> {
  readonly #abandoned = AbandonedAttempts.create()
  readonly #pending: PendingClaims
  readonly #queue: AppendQueue
  readonly #follower: StreamFollower
  readonly #upkeep: ClaimUpkeep
  #collector = SnapshotCollector.create()
  #state = ClaimState.create()
  #trust: Trust = Trust.Starting
  #readFailed = false
  /** Oldest snapshot that a broken stream can go on from. */
  #oldestAsOf = 0
  #graceTimer: Timer | undefined

  private constructor (private readonly options: ClaimStreamOptions) {
    super((error) => options.logger.error('claim stream failed', { stream: options.index, error: String(error) }))
    this.#pending = PendingClaims.create(options.clock, (attemptId) => this.post({ kind: 'expired', attemptId }))
    this.#queue = createAppendQueue(options, () => this.post({ kind: 'append-failed' }))
    this.#follower = createFollower(options, (event) => this.post({ kind: 'event', event }))
    const onTick = () => this.post({ kind: 'tick' })
    const onSnapshotDue = () => this.post({ kind: 'snapshot' })
    this.#upkeep = ClaimUpkeep.create({ ...options, onTick, onSnapshotDue })
  }

  static create (options: ClaimStreamOptions): ClaimStream {
    const stream = new ClaimStream(options)
    stream.#begin()
    stream.#upkeep.scheduleTick()
    return stream
  }

  override stop (): void {
    super.stop()
    this.#follower.stop()
    this.#queue.stop()
    this.#upkeep.stop()
    this.#graceTimer?.cancel()
    for (const claim of this.#pending.all()) this.#pending.answer(claim, { kind: 'unavailable', mayBeAppended: true })
  }

  /** Claims a key. Answers within `timeoutMs`, and at once while the log does not answer. */
  claim (request: ClaimRequest): Promise<ClaimAnswer> {
    if (this.stopped) return Promise.resolve({ kind: 'unavailable', mayBeAppended: false })
    return new Promise((resolve) => this.post({ kind: 'claim', request, answer: resolve }))
  }

  /** Takes on the end of an attempt: its outcome, or its claimer's word that it never sends. */
  end (end: AttemptEnd): boolean {
    this.post({ kind: 'end', end })
    return !this.stopped
  }

  /** Keys held, bytes of their tables, and whether the stream can be claimed from. */
  stats (): { keys: number, tableBytes: number, whole: boolean, pending: number } {
    const { current, previous, size } = this.#state
    return { keys: size, tableBytes: current.bytes + previous.bytes, whole: this.#trust === Trust.Whole, pending: this.#pending.size }
  }

  protected override handle (message: ClaimStreamMessage): void {
    switch (message.kind) {
      case 'claim': return this.#claim(message.request, message.answer)
      case 'end': return this.#end(message.end)
      case 'event': return this.#onEvent(message.event)
      case 'started': return this.#onStarted(message.start)
      case 'expired': return this.#onExpired(message.attemptId)
      case 'append-failed': return this.#onTrouble()
      case 'grace-over': return this.#onGraceOver()
      case 'tick': return this.#tick()
      case 'snapshot': this.#appendSnapshot()
    }
  }

  #claim (request: ClaimRequest, answer: (answer: ClaimAnswer) => void): void {
    const whole = this.#trust === Trust.Whole
    const judged = whole ? judgeRequest(this.#state, request, this.options.isLive) : undefined
    if (judged !== undefined) return answer(judged)
    if (this.#refuses()) return answer({ kind: 'unavailable', mayBeAppended: false })
    this.#pending.add(request, answer)
    if (whole) this.#append(request)
  }

  #refuses (): boolean {
    if (this.#trust === Trust.Starting) return false
    const full = this.#state.size >= this.options.limits.maxKeys
    return this.#trust !== Trust.Whole || this.#queue.failing || this.#readFailed || full
  }

  #append ({ key, fingerprint, attemptId, host, incarnation }: ClaimRequest): void {
    const claim = this.#pending.get(attemptId)
    if (claim === undefined || claim.queued) return
    claim.queued = this.#queue.add({ kind: 'claim', key, fingerprint, attemptId, host, incarnation })
    if (!claim.queued) this.#pending.answer(claim, { kind: 'unavailable', mayBeAppended: false })
  }

  #end (end: AttemptEnd): void {
    if (end.kind === 'outcome') {
      this.#queue.add(end)
      return
    }
    const claim = this.#pending.get(end.attemptId)
    if (claim !== undefined) this.#refuse(claim)
    this.#abandoned.add(end)
    if (this.#state.isHeldBy(end.key, end.attemptId)) this.#queue.add(end)
  }

  #onExpired (attemptId: string): void {
    const claim = this.#pending.get(attemptId)
    if (claim !== undefined) this.#refuse(claim)
  }

  #refuse (claim: PendingClaim): void {
    const mayBeAppended = claim.queued && !this.#queue.withdraw(claim.request.attemptId)
    this.#pending.answer(claim, { kind: 'unavailable', mayBeAppended })
  }

  /** With neither append nor read answered, claims are refused at once; else the read-back gets a moment. */
  #onTrouble (): void {
    if (this.#readFailed && this.#queue.failed) return this.#onGraceOver()
    if (this.#pending.size === 0 || this.#graceTimer !== undefined) return
    this.#graceTimer = this.options.clock.setTimer(this.options.limits.graceMs, () => this.post({ kind: 'grace-over' }))
  }

  #onGraceOver (): void {
    this.#graceTimer?.cancel()
    this.#graceTimer = undefined
    if (this.#readFailed || this.#queue.failed) this.#refuseAll()
  }

  #refuseAll (): void {
    for (const claim of this.#pending.all()) this.#refuse(claim)
  }

  #onEvent (event: StreamEvent): void {
    this.#readFailed = event.kind === 'failed'
    if (event.kind === 'truncated') return this.#begin()
    if (event.kind === 'failed') return this.#onTrouble()
    for (const record of event.records) if (!this.#apply(record)) return
  }

  /** Applies a record; false when it is not the next, or the follower was moved or stopped. */
  #apply (record: LogRecord): boolean {
    if (record.offset !== this.#state.offset + 1) return false
    const step = applyClaimRecord(this.#state, record)
    if (!step.applied) {
      this.#loseTrust(Trust.UnknownRule)
      return false
    }
    this.#noteStep(record, step)
    for (const claim of step.claims) this.#onJudged(claim.attemptId, claim.won)
    return !this.#collect(record)
  }

  #noteStep (record: LogRecord, step: ClaimStep): void {
    if (step.rotated) this.#upkeep.onRotated()
    if (step.resetSince !== undefined && this.#upkeep.covers(step.resetSince)) this.#trust = Trust.Whole
    if (step.claims.length > 0) this.#upkeep.onQuietFrom(record.offset + 1)
  }

  #onJudged (attemptId: string, won: boolean): void {
    if (this.#trust !== Trust.Whole) return
    const end = this.#abandoned.get(attemptId)
    if (end !== undefined && won) this.#queue.add(end)
    const claim = this.#pending.get(attemptId)
    if (claim === undefined) return
    const inTime = this.options.clock.monotonicMs() < claim.deadlineMs
    const judged = judgeRequest(this.#state, claim.request, this.options.isLive)
    this.#pending.answer(claim, judged === undefined || !inTime ? { kind: 'unavailable', mayBeAppended: true } : judged)
  }

  /** Notes snapshots, and goes on from one when this stream has no unbroken start; true if it did. */
  #collect (record: LogRecord): boolean {
    const snapshot = this.#collector.add(record, this.#oldestAsOf)
    if (snapshot === undefined) return false
    this.#upkeep.onSnapshotRead()
    if (this.#trust !== Trust.Broken) return false
    this.#load(snapshot)
    return true
  }

  #begin (): void {
    this.#trust = Trust.Starting
    this.#follower.stop()
    findClaimStart(this.options.log, claimStreamName(this.options.index))
      .then((start) => this.post({ kind: 'started', start }))
  }

  #onStarted (start: ClaimStart): void {
    if (start.kind === 'unbroken') return this.#load(start.snapshot)
    if (start.kind === 'broken') return this.#enterBroken(start.firstOffset)
    this.#loseTrust(Trust.Unreachable)
    this.options.clock.setTimer(this.options.limits.retryMs, () => { if (!this.stopped) this.#begin() })
  }

  #enterBroken (firstOffset: number): void {
    this.#loseTrust(Trust.Broken)
    this.#state = ClaimState.create()
    this.#state.offset = firstOffset - 1
    this.#oldestAsOf = firstOffset - 1
    this.#upkeep.onQuietFrom(firstOffset)
    this.#follower.follow(firstOffset)
  }

  #load ({ state, generationAgeMs }: ClaimSnapshot): void {
    this.#state = state
    this.#trust = Trust.Whole
    this.#oldestAsOf = 0
    this.#collector = SnapshotCollector.create()
    this.#upkeep.onLoaded(generationAgeMs)
    this.#follower.follow(state.offset + 1)
    for (const claim of this.#pending.all()) this.#resume(claim)
  }

  /** The loaded state may contain the claim already. */
  #resume (claim: PendingClaim): void {
    const judged = judgeRequest(this.#state, claim.request, this.options.isLive)
    if (judged !== undefined) return this.#pending.answer(claim, judged)
    if (this.#refuses()) return this.#refuse(claim)
    this.#append(claim.request)
  }

  #loseTrust (trust: Trust): void {
    this.#trust = trust
    this.#follower.stop()
    this.#refuseAll()
  }

  #tick (): void {
    this.#upkeep.scheduleTick()
    const due = this.#trust === Trust.Whole ? this.#upkeep.dueRotation(this.#state) : this.#dueReset()
    if (due !== undefined) this.#queue.add(due)
  }

  #dueReset (): ReturnType<ClaimUpkeep['dueReset']> {
    return this.#trust === Trust.Broken ? this.#upkeep.dueReset() : undefined
  }

  #appendSnapshot (): void {
    if (this.#trust !== Trust.Whole || this.#state.offset === 0) return this.#upkeep.onSnapshotRead()
    this.#upkeep.appendSnapshot(this.#state)
  }
}
