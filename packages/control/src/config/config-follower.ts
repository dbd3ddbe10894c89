/** Follows the configuration stream and holds the state in force, which never goes back to an older offset. */
import { createFailure, ResultCode, Task, type Clock, type Logger, type TaskErrorHandler } from '@figloom/runtime'
import type { LogClient, LogRecord } from '@figloom/clients'
import { StreamFollower, type StreamEvent } from '../streams/stream-follower.js'
import { SnapshotSchedule, type SnapshotScheduleOptions } from '../streams/snapshot-schedule.js'
import { findStartPoint } from './start-point.js'
import {
  ConfigVerdict, FollowerStatus,
  type ConfigListener, type ConfigRule, type FollowerReport, type EditVerdict, type SnapshotSource
} from './types.js'

/** Stream that operators publish to. */
export const CONFIG_STREAM = 'config'

export type ConfigFollowerOptions<State> = {
  log: LogClient
  /** Stream to follow; `CONFIG_STREAM` by default. */
  stream?: string
  clock: Clock
  logger: Logger
  rule: ConfigRule<State>
  peers: SnapshotSource
  snapshots: SnapshotScheduleOptions
  /** Longest time that the log holds one poll, in milliseconds. */
  waitMs?: number
  /** Delay after a failed poll, in milliseconds. */
  retryMs?: number
  /** Timeout of one poll, on top of `waitMs`, in milliseconds. */
  timeoutMs?: number
  onFault?: TaskErrorHandler
}

type Message = { kind: 'event', event: StreamEvent } | { kind: 'start' } | { kind: 'snapshot' }

const DEFAULT_WAIT_MS = 10_000
const DEFAULT_RETRY_MS = 500
const DEFAULT_TIMEOUT_MS = 2000

/** Task that keeps a host's configuration up to date. */
export class ConfigFollower<State> extends Task<Message> {
  readonly #listeners = new Set<ConfigListener<State>>()
  readonly #readListeners = new Set<() => void>()
  readonly #follower: StreamFollower
  readonly #schedule: SnapshotSchedule
  #state: State | undefined
  /** False until the first read of the log reached its end, so that no outdated state is served before. */
  #serving = false
  #status: FollowerStatus = FollowerStatus.Starting
  #logAnsweredMs: number | undefined

