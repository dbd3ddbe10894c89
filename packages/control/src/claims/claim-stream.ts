/**
 * Claim gateway for one stream: batches the claims of many hosts and appends them to the log. A claim has won once it was
 * read back from the log, without a gap in the records, and is the first claim of its key.
 */
import { Task, type Timer } from '@figloom/runtime'
import type { LogRecord } from '@figloom/clients'
import type { StreamEvent, StreamFollower } from '../streams/stream-follower.js'
import { AbandonedAttempts } from './abandoned-attempts.js'
import type { AppendQueue } from './append-queue.js'
import { applyClaimRecord, ClaimState, type ClaimStep } from './claim-state.js'
import { createAppendQueue, createFollower } from './claim-stream-io.js'
import { ClaimStreamMaintenance } from './stream-maintenance.js'
import { decideClaim } from './claim-decision.js'
import { ClaimStreamStatus, type ClaimStreamMessage, type ClaimStreamOptions } from './claim-stream-types.js'
import { claimStreamName } from './keys.js'
import { PendingClaims, type PendingClaim } from './pending-claims.js'
import { SnapshotCollector, type ClaimSnapshot } from './snapshot.js'
import { findClaimStartPoint, type ClaimStartPoint } from './start-point.js'
import type { AttemptEnd, ClaimAnswer, ClaimRequest } from './types.js'

/** Task of one stream. Any host can run it; `rankGateways` selects those that do. */
export class ClaimStream extends Task<ClaimStreamMessage> {
  readonly #abandoned = AbandonedAttempts.create()
  readonly #pending: PendingClaims
  readonly #queue: AppendQueue
  readonly #follower: StreamFollower
  readonly #maintenance: ClaimStreamMaintenance
  #collector = SnapshotCollector.create()
  #state = ClaimState.create()
  #status: ClaimStreamStatus = ClaimStreamStatus.Starting
  #readFailed = false
  /** Lowest offset of a snapshot from which an incomplete stream can be read on. */
  #minSnapshotOffset = 0
  #graceTimer: Timer | undefined

  private constructor (private readonly options: ClaimStreamOptions) {
    super((error) => options.logger.error('claim stream failed', { stream: options.index, error: String(error) }))
    this.#pending = PendingClaims.create(options.clock, (attemptId) => this.post({ kind: 'expired', attemptId }))
    this.#queue = createAppendQueue(options, () => this.post({ kind: 'append-failed' }))
    this.#follower = createFollower(options, (event) => this.post({ kind: 'event', event }))
    const onTick = () => this.post({ kind: 'tick' })
    const onSnapshotDue = () => this.post({ kind: 'snapshot' })
    this.#maintenance = ClaimStreamMaintenance.create({ ...options, onTick, onSnapshotDue })
  }

  static create (options: ClaimStreamOptions): ClaimStream {
    const stream = new ClaimStream(options)
    stream.#findStart()
    stream.#maintenance.scheduleTick()
    return stream
  }

