/**
 * A claim gateway for one stream: batches claims of many hosts, appends them, and answers a claim only once the fold
 * has read it back, without a gap, first in order.
 */
import { Task, type Clock, type Logger, type Timer } from '@figloom/runtime'
import type { LogClient, LogRecord } from '@figloom/platform'
import { SnapshotSchedule } from '../config/snapshot-schedule.js'
import { StreamFollower, type StreamEvent } from '../streams/stream-follower.js'
import { AbandonedAttempts } from './abandoned-attempts.js'
import { AppendQueue } from './append-queue.js'
import { applyClaimRecord, ClaimState } from './claim-state.js'
import { judgeRequest } from './judge.js'
import type { ClaimLimits } from './limits.js'
import { claimStreamName } from './keys.js'
import { SnapshotCollector, toSnapshotParts, type ClaimSnapshot } from './snapshot.js'
import { findClaimStart, type ClaimStart } from './start.js'
import { CLAIM_RULE, type AttemptEnd, type ClaimAnswer, type ClaimRequest, type IsLive } from './types.js'

export type ClaimStreamOptions = {
  log: LogClient
  clock: Clock
  logger: Logger
  index: number
  host: string
  incarnation: string
  isLive: IsLive
  /** Hosts that take turns in writing snapshots. */
  gateways: () => string[]
  limits: ClaimLimits
}

type Pending = { request: ClaimRequest, deadlineMs: number, timer: Timer, answer: (answer: ClaimAnswer) => void }

type Message =
  | { kind: 'claim', request: ClaimRequest, answer: (answer: ClaimAnswer) => void }
  | { kind: 'end', end: AttemptEnd }
  | { kind: 'event', event: StreamEvent }
  | { kind: 'started', start: ClaimStart }
  | { kind: 'expired', attemptId: string }
  | { kind: 'append-failed' | 'grace-over' | 'tick' | 'snapshot' }

const TICKS_PER_PERIOD = 10

/** Task of one stream. Every host may run it; which ones do is decided by `rankGateways`. */
export class ClaimStream extends Task<Message> {
  readonly #pending = new Map<string, Pending>()
  readonly #abandoned = AbandonedAttempts.create()
  readonly #queue: AppendQueue
  readonly #follower: StreamFollower
  readonly #schedule: SnapshotSchedule
  #collector = SnapshotCollector.create()
  #state = ClaimState.create()
  #trust: 'starting' | 'whole' | 'broken' | 'unreachable' | 'unknown-rule' = 'starting'
  #readFailed = false
  #generationSinceMs = 0
  /** Oldest offset that the log still had when a broken stream was entered. */
  #brokenFrom = 1
  /** Offset since which a broken stream was read without a claim, and since when. */
  #quietSince = { offset: 0, atMs: 0 }
  #askedRotation = -1
  #graceTimer: Timer | undefined
  #tickTimer: Timer | undefined

