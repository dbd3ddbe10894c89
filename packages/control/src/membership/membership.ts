/** Task that keeps a host's view of its peers: reads the host list, exchanges state with the hosts of its cells. */
import { Task, type Clock, type Logger, type Timer } from '@figloom/runtime'
import type { HostListClient, ListedHost } from '@figloom/clients'
import {
  applyHostList, applyMissed, applyPeerReport, createMembershipState, forgetDead, setDraining, viewAt
} from './membership-state.js'
import {
  DEFAULT_MEMBERSHIP_TIMES,
  type MembershipState, type MembershipTimes, type MembershipView, type PeerReport, type RunnerLoadRecord
} from './types.js'

/** Carries this host's report to a peer and brings back the peer's. */
export abstract class PeerExchange {
  /** Undefined when the peer did not answer in time. */
  abstract exchange (innerUrl: string, report: PeerReport): Promise<PeerReport | undefined>
}

export type MembershipOptions = {
  clock: Clock
  logger: Logger
  hostList: HostListClient
  exchange: PeerExchange
  /** This host at its start. */
  self: PeerReport
  times?: MembershipTimes
  /** Hosts to exchange state with: those that share a cell. All hosts by default. */
  neighbors?: (view: MembershipView) => string[]
}

type Message =
  /** `urgent`: tell every neighbor, whether it was heard lately or not. */
  | { kind: 'beat', urgent: boolean }
  | { kind: 'read-list' }
  | { kind: 'list', list: ListedHost[] }
  | { kind: 'report', report: PeerReport }
  | { kind: 'missed', host: string }
  | { kind: 'self', change: Partial<PeerReport> }
  | { kind: 'drain', runner: string, draining: boolean }
  | { kind: 'runners', runners: ReadonlySet<string> }
  | { kind: 'log-answered', atMs: number }

/** Age up to which a view is given again, in milliseconds: every lookup asks for one. */
const VIEW_AGE_MS = 50

export type MembershipListener = (view: MembershipView) => void

/** Owns the membership state; others see views of it. */
export class Membership extends Task<Message> {
  readonly #state: MembershipState
  readonly #times: MembershipTimes
  readonly #listeners = new Set<MembershipListener>()
  readonly #timers = new Map<string, Timer>()
  readonly #asked = new Set<string>()
  #view: MembershipView | undefined

  private constructor (private readonly options: MembershipOptions) {
    super((error) => options.logger.error('membership failed', { error: String(error) }))
    this.#state = createMembershipState(options.self)
    this.#times = options.times ?? DEFAULT_MEMBERSHIP_TIMES
  }

  static create (options: MembershipOptions): Membership {
    return new Membership(options)
  }

  start (): void {
    this.post({ kind: 'read-list' })
    this.post({ kind: 'beat', urgent: true })
  }