  override stop (): void {
    super.stop()
    this.#follower.stop()
    this.#queue.stop()
    this.#maintenance.stop()
    this.#graceTimer?.cancel()
    for (const claim of this.#pending.all()) this.#pending.answer(claim, { kind: 'unavailable', mayBeAppended: true })
  }

  /** Claims a key. Answers within `timeoutMs`, and immediately while the log is unavailable. */
  claim (request: ClaimRequest): Promise<ClaimAnswer> {
    if (this.stopped) return Promise.resolve({ kind: 'unavailable', mayBeAppended: false })
    return new Promise((resolve) => this.post({ kind: 'claim', request, answer: resolve }))
  }

  /** Accepts the end of an attempt: its outcome, or that it will never be sent. Returns false if this task has stopped. */
  end (end: AttemptEnd): boolean {
    this.post({ kind: 'end', end })
    return !this.stopped
  }

  /** Number of keys, size of their tables, whether claims can be answered, and number of pending claims. */
  stats (): { keys: number, tableBytes: number, canAnswer: boolean, pending: number } {
    const { current, previous, size } = this.#state
    return {
      keys: size,
      tableBytes: current.bytes + previous.bytes,
      canAnswer: this.#status === ClaimStreamStatus.Complete,
      pending: this.#pending.size
    }
  }

  protected override handle (message: ClaimStreamMessage): void {
    switch (message.kind) {
      case 'claim': return this.#claim(message.request, message.answer)
      case 'end': return this.#end(message.end)
      case 'event': return this.#onEvent(message.event)
      case 'started': return this.#onStarted(message.start)
      case 'expired': return this.#onExpired(message.attemptId)
      case 'append-failed': return this.#onLogFailure()
      case 'grace-over': return this.#onGraceOver()
      case 'tick': return this.#tick()
      case 'snapshot': this.#appendSnapshot()
    }
  }

  #claim (request: ClaimRequest, answer: (answer: ClaimAnswer) => void): void {
    const canAnswer = this.#status === ClaimStreamStatus.Complete
    const decided = canAnswer ? decideClaim(this.#state, request, this.options.isLive) : undefined
    if (decided !== undefined) return answer(decided)
    if (this.#mustRefuse()) return answer({ kind: 'unavailable', mayBeAppended: false })
    this.#pending.add(request, answer)
    if (canAnswer) this.#append(request)
  }

  #mustRefuse (): boolean {
    if (this.#status === ClaimStreamStatus.Starting) return false
    const full = this.#state.size >= this.options.limits.maxKeys
    return this.#status !== ClaimStreamStatus.Complete || this.#queue.failing || this.#readFailed || full
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

  /** Refuses pending claims at once if both appends and reads fail; otherwise gives them `graceMs` to be read back. */
  #onLogFailure (): void {
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
    if (event.kind === 'truncated') return this.#findStart()
    if (event.kind === 'failed') return this.#onLogFailure()
    for (const record of event.records) if (!this.#apply(record)) return
  }

  /** Applies a record; false if it is not the next one, or if the follower was stopped or moved to another offset. */
  #apply (record: LogRecord): boolean {
    if (record.offset !== this.#state.offset + 1) return false
    const step = applyClaimRecord(this.#state, record)
    if (!step.applied) {
      this.#stopAnswering(ClaimStreamStatus.UnknownRule)
      return false
    }
    this.#updateMaintenance(record, step)
    for (const claim of step.claims) this.#onDecision(claim.attemptId, claim.won)
    return !this.#collectSnapshot(record)
  }

  #updateMaintenance (record: LogRecord, step: ClaimStep): void {
    if (step.rotated) this.#maintenance.onRotated()
    if (step.resetSince !== undefined && this.#maintenance.coversUnread(step.resetSince)) this.#status = ClaimStreamStatus.Complete
    if (step.claims.length > 0) this.#maintenance.onNoClaimFrom(record.offset + 1)
  }

  #onDecision (attemptId: string, won: boolean): void {
    if (this.#status !== ClaimStreamStatus.Complete) return
    const end = this.#abandoned.get(attemptId)
    if (end !== undefined && won) this.#queue.add(end)
    const claim = this.#pending.get(attemptId)
    if (claim === undefined) return
    const inTime = this.options.clock.monotonicMs() < claim.deadlineMs
    const decided = decideClaim(this.#state, claim.request, this.options.isLive)
    this.#pending.answer(claim, decided === undefined || !inTime ? { kind: 'unavailable', mayBeAppended: true } : decided)
  }

  /** Collects snapshot parts. An incomplete stream continues from the first complete snapshot; returns true if it does. */
  #collectSnapshot (record: LogRecord): boolean {
    const snapshot = this.#collector.add(record, this.#minSnapshotOffset)
    if (snapshot === undefined) return false
    this.#maintenance.onSnapshotRead()
    if (this.#status !== ClaimStreamStatus.Incomplete) return false
    this.#loadSnapshot(snapshot)
    return true
  }

  #findStart (): void {
    this.#status = ClaimStreamStatus.Starting
    this.#follower.stop()
    findClaimStartPoint(this.options.log, claimStreamName(this.options.index))
      .then((start) => this.post({ kind: 'started', start }))
  }

  #onStarted (start: ClaimStartPoint): void {
    if (start.kind === 'unbroken') return this.#loadSnapshot(start.snapshot)
    if (start.kind === 'broken') return this.#followIncomplete(start.firstOffset)
    this.#stopAnswering(ClaimStreamStatus.Unreachable)
    this.options.clock.setTimer(this.options.limits.retryMs, () => { if (!this.stopped) this.#findStart() })
  }

  #followIncomplete (firstOffset: number): void {
    this.#stopAnswering(ClaimStreamStatus.Incomplete)
    this.#state = ClaimState.create()
    this.#state.offset = firstOffset - 1
    this.#minSnapshotOffset = firstOffset - 1
    this.#maintenance.onNoClaimFrom(firstOffset)
    this.#follower.follow(firstOffset)
  }

  #loadSnapshot ({ state, generationAgeMs }: ClaimSnapshot): void {
    this.#state = state
    this.#status = ClaimStreamStatus.Complete
    this.#minSnapshotOffset = 0
    this.#collector = SnapshotCollector.create()
    this.#maintenance.onLoaded(generationAgeMs)
    this.#follower.follow(state.offset + 1)
    for (const claim of this.#pending.all()) this.#resume(claim)
  }

  /** Answers a pending claim if the loaded state has it already, otherwise appends it. */
  #resume (claim: PendingClaim): void {
    const decided = decideClaim(this.#state, claim.request, this.options.isLive)
    if (decided !== undefined) return this.#pending.answer(claim, decided)
    if (this.#mustRefuse()) return this.#refuse(claim)
    this.#append(claim.request)
  }

  #stopAnswering (status: ClaimStreamStatus): void {
    this.#status = status
    this.#follower.stop()
    this.#refuseAll()
  }

  #tick (): void {
    this.#maintenance.scheduleTick()
    const due = this.#status === ClaimStreamStatus.Complete ? this.#maintenance.dueRotation(this.#state) : this.#dueReset()
    if (due !== undefined) this.#queue.add(due)
  }

  #dueReset (): ReturnType<ClaimStreamMaintenance['dueReset']> {
    return this.#status === ClaimStreamStatus.Incomplete ? this.#maintenance.dueReset() : undefined
  }

  #appendSnapshot (): void {
    if (this.#status !== ClaimStreamStatus.Complete || this.#state.offset === 0) return this.#maintenance.onSnapshotRead()
    this.#maintenance.appendSnapshot(this.#state)
  }
}
