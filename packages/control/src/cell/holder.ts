/**
 * The task of one cell on one host. It follows the cell's stream, claims the lease when its turn comes, and as the
 * holder writes intents, reads them back, sends the orders and settles them. Every host of the cell runs one.
 */
import type { LogRecord } from '@figloom/clients'
import { Task, type Timer } from '@figloom/runtime'
import type { StreamEvent } from '../streams/stream-follower.js'
import { createCellParts } from './cell-components.js'
import type { HolderDuties } from './holder-record-writer.js'
import { DEFAULT_CELL_TIMES, type CellHolderOptions, type CellTimes } from './holder-options.js'
import type { CellJournal } from './append-queue.js'
import type { LeaseWatch } from './lease-monitor.js'
import { DEFAULT_LEASE_SETTINGS, LeaseAction } from './lease.js'
import type { OrderRelease } from './order-scheduler.js'
import type { CopyEvent, OrderSender } from './order-sender.js'
import { parseCellRecord, type GoneEvidence, type Sender } from './records.js'
import type { ReportPoller } from './report-poller.js'
import { Retirement } from './retirement.js'
import type { CellSituation } from './local-cell-state.js'
import { holdsClaim, isVoid, type CellState } from './state.js'
import type { StreamReader } from './stream-reader.js'
import type { CellConfig, CellMessage, CellView } from './types.js'
import type { WordKeeper } from './delivery-reporter.js'

type InnerMessage = { type: 'tick' } | { type: 'stream', event: StreamEvent } | CopyEvent

/** Follows a cell and holds its lease when it can. */
export class CellHolder extends Task<CellMessage | InnerMessage> {
  readonly #times: CellTimes
  readonly #lease: LeaseWatch
  readonly #reader: StreamReader
  readonly #journal: CellJournal
  readonly #sender: OrderSender
  readonly #poller: ReportPoller
  readonly #situation: CellSituation
  readonly #duties: HolderDuties
  readonly #words: WordKeeper
  readonly #release: OrderRelease
  readonly #gone = new Map<string, { sender: Sender, evidence: GoneEvidence }>()
  #tenure: number | undefined
  #isViewOld = true
  #shownStatus = ''
  #retire: Retirement | undefined
  #timer: Timer | undefined