  private constructor (private readonly options: ClaimStreamOptions) {
    super((error) => options.logger.error('claim stream failed', { stream: options.index, error: String(error) }))
    const { log, clock, limits, index } = options
    const stream = claimStreamName(index)
    this.#queue = AppendQueue.create({
      log,
      stream,
      clock,
      recordIdPrefix: `${options.host}-${options.incarnation}-${index}`,
      windowMs: limits.windowMs,
      lazyWindowMs: limits.lazyWindowMs,
      timeoutMs: limits.appendTimeoutMs,
      retryMs: limits.retryMs,
      onFailed: () => this.post({ kind: 'append-failed' })
    })
    this.#follower = StreamFollower.create({
      log,
      stream,
      clock,
      waitMs: limits.pollMs,
      retryMs: limits.retryMs,
      timeoutMs: limits.appendTimeoutMs,
      onEvent: (event) => this.post({ kind: 'event', event })
    })
    const snapshots = { host: options.host, everyMs: limits.snapshotEveryMs, hosts: options.gateways }
    this.#schedule = SnapshotSchedule.create(clock, snapshots, () => this.post({ kind: 'snapshot' }))
  }

  static create (options: ClaimStreamOptions): ClaimStream {
    const stream = new ClaimStream(options)
    stream.#begin()
    stream.#tick()
    return stream
  }

  override stop (): void {
    super.stop()
    this.#follower.stop()
    this.#queue.stop()
    this.#schedule.stop()
    this.#tickTimer?.cancel()
    for (const pending of this.#pending.values()) this.#answer(pending, { kind: 'unavailable', mayBeAppended: true })
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
    return { keys: size, tableBytes: current.bytes + previous.bytes, whole: this.#trust === 'whole', pending: this.#pending.size }
  }

  protected override handle (message: Message): void | Promise<void> {
    switch (message.kind) {
      case 'claim': return this.#claim(message.request, message.answer)
      case 'end': return this.#end(message.end)
      case 'event': return this.#onEvent(message.event)
      case 'started': return this.#onStarted(message.start)
      case 'expired': return this.#onExpired(message.attemptId)
      case 'append-failed': return this.#onTrouble()
      case 'grace-over': return this.#refuseAll()
      case 'tick': return this.#tick()
      case 'snapshot': return this.#appendSnapshot()
    }
  }

  #claim (request: ClaimRequest, answer: (answer: ClaimAnswer) => void): void {
    const judged = this.#trust === 'whole' ? judgeRequest(this.#state, request, this.options.isLive) : undefined
    if (judged !== undefined) return answer(judged)
    if (this.#refuses()) return answer({ kind: 'unavailable', mayBeAppended: false })
    const { clock } = this.options
    const timer = clock.setTimer(request.timeoutMs, () => this.post({ kind: 'expired', attemptId: request.attemptId }))
    const pending = { request, deadlineMs: clock.monotonicMs() + request.timeoutMs, timer, answer }
    this.#pending.set(request.attemptId, pending)
    if (this.#trust === 'whole') this.#append(pending)
  }

  #refuses (): boolean {
    if (this.#trust === 'starting') return false
    return this.#trust !== 'whole' || this.#queue.failing || this.#readFailed || this.#state.size >= this.options.limits.maxKeys
  }

  #append (pending: Pending): void {
    const { key, fingerprint, attemptId, host, incarnation } = pending.request
    const queued = this.#queue.add({ kind: 'claim', key, fingerprint, attemptId, host, incarnation })
    if (!queued) this.#answer(pending, { kind: 'unavailable', mayBeAppended: false })
  }

  #end (end: AttemptEnd): void {
    if (end.kind === 'outcome') {
      this.#queue.add(end)
      return
    }
    const pending = this.#pending.get(end.attemptId)
    if (pending !== undefined) this.#answer(pending, { kind: 'unavailable', mayBeAppended: true })
    if (this.#queue.withdraw(end.attemptId)) return
    this.#abandoned.add(end)
    if (this.#state.isHeldBy(end.key, end.attemptId)) this.#queue.add(end)
  }

  #onExpired (attemptId: string): void {
    const pending = this.#pending.get(attemptId)
    if (pending === undefined) return
    this.#answer(pending, { kind: 'unavailable', mayBeAppended: !this.#queue.withdraw(attemptId) })
  }

  #answer (pending: Pending, answer: ClaimAnswer): void {
    pending.timer.cancel()
    this.#pending.delete(pending.request.attemptId)
    pending.answer(answer)
  }

  #onTrouble (): void {
    if (this.#readFailed && this.#queue.failed) return this.#refuseAll()
    if (this.#pending.size === 0 || this.#graceTimer !== undefined) return
    this.#graceTimer = this.options.clock.setTimer(this.options.limits.graceMs, () => this.post({ kind: 'grace-over' }))
  }

  #refuseAll (): void {
    this.#graceTimer?.cancel()
    this.#graceTimer = undefined
    if (!this.#readFailed && !this.#queue.failed && this.#trust === 'whole') return
    for (const pending of [...this.#pending.values()]) {
      this.#answer(pending, { kind: 'unavailable', mayBeAppended: !this.#queue.withdraw(pending.request.attemptId) })
    }
  }

  #onEvent (event: StreamEvent): void {
    this.#readFailed = event.kind === 'failed'
    if (event.kind === 'truncated') return this.#begin()
    if (event.kind === 'failed') return this.#onTrouble()
    for (const record of event.records) if (!this.#apply(record)) return
  }

  /** Applies a record; false when the follower was moved or stopped. */
  #apply (record: LogRecord): boolean {
    const step = applyClaimRecord(this.#state, record)
    if (!step.applied) {
      if (record.offset !== this.#state.offset + 1) return false
      this.#loseTrust('unknown-rule')
      return false
    }
    if (step.rotated) this.#generationSinceMs = this.options.clock.monotonicMs()
    if (step.resetSince !== undefined && step.resetSince >= this.#quietSince.offset) this.#trust = 'whole'
    if (step.claims.length > 0) this.#quietSince = { offset: record.offset + 1, atMs: this.options.clock.monotonicMs() }
    for (const claim of step.claims) this.#onJudged(claim.key, claim.attemptId, claim.won)
    return !this.#collect(record)
  }

  #onJudged (key: string, attemptId: string, won: boolean): void {
    if (this.#trust !== 'whole') return
    const end = this.#abandoned.get(attemptId)
    if (end !== undefined && won) this.#queue.add(end)
    const pending = this.#pending.get(attemptId)
    if (pending === undefined || pending.request.key !== key) return
    const inTime = this.options.clock.monotonicMs() < pending.deadlineMs
    const judged = judgeRequest(this.#state, pending.request, this.options.isLive)
    this.#answer(pending, judged === undefined || !inTime ? { kind: 'unavailable', mayBeAppended: true } : judged)
  }

  /** Takes a snapshot over when this stream has no unbroken start; true if it did. */
  #collect (record: LogRecord): boolean {
    const snapshot = this.#collector.add(record, this.#brokenFrom - 1)
    if (snapshot === undefined) return false
    this.#schedule.restart()
    if (this.#trust !== 'broken') return false
    this.#load(snapshot)
    return true
  }

  #begin (): void {
    this.#trust = 'starting'
    this.#follower.stop()
    findClaimStart(this.options.log, claimStreamName(this.options.index))
      .then((start) => this.post({ kind: 'started', start }))
  }

  #onStarted (start: ClaimStart): void {
    if (start.kind === 'unbroken') return this.#load(start.snapshot)
    this.#loseTrust(start.kind === 'broken' ? 'broken' : 'unreachable')
    if (start.kind !== 'broken') {
      this.options.clock.setTimer(this.options.limits.retryMs, () => { if (!this.stopped) this.#begin() })
      return
    }
    this.#state = ClaimState.create()
    this.#state.offset = start.firstOffset - 1
    this.#brokenFrom = start.firstOffset
    this.#quietSince = { offset: start.firstOffset, atMs: this.options.clock.monotonicMs() }
    this.#follower.follow(start.firstOffset)
  }

  #load (snapshot: ClaimSnapshot): void {
    this.#state = snapshot.state
    this.#trust = 'whole'
    this.#brokenFrom = 1
    this.#generationSinceMs = this.options.clock.monotonicMs() - snapshot.generationAgeMs
    this.#collector = SnapshotCollector.create()
    this.#schedule.restart()
    this.#follower.follow(this.#state.offset + 1)
    for (const pending of this.#pending.values()) this.#append(pending)
  }

  #loseTrust (trust: 'broken' | 'unreachable' | 'unknown-rule'): void {
    this.#trust = trust
    this.#follower.stop()
    this.#refuseAll()
  }

  #tick (): void {
    const { clock, limits } = this.options
    const periodMs = Math.min(limits.keepMs, limits.snapshotEveryMs) / TICKS_PER_PERIOD
    this.#tickTimer = clock.setTimer(periodMs, () => this.post({ kind: 'tick' }))
    if (this.#trust === 'broken') return this.#resetIfQuiet()
    const due = clock.monotonicMs() - this.#generationSinceMs >= limits.keepMs
    if (this.#trust !== 'whole' || !due || this.#state.size === 0 || this.#askedRotation === this.#state.generation) return
    this.#askedRotation = this.#state.generation
    this.#queue.add({ kind: 'rotate', generation: this.#state.generation + 1 })
  }

  /** A key that this host cannot know of is older than the time that it has read without a claim. */
  #resetIfQuiet (): void {
    const { clock, limits } = this.options
    const quietMs = clock.monotonicMs() - this.#quietSince.atMs
    if (quietMs < limits.keepMs - limits.minRetentionMs) return
    this.#queue.add({ kind: 'reset', since: this.#quietSince.offset })
  }

  async #appendSnapshot (): Promise<void> {
    this.#schedule.restart()
    if (this.#trust !== 'whole' || this.#state.offset === 0) return
    const { log, clock, host, incarnation, index } = this.options
    const id = `${host}-${incarnation}-${index}-at-${this.#state.offset}`
    const parts = toSnapshotParts(this.#state, id, clock.monotonicMs() - this.#generationSinceMs)
    this.#appendParts(log, id, parts.map((snapshot) => ({ rule: CLAIM_RULE, snapshot })))
  }

  async #appendParts (log: LogClient, id: string, bodies: unknown[]): Promise<void> {
    for (const [part, body] of bodies.entries()) {
      const result = await log.append(claimStreamName(this.options.index), `${id}-${part}`, body)
      if (result.isOk()) continue
      return this.options.logger.warn('claim snapshot was not written', { stream: this.options.index, reason: result.error.message })
    }
  }
}