  private constructor (private readonly options: ConfigFollowerOptions<State>) {
    super(options.onFault ?? ((error) => options.logger.error('config follower failed', { error: String(error) })))
    this.#follower = StreamFollower.create({
      log: options.log,
      stream: this.#stream,
      clock: options.clock,
      waitMs: options.waitMs ?? DEFAULT_WAIT_MS,
      retryMs: options.retryMs ?? DEFAULT_RETRY_MS,
      timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      onEvent: (event) => this.post({ kind: 'event', event })
    })
    this.#schedule = SnapshotSchedule.create(options.clock, options.snapshots, () => this.post({ kind: 'snapshot' }))
  }

  get #stream (): string {
    return this.options.stream ?? CONFIG_STREAM
  }

  static create<State> (options: ConfigFollowerOptions<State>): ConfigFollower<State> {
    return new ConfigFollower(options)
  }

  /** Loads the newest state that the log or a peer has, then follows the stream. */
  start (): void {
    this.#schedule.restart()
    this.post({ kind: 'start' })
  }

  override stop (): void {
    super.stop()
    this.#follower.stop()
    this.#schedule.stop()
  }

  /** State in force; undefined until this host is ready. */
  current (): State | undefined {
    return this.#serving ? this.#state : undefined
  }

  /** Canonical snapshot for peers; undefined if it is not newer than `newerThanOffset`. */
  snapshot (newerThanOffset: number): { offset: number, snapshot: unknown } | undefined {
    const state = this.current()
    if (state === undefined || this.#offset() <= newerThanOffset) return undefined
    return { offset: this.#offset(), snapshot: this.options.rule.toSnapshot(state) }
  }

  report (): FollowerReport {
    const { clock, rule } = this.options
    const state = this.current()
    const logAgeMs = this.#logAnsweredMs === undefined ? {} : { logAgeMs: clock.monotonicMs() - this.#logAnsweredMs }
    return {
      status: this.#status,
      ready: this.#serving,
      offset: this.#offset(),
      version: state === undefined ? 0 : rule.versionOf(state),
      ...logAgeMs
    }
  }

  /** Calls `listener` with the state in force and with each later version; returns a function that unsubscribes. */
  subscribe (listener: ConfigListener<State>): () => void {
    this.#listeners.add(listener)
    this.#notify(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Verdict on an edit, once this host, or the host whose snapshot it loaded, has read the edit from the log. */
  verdictOf (editId: string): EditVerdict | undefined {
    return this.#state === undefined ? undefined : this.options.rule.findVerdict(this.#state, editId)
  }

  /** Calls `listener` after each record that was applied; returns a function that unsubscribes. */
  onRecordRead (listener: () => void): () => void {
    this.#readListeners.add(listener)
    return () => { this.#readListeners.delete(listener) }
  }

  protected override async handle (message: Message): Promise<void> {
    if (message.kind === 'start') return this.#loadAndFollow()
    if (message.kind === 'snapshot') return this.#appendSnapshot()
    await this.#onEvent(message.event)
  }

  async #loadAndFollow (): Promise<void> {
    const { log, rule, peers, clock, logger } = this.options
    const start = await findStartPoint({ log, stream: this.#stream, rule, peers, offset: this.#offset(), onPeerState: (state) => this.#adoptPeerState(state) })
    if (this.stopped) return
    if (start.state !== undefined) this.#adopt(start.state)
    if (start.logAnswered) this.#logAnsweredMs = clock.monotonicMs()
    if (start.canFollow) return this.#follow(start.nextOffset)
    this.#setStatus(!this.#serving ? FollowerStatus.Starting : FollowerStatus.LogUnreachable)
    logger.warn('cannot follow the configuration yet: the log did not answer or has dropped records after this offset', { offset: this.#offset() })
    clock.setTimer(this.options.retryMs ?? DEFAULT_RETRY_MS, () => this.post({ kind: 'start' }))
  }

  #follow (nextOffset: number): void {
    this.#state ??= this.options.rule.empty()
    if (this.#offset() + 1 >= nextOffset) this.#startServing()
    this.#setStatus(this.#offset() >= nextOffset ? FollowerStatus.LogBehind : FollowerStatus.Following)
    this.#follower.follow(this.#offset() + 1)
  }

  async #onEvent (event: StreamEvent): Promise<void> {
    if (event.kind === 'truncated') return this.#loadAndFollow()
    if (event.kind === 'failed') return this.#setStatus(this.#serving ? FollowerStatus.LogUnreachable : FollowerStatus.Starting)
    this.#logAnsweredMs = this.options.clock.monotonicMs()
    if (this.#status === FollowerStatus.UnknownRule) return
    const logBehind = event.nextOffset <= this.#offset()
    this.#setStatus(logBehind ? FollowerStatus.LogBehind : FollowerStatus.Following)
    for (const record of event.records) if (!this.#apply(record)) return
    if (this.#offset() + 1 >= event.nextOffset) this.#startServing()
  }

  /** Applies a record; returns false if no further record of the same page may be applied. */
  #apply (record: LogRecord): boolean {
    const { rule, logger } = this.options
    if (record.offset !== this.#offset() + 1) return record.offset <= this.#offset()
    const before = this.#state ?? rule.empty()
    const step = rule.apply(before, record)
    if (step.verdict === ConfigVerdict.UnknownRule) {
      logger.error('configuration needs a newer release; keeping the version in force', { offset: record.offset })
      this.#setStatus(FollowerStatus.UnknownRule)
      this.#startServing()
      this.#follower.stop()
      return false
    }
    if (rule.stateInRecord(record) !== undefined) this.#schedule.restart()
    this.#state = step.state
    for (const listener of [...this.#readListeners]) listener()
    if (rule.versionOf(step.state) !== rule.versionOf(before)) this.#notifyAll()
    return true
  }

  #adopt (state: State): void {
    if (this.#state !== undefined && this.options.rule.offsetOf(state) <= this.#offset()) return
    const changed = this.#state === undefined || this.options.rule.versionOf(state) !== this.options.rule.versionOf(this.#state)
    this.#state = state
    if (changed) this.#notifyAll()
  }

  /** Adopts a peer's state and serves it at once, since it was in force at the peer. */
  #adoptPeerState (state: State): void {
    this.#adopt(state)
    this.#startServing()
  }

  #startServing (): void {
    if (this.#serving || this.stopped) return
    this.#serving = true
    this.#notifyAll()
  }

  #notifyAll (): void {
    for (const listener of this.#listeners) this.#notify(listener)
  }

  #notify (listener: ConfigListener<State>): void {
    const state = this.current()
    if (state === undefined || this.options.rule.versionOf(state) === 0) return
    listener(state, this.options.rule.versionOf(state))
  }

  async #appendSnapshot (): Promise<void> {
    const { log, rule } = this.options
    this.#schedule.restart()
    if (!this.#serving || this.#state === undefined || this.#offset() === 0 || this.#status !== FollowerStatus.Following) return
    const result = await log.append(this.#stream, `snapshot-${this.#offset()}`, rule.snapshotRecord(this.#state))
    if (result.isErr()) this.options.logger.warn('configuration snapshot was not written', { reason: result.error.message })
  }

  #offset (): number {
    return this.#state === undefined ? 0 : this.options.rule.offsetOf(this.#state)
  }

  #setStatus (status: FollowerStatus): void {
    if (this.#status === FollowerStatus.UnknownRule) return
    this.#status = status
  }
}

/** Failure of work that needs a configuration, on a host that has none. */
export function notReadyFailure (): ReturnType<typeof createFailure> {
  return createFailure(ResultCode.NotReady, 'no configuration is in force on this host yet', { retryAfterMs: DEFAULT_RETRY_MS })
}