  private constructor (private readonly options: CellHolderOptions) {
    super(options.onFault ?? ((error) => options.logger.error('cell task failed', { cell: options.cell, error: String(error) })))
    this.#times = { ...DEFAULT_CELL_TIMES, ...options.times }
    const parts = createCellParts(options, this.#times, {
      postStream: (event) => this.post({ type: 'stream', event }),
      postCopy: (event) => this.post(event),
      postReport: (runner, report, askedMs) => this.post({ type: 'report', runner, report, askedMs }),
      isRetiring: () => this.#retire !== undefined
    })
    this.#lease = parts.lease
    this.#reader = parts.reader
    this.#journal = parts.journal
    this.#sender = parts.sender
    this.#poller = parts.poller
    this.#situation = parts.situation
    this.#duties = parts.duties
    this.#words = parts.words
    this.#release = parts.release
  }

  static create (options: CellHolderOptions): CellHolder {
    return new CellHolder(options)
  }

  /** Starts to follow the stream. */
  start (): void {
    this.#reader.start()
    this.#tickLater()
  }

  override stop (): void {
    super.stop()
    this.#timer?.cancel()
    this.#reader.stop()
    this.#journal.stop()
    this.#sender.stop()
  }

  /** The state of the stream, for peers; undefined until it is whole. */
  get state (): CellState | undefined {
    return this.#reader.state
  }

  /** The cell as this host knows it; undefined until the stream was read. */
  get view (): CellView | undefined {
    const state = this.#reader.state
    if (state === undefined) return undefined
    const lease = { isHolder: this.#lease.isHolder(state.claim), logReachable: this.#lease.isLogReachable }
    return this.#situation.viewOf(state, lease, (intent) => this.#duties.isOwnStandby(state, intent))
  }

  protected override handle (message: CellMessage | InnerMessage): void {
    if (message.type !== 'tick') this.#isViewOld = true
    switch (message.type) {
      case 'tick': return this.#tick()
      case 'stream': return this.#takeStream(message.event)
      case 'copy-answered': return this.#situation.books.takeAnswer(message.intent, message.answer)
      case 'copy-unanswered': return this.#words.noteUnanswered(message.intent)
      case 'report': return this.#takeReport(message)
      case 'config': return this.#takeConfig(message.config)
      case 'hosts': return this.#lease.setHosts(message.hosts)
      case 'suspect': return this.#lease.suspect(message.host, message.suspected)
      case 'health': return setMember(this.#situation.unhealthy, message.runner, !message.healthy)
      case 'draining': return setMember(this.#situation.draining, message.runner, message.draining)
      case 'sender-gone': this.#gone.set(message.sender.incarnation, message); return
      case 'peer-snapshot': return this.#takePeerState(message.state)
      case 'retire': this.#retire = Retirement.create({ self: this.options.self, journal: this.#journal, words: this.#words, onRetired: message.onRetired })
    }
  }

  #takeConfig (config: CellConfig): void {
    this.#situation.setConfig(config)
    this.#showView()
  }

  #takePeerState (peer: CellState): void {
    if (this.#reader.takePeerState(peer)) this.#lease.hear()
  }

  #takeReport ({ runner, report, askedMs }: Extract<CellMessage, { type: 'report' }>): void {
    this.#poller.noteAsked(runner, askedMs)
    const intents = this.#reader.state?.intents ?? []
    this.#situation.books.takeReport(runner, report, askedMs, this.options.clock.monotonicMs(), intents)
  }

  #takeStream (event: StreamEvent): void {
    this.#lease.noteRead(event.kind !== 'failed')
    const hadState = this.#reader.state !== undefined
    const records = this.#reader.take(event)
    if (!hadState) this.#lease.hear()
    for (const record of records) this.#readBack(record)
    const state = this.#reader.state
    if (state === undefined || (records.length === 0 && hadState)) return
    this.#situation.books.markRead(state.offset, this.options.clock.monotonicMs())
    this.#situation.books.forgetSettled(state)
    this.#journal.passOver(state.offset)
    this.#followTenure(state)
    this.#sendOrders(state)
    this.#showView()
  }

  #readBack (record: LogRecord): void {
    const body = parseCellRecord(record.body)
    const claim = this.#reader.state?.claim
    const pending = this.#journal.readBack(record.recordId)
    if (body === undefined || claim === undefined) return
    const isHolders = body.kind === 'claim' ? record.offset === claim.offset : 'claim' in body && body.claim === claim.offset
    if (body.kind === 'snapshot') this.#duties.noteSnapshot()
    if (!isHolders) return
    this.#lease.hear()
    if (pending?.firstSentMs !== undefined) this.#lease.readBack(pending.firstSentMs)
  }

  /** Starts a tenure with a claim of this host that won, ends it with another's. */
  #followTenure (state: CellState): void {
    const tenure = holdsClaim(state, this.options.self) ? state.claim?.offset : undefined
    if (tenure === this.#tenure) return
    this.#tenure = tenure
    this.#release.reset()
    this.#journal.dropWhere((body) => isVoid(state, body))
    this.options.logger.info(tenure === undefined ? 'lease lost' : 'lease held', { cell: this.options.cell, claim: state.claim?.offset })
    if (tenure !== undefined) this.#duties.begin(this.#situation.config)
  }

  #tick (): void {
    this.#tickLater()
    const state = this.#reader.state
    if (state === undefined) return
    this.#words.keep(state, this.#retire !== undefined)
    if (this.#retire !== undefined) return this.#retire.proceed(state)
    this.#act(state)
    this.#keepLease(state)
    this.#showView()
  }

  #act (state: CellState): void {
    if (this.#tenure === undefined) return
    this.#askReports(state)
    this.#sendOrders(state)
    if (!this.#lease.isHolder(state.claim) || !this.#lease.isLogReachable) return
    this.#duties.settle(state)
    this.#duties.giveUpAccepted(state)
    this.#duties.raiseFences(state)
    this.#recordGone(state)
    this.#duties.snapshot(state)
    const view = this.view
    if (view === undefined) return
    for (const intent of this.#duties.plan(state, view)) this.#release.release(state, intent)
  }

  #keepLease (state: CellState): void {
    const action = this.#lease.decide(state.claim)
    this.#journal.dropWhere((body) => body.kind === 'claim' && isVoid(state, body))
    if (action === LeaseAction.Claim && !this.#journal.has(({ kind }) => kind === 'claim')) {
      this.#journal.append({ kind: 'claim', sender: this.options.self, succeeds: state.claim?.offset ?? 0, leaseMs: (this.options.lease ?? DEFAULT_LEASE_SETTINGS).leaseMs })
    }
    const isRenewing = this.#journal.has((body) => 'claim' in body && body.claim === state.claim?.offset && body.kind !== 'withdrawn')
    if (action === LeaseAction.Renew && state.claim !== undefined && !isRenewing) {
      this.#journal.append({ kind: 'renew', claim: state.claim.offset })
    }
  }

  #sendOrders (state: CellState): void {
    if (this.#tenure === undefined || this.#retire !== undefined) return
    this.#release.releaseAll(state, this.#tenure)
    if (this.#lease.logFailedMs >= this.#times.standbyAfterMs) this.#release.releaseStandby(state, this.#tenure)
  }

  #askReports (state: CellState): void {
    const busy = new Set(state.intents.filter(({ standby }) => !standby).map(({ order }) => order.runner))
    this.#poller.askDue([...this.#situation.orderableRunners(state).values()].map(({ spec, taken }) => ({
      name: spec.name, url: spec.url, busy: this.#release.isWaiting || busy.has(spec.name) || taken === undefined
    })))
  }

  #recordGone (state: CellState): void {
    const claim = state.claim
    if (claim === undefined) return
    for (const { sender, evidence } of this.#gone.values()) {
      const isKnown = state.goneIncarnations.includes(sender.incarnation) ||
        this.#journal.has((body) => body.kind === 'gone' && body.sender.incarnation === sender.incarnation)
      const isNeeded = state.intents.some((intent) => intent.sender.incarnation === sender.incarnation)
      if (!isKnown && isNeeded) this.#journal.append({ kind: 'gone', claim: claim.offset, sender, evidence })
    }
  }

  #showView (): void {
    const status = `${this.#lease.isHolder(this.#reader.state?.claim)} ${this.#lease.isLogReachable}`
    if (!this.#isViewOld && status === this.#shownStatus) return
    const view = this.view
    if (view === undefined) return
    this.#isViewOld = false
    this.#shownStatus = status
    this.options.onView?.(view)
  }

  #tickLater (): void {
    this.#timer = this.options.clock.setTimer(this.#times.tickMs, () => this.post({ type: 'tick' }))
  }
}

function setMember (set: Set<string>, name: string, isMember: boolean): void {
  if (isMember) set.add(name)
  else set.delete(name)
}
