/** Task that maintains a host's view of its peers: it reads the host list and exchanges reports with the hosts of its cells. */
import { Task, type Clock, type Logger, type Timer } from '@figloom/runtime'
import type { HostListClient, ListedHost } from '@figloom/clients'
import {
  applyHostList, applyFailedExchange, applyPeerReport, createMembershipState, removeDeadHosts, setDraining, viewAt
} from './membership-state.js'
import {
  DEFAULT_MEMBERSHIP_TIMES,
  type MembershipState, type MembershipTimes, type MembershipView, type PeerReport, type RunnerLoadRecord
} from './types.js'

/** Sends this host's report to a peer and returns the peer's report. */
export abstract class PeerExchange {
  /** Returns undefined if the peer did not answer in time. */
  abstract exchange (innerUrl: string, report: PeerReport): Promise<PeerReport | undefined>
}

export type MembershipOptions = {
  clock: Clock
  logger: Logger
  hostList: HostListClient
  exchange: PeerExchange
  /** Report of this host at its start. */
  self: PeerReport
  times?: MembershipTimes
  /** Hosts to exchange reports with, those that share a cell; all hosts by default. */
  neighbors?: (view: MembershipView) => string[]
}

type Message =
  /** `urgent`: exchange reports with every neighbor, even if its report was received recently. */
  | { kind: 'heartbeat', urgent: boolean }
  | { kind: 'read-list' }
  | { kind: 'list', list: ListedHost[] }
  | { kind: 'report', report: PeerReport }
  | { kind: 'exchange-failed', host: string }
  | { kind: 'self', change: Partial<PeerReport> }
  | { kind: 'drain', runner: string, draining: boolean }
  | { kind: 'runners', runners: ReadonlySet<string> }
  | { kind: 'log-answered', atMs: number }

/** Age up to which a view is reused, in milliseconds, since every lookup needs one. */
const MAX_VIEW_AGE_MS = 50

export type MembershipListener = (view: MembershipView) => void