  override stop (): void {
    super.stop()
    for (const timer of this.#timers.values()) timer.cancel()
  }

  /** What is known now. */
  view (): MembershipView {
    const nowMs = this.options.clock.monotonicMs()
    if (this.#view === undefined || nowMs - this.#view.atMs >= VIEW_AGE_MS) this.#view = viewAt(this.#state, nowMs, this.#times)
    return this.#view
  }

  /** State for `RunnerHealth.barOf`. */
  state (): Readonly<MembershipState> {
    return this.#state
  }

  /** Loads of a runner as its peers last told them. */
  loadsOf (runner: string): RunnerLoadRecord[] {
    return [...this.#state.loads.get(runner)?.values() ?? []]
  }

  /** Forgets drains of runners that no pool names any more. */
  keepOnlyRunners (runners: ReadonlySet<string>): void {
    this.post({ kind: 'runners', runners })
  }

  /** Takes a peer's report in and returns this host's, for the inner protocol's ExchangeState. */
  onExchange (report: PeerReport): PeerReport {
    this.post({ kind: 'report', report })
    return this.#ownReport()
  }

  /** Changes what this host says of itself: cells, loads, configuration version, leaving. */
  update (change: Partial<Pick<PeerReport, 'leaving' | 'configVersion' | 'runners' | 'cells'>>): void {
    this.post({ kind: 'self', change })
  }

  /** Says that this host leaves, to all neighbors at once. */
  leave (): void {
    this.post({ kind: 'self', change: { leaving: true } })
    this.post({ kind: 'beat', urgent: true })
  }

  /** Drains a runner, or takes that back; told to all neighbors at once. */
  drainRunner (runner: string, draining = true): void {
    this.post({ kind: 'drain', runner, draining })
    this.post({ kind: 'beat', urgent: true })
  }

  /** Notes that the log answered, from any of its readers. */
  logAnswered (): void {
    this.post({ kind: 'log-answered', atMs: this.options.clock.monotonicMs() })
  }

  /** Calls `listener` after each heartbeat, list and report; returns what ends that. */
  subscribe (listener: MembershipListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  protected override handle (message: Message): void {
    this.#view = undefined
    const nowMs = this.options.clock.monotonicMs()
    switch (message.kind) {
      case 'beat': return this.#beat(message.urgent)
      case 'read-list': this.#readList(); return
      case 'list': applyHostList(this.#state, message.list, nowMs); break
      case 'report': applyPeerReport(this.#state, message.report, nowMs, this.#times); break
      case 'missed': applyMissed(this.#state, message.host, nowMs); break
      case 'self': this.#state.self = { ...this.#state.self, ...message.change }; break
      case 'drain': setDraining(this.#state, message.runner, message.draining); break
      case 'runners': this.#keepOnly(message.runners); break
      case 'log-answered': this.#state.logAnsweredMs = message.atMs
    }
    this.#notify()
  }

  #keepOnly (runners: ReadonlySet<string>): void {
    for (const runner of this.#state.drains.keys()) if (!runners.has(runner)) this.#state.drains.delete(runner)
    for (const runner of this.#state.loads.keys()) if (!runners.has(runner)) this.#state.loads.delete(runner)
  }

  #beat (urgent: boolean): void {
    const nowMs = this.options.clock.monotonicMs()
    this.#again('beat', this.#times.heartbeatMs)
    forgetDead(this.#state, nowMs, this.#times)
    const view = this.view()
    const neighbors = this.options.neighbors?.(view) ?? view.hosts.filter(({ self }) => !self).map(({ host }) => host)
    for (const host of neighbors) if (urgent || !this.#heardLately(host, nowMs)) this.#exchangeWith(host)
    this.#notify()
  }

  /** An exchange carries both reports, so one a heartbeat and pair is enough. */
  #heardLately (host: string, nowMs: number): boolean {
    const heardMs = this.#state.hosts.get(host)?.heardMs
    return heardMs !== undefined && nowMs - heardMs < this.#times.heartbeatMs / 2
  }

  async #exchangeWith (host: string): Promise<void> {
    const record = this.#state.hosts.get(host)
    if (record === undefined || this.#asked.has(host)) return
    this.#asked.add(host)
    const report = await this.options.exchange.exchange(record.innerUrl, this.#ownReport()).catch(() => undefined)
    this.#asked.delete(host)
    if (report === undefined || report.host !== host) return this.post({ kind: 'missed', host })
    this.post({ kind: 'report', report })
  }

  async #readList (): Promise<void> {
    this.#again('read-list', Math.max(this.#times.listMs, this.#state.hosts.size * this.#times.listPerHostMs))
    const result = await this.options.hostList.list()
    if (result.isOk()) this.post({ kind: 'list', list: result.value })
  }

  #ownReport (): PeerReport {
    return { ...this.#state.self, drains: [...this.#state.drains.values()] }
  }

  #again (kind: 'beat' | 'read-list', delayMs: number): void {
    this.#timers.get(kind)?.cancel()
    const message: Message = kind === 'beat' ? { kind, urgent: false } : { kind }
    this.#timers.set(kind, this.options.clock.setTimer(delayMs, () => this.post(message)))
  }

  #notify (): void {
    if (this.#listeners.size === 0) return
    const view = this.view()
    for (const listener of this.#listeners) listener(view)
  }
}