/** Owns the membership state; other parts get views of it. */
export class Membership extends Task<Message> {
  readonly #state: MembershipState
  readonly #times: MembershipTimes
  readonly #listeners = new Set<MembershipListener>()
  readonly #timers = new Map<string, Timer>()
  readonly #exchanging = new Set<string>()
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
    this.post({ kind: 'heartbeat', urgent: true })
  }

  override stop (): void {
    super.stop()
    for (const timer of this.#timers.values()) timer.cancel()
  }

  /** Present view. */
  view (): MembershipView {
    const nowMs = this.options.clock.monotonicMs()
    if (this.#view === undefined || nowMs - this.#view.atMs >= MAX_VIEW_AGE_MS) this.#view = viewAt(this.#state, nowMs, this.#times)
    return this.#view
  }

  /** State for `RunnerHealth`; not to be changed. */
  state (): Readonly<MembershipState> {
    return this.#state
  }

  /** Load of a runner as each peer last reported it. */
  loadsOf (runner: string): RunnerLoadRecord[] {
    return [...this.#state.loads.get(runner)?.values() ?? []]
  }

  /** Removes drains and loads of all other runners, which no pool contains any more. */
  retainRunners (runners: ReadonlySet<string>): void {
    this.post({ kind: 'runners', runners })
  }

  /** Handles a peer's report and returns this host's, for the inner protocol's ExchangeState. */
  onExchange (report: PeerReport): PeerReport {
    this.post({ kind: 'report', report })
    return this.#ownReport()
  }

  /** Changes this host's own report. */
  update (change: Partial<Pick<PeerReport, 'leaving' | 'configVersion' | 'runners' | 'cells'>>): void {
    this.post({ kind: 'self', change })
  }

  /** Reports to all neighbors immediately that this host is leaving. */
  leave (): void {
    this.post({ kind: 'self', change: { leaving: true } })
    this.post({ kind: 'heartbeat', urgent: true })
  }

  /** Starts or ends the drain of a runner and reports it to all neighbors immediately. */
  drainRunner (runner: string, draining = true): void {
    this.post({ kind: 'drain', runner, draining })
    this.post({ kind: 'heartbeat', urgent: true })
  }

  /** Records that the log answered; called by every reader of the log. */
  recordLogAnswer (): void {
    this.post({ kind: 'log-answered', atMs: this.options.clock.monotonicMs() })
  }

  /** Calls `listener` after each change and each heartbeat; returns a function that unsubscribes. */
  subscribe (listener: MembershipListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  protected override handle (message: Message): void {
    this.#view = undefined
    const nowMs = this.options.clock.monotonicMs()
    switch (message.kind) {
      case 'heartbeat': return this.#sendHeartbeats(message.urgent)
      case 'read-list': this.#readList(); return
      case 'list': applyHostList(this.#state, message.list, nowMs); break
      case 'report': applyPeerReport(this.#state, message.report, nowMs, this.#times); break
      case 'exchange-failed': applyFailedExchange(this.#state, message.host, nowMs); break
      case 'self': this.#state.self = { ...this.#state.self, ...message.change }; break
      case 'drain': setDraining(this.#state, message.runner, message.draining); break
      case 'runners': this.#retainRunners(message.runners); break
      case 'log-answered': this.#state.logAnsweredMs = message.atMs
    }
    this.#notify()
  }

  #retainRunners (runners: ReadonlySet<string>): void {
    for (const runner of this.#state.drains.keys()) if (!runners.has(runner)) this.#state.drains.delete(runner)
    for (const runner of this.#state.loads.keys()) if (!runners.has(runner)) this.#state.loads.delete(runner)
  }

  #sendHeartbeats (urgent: boolean): void {
    const nowMs = this.options.clock.monotonicMs()
    this.#schedule('heartbeat', this.#times.heartbeatMs)
    removeDeadHosts(this.#state, nowMs, this.#times)
    const view = this.view()
    const neighbors = this.options.neighbors?.(view) ?? view.hosts.filter(({ self }) => !self).map(({ host }) => host)
    for (const host of neighbors) if (urgent || !this.#receivedRecently(host, nowMs)) this.#exchangeWith(host)
    this.#notify()
  }

  /** An exchange carries both hosts' reports, so a pair of hosts needs only one in each heartbeat interval. */
  #receivedRecently (host: string, nowMs: number): boolean {
    const lastReportMs = this.#state.hosts.get(host)?.lastReportMs
    return lastReportMs !== undefined && nowMs - lastReportMs < this.#times.heartbeatMs / 2
  }

  async #exchangeWith (host: string): Promise<void> {
    const record = this.#state.hosts.get(host)
    if (record === undefined || this.#exchanging.has(host)) return
    this.#exchanging.add(host)
    const report = await this.options.exchange.exchange(record.innerUrl, this.#ownReport()).catch(() => undefined)
    this.#exchanging.delete(host)
    if (report === undefined || report.host !== host) return this.post({ kind: 'exchange-failed', host })
    this.post({ kind: 'report', report })
  }

  async #readList (): Promise<void> {
    this.#schedule('read-list', Math.max(this.#times.minListIntervalMs, this.#state.hosts.size * this.#times.listIntervalPerHostMs))
    const result = await this.options.hostList.list()
    if (result.isOk()) this.post({ kind: 'list', list: result.value })
  }

  #ownReport (): PeerReport {
    return { ...this.#state.self, drains: [...this.#state.drains.values()] }
  }

  #schedule (kind: 'heartbeat' | 'read-list', delayMs: number): void {
    this.#timers.get(kind)?.cancel()
    const message: Message = kind === 'heartbeat' ? { kind, urgent: false } : { kind }
    this.#timers.set(kind, this.options.clock.setTimer(delayMs, () => this.post(message)))
  }

  #notify (): void {
    if (this.#listeners.size === 0) return
    const view = this.view()
    for (const listener of this.#listeners) listener(view)
  }
}
