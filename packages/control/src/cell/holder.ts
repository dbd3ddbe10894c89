/**
 * The task of one cell on one host; every host of the cell runs one. It follows the cell's stream and claims the lease when
 * it is this host's turn. As the holder it writes intents, reads them back, sends the orders and settles them.
 */
import type { LogRecord } from '@figloom/clients'
import { Task, type Timer } from '@figloom/runtime'
import type { StreamEvent } from '../streams/stream-follower.js'
import { createCellComponents } from './cell-components.js'
import type { HolderRecordWriter } from './holder-record-writer.js'
import { DEFAULT_CELL_TIMES, type CellHolderOptions, type CellTimes } from './holder-options.js'
import type { AppendQueue } from './append-queue.js'
import type { LeaseMonitor } from './lease-monitor.js'
import { DEFAULT_LEASE_SETTINGS, LeaseAction } from './lease.js'
import type { OrderScheduler } from './order-scheduler.js'
import type { OrderEvent, OrderSender } from './order-sender.js'
import { parseCellRecord, type GoneEvidence, type Sender } from './records.js'
import type { ReportPoller } from './report-poller.js'
import { Retirement } from './retirement.js'
import type { LocalCellState } from './local-cell-state.js'
import { holdsClaim, isVoid, type CellState } from './state.js'
import type { StreamReader } from './stream-reader.js'
import type { CellConfig, CellMessage, CellView } from './types.js'
import type { DeliveryReporter } from './delivery-reporter.js'

type InternalMessage = { type: 'tick' } | { type: 'stream', event: StreamEvent } | OrderEvent

/** Follows a cell's stream and holds the cell's lease when it can. */
export class CellHolder extends Task<CellMessage | InternalMessage> {
  readonly #times: CellTimes
  readonly #lease: LeaseMonitor
  readonly #reader: StreamReader
  readonly #appendQueue: AppendQueue
  readonly #sender: OrderSender
  readonly #poller: ReportPoller
  readonly #localState: LocalCellState
  readonly #recordWriter: HolderRecordWriter
  readonly #deliveryReporter: DeliveryReporter
  readonly #scheduler: OrderScheduler
  readonly #goneSenders = new Map<string, { sender: Sender, evidence: GoneEvidence }>()
  #term: number | undefined
  #isViewStale = true
  #publishedStatus = ''
  #retirement: Retirement | undefined
  #timer: Timer | undefined

  private constructor (private readonly options: CellHolderOptions) {
    super(options.onFault ?? ((error) => options.logger.error('cell task failed', { cell: options.cell, error: String(error) })))
    this.#times = { ...DEFAULT_CELL_TIMES, ...options.times }
    const components = createCellComponents(options, this.#times, {
      postStream: (event) => this.post({ type: 'stream', event }),
      postOrderEvent: (event) => this.post(event),
      postReport: (runner, report, requestedMs) => this.post({ type: 'report', runner, report, requestedMs }),
      isRetiring: () => this.#retirement !== undefined
    })
    this.#lease = components.lease
    this.#reader = components.reader
    this.#appendQueue = components.appendQueue
    this.#sender = components.sender
    this.#poller = components.poller
    this.#localState = components.localState
    this.#recordWriter = components.recordWriter
    this.#deliveryReporter = components.deliveryReporter
    this.#scheduler = components.scheduler
  }

  static create (options: CellHolderOptions): CellHolder {
    return new CellHolder(options)
  }

  /** Starts to follow the stream. */
  start (): void {
    this.#reader.start()
    this.#scheduleTick()
  }

  override stop (): void {
    super.stop()
    this.#timer?.cancel()
    this.#reader.stop()
    this.#appendQueue.stop()
    this.#sender.stop()
  }

  /** State of the stream, for peers; undefined until it is complete. */
  get state (): CellState | undefined {
    return this.#reader.state
  }

  /** The cell as this host knows it; undefined until the stream has been read. */
  get view (): CellView | undefined {
    const state = this.#reader.state
    if (state === undefined) return undefined
    const lease = { isHolder: this.#lease.isHolder(state.claim), logReachable: this.#lease.isLogReachable }
    return this.#localState.viewOf(state, lease, (intent) => this.#recordWriter.isOwnStandby(state, intent))
  }

  protected override handle (message: CellMessage | InternalMessage): void {
    if (message.type !== 'tick') this.#isViewStale = true
    switch (message.type) {
      case 'tick': return this.#tick()
      case 'stream': return this.#handleStreamEvent(message.event)
      case 'order-answered': return this.#localState.tracker.addAnswer(message.intent, message.answer)
      case 'order-unanswered': return this.#deliveryReporter.noteUnanswered(message.intent)
      case 'report': return this.#handleReport(message)
      case 'config': return this.#handleConfig(message.config)
      case 'hosts': return this.#lease.setHosts(message.hosts)
      case 'suspect': return this.#lease.setSuspected(message.host, message.suspected)
      case 'health': return setMember(this.#localState.unhealthy, message.runner, !message.healthy)
      case 'draining': return setMember(this.#localState.draining, message.runner, message.draining)
      case 'sender-gone': this.#goneSenders.set(message.sender.incarnation, message); return
      case 'peer-snapshot': return this.#handlePeerState(message.state)
      case 'retire': this.#retirement = Retirement.create({
        self: this.options.self, appendQueue: this.#appendQueue, deliveryReporter: this.#deliveryReporter, onRetired: message.onRetired
      })
    }
  }

  #handleConfig (config: CellConfig): void {
    this.#localState.setConfig(config)
    this.#publishView()
  }

  #handlePeerState (peer: CellState): void {
    if (this.#reader.adoptPeerState(peer)) this.#lease.noteHolderRecord()
  }

  #handleReport ({ runner, report, requestedMs }: Extract<CellMessage, { type: 'report' }>): void {
    this.#poller.notePolled(runner, requestedMs)
    const intents = this.#reader.state?.intents ?? []
    this.#localState.tracker.addReport(runner, report, requestedMs, this.options.clock.monotonicMs(), intents)
  }

  #handleStreamEvent (event: StreamEvent): void {
    this.#lease.noteLogRead(event.kind !== 'failed')
    const hadState = this.#reader.state !== undefined
    const records = this.#reader.apply(event)
    if (!hadState) this.#lease.noteHolderRecord()
    for (const record of records) this.#handleRecord(record)
    const state = this.#reader.state
    if (state === undefined || (records.length === 0 && hadState)) return
    this.#localState.tracker.noteReadPosition(state.offset, this.options.clock.monotonicMs())
    this.#localState.tracker.forgetSettled(state)
    this.#appendQueue.removeThrough(state.offset)
    this.#updateTerm(state)
    this.#sendOrders(state)
    this.#publishView()
  }

  #handleRecord (record: LogRecord): void {
    const body = parseCellRecord(record.body)
    const claim = this.#reader.state?.claim
    const pending = this.#appendQueue.confirmRead(record.recordId)
    if (body === undefined || claim === undefined) return
    const isHolderRecord = body.kind === 'claim' ? record.offset === claim.offset : 'claim' in body && body.claim === claim.offset
    if (body.kind === 'snapshot') this.#recordWriter.noteSnapshot()
    if (!isHolderRecord) return
    this.#lease.noteHolderRecord()
    if (pending?.firstSentMs !== undefined) this.#lease.noteOwnRecord(pending.firstSentMs)
  }

  /** Starts a term when a claim of this host takes effect and ends it when another host's does. */
  #updateTerm (state: CellState): void {
    const term = holdsClaim(state, this.options.self) ? state.claim?.offset : undefined
    if (term === this.#term) return
    this.#term = term
    this.#scheduler.reset()
    this.#appendQueue.dropMatching((body) => isVoid(state, body))
    this.options.logger.info(term === undefined ? 'lease lost' : 'lease held', { cell: this.options.cell, claim: state.claim?.offset })
    if (term !== undefined) this.#recordWriter.startTerm(this.#localState.config)
  }

  #tick (): void {
    this.#scheduleTick()
    const state = this.#reader.state
    if (state === undefined) return
    this.#deliveryReporter.reportDue(state, this.#retirement !== undefined)
    if (this.#retirement !== undefined) return this.#retirement.proceed(state)
    this.#runHolderDuties(state)
    this.#maintainLease(state)
    this.#publishView()
  }

  #runHolderDuties (state: CellState): void {
    if (this.#term === undefined) return
    this.#pollReports(state)
    this.#sendOrders(state)
    if (!this.#lease.isHolder(state.claim) || !this.#lease.isLogReachable) return
    this.#recordWriter.settle(state)
    this.#recordWriter.withdrawIneffective(state)
    this.#recordWriter.raiseFences(state)
    this.#recordGone(state)
    this.#recordWriter.snapshot(state)
    const view = this.view
    if (view === undefined) return
    for (const intent of this.#recordWriter.plan(state, view)) this.#scheduler.send(state, intent)
  }

  #maintainLease (state: CellState): void {
    const action = this.#lease.decide(state.claim)
    this.#appendQueue.dropMatching((body) => body.kind === 'claim' && isVoid(state, body))
    if (action === LeaseAction.Claim && !this.#appendQueue.has(({ kind }) => kind === 'claim')) {
      this.#appendQueue.append({
        kind: 'claim',
        sender: this.options.self,
        succeeds: state.claim?.offset ?? 0,
        leaseMs: (this.options.lease ?? DEFAULT_LEASE_SETTINGS).leaseMs
      })
    }
    const isRenewing = this.#appendQueue.has((body) => 'claim' in body && body.claim === state.claim?.offset && body.kind !== 'withdrawn')
    if (action === LeaseAction.Renew && state.claim !== undefined && !isRenewing) {
      this.#appendQueue.append({ kind: 'renew', claim: state.claim.offset })
    }
  }

  #sendOrders (state: CellState): void {
    if (this.#term === undefined || this.#retirement !== undefined) return
    this.#scheduler.sendReady(state, this.#term)
    if (this.#lease.logOutageMs >= this.#times.standbyAfterMs) this.#scheduler.sendDueStandby(state, this.#term)
  }

  #pollReports (state: CellState): void {
    const busy = new Set(state.intents.filter(({ standby }) => !standby).map(({ order }) => order.runner))
    this.#poller.pollDue([...this.#localState.orderableRunners(state).values()].map(({ spec, timedReport }) => ({
      name: spec.name, url: spec.url, busy: this.#scheduler.hasWaitingOrders || busy.has(spec.name) || timedReport === undefined
    })))
  }

  #recordGone (state: CellState): void {
    const claim = state.claim
    if (claim === undefined) return
    for (const { sender, evidence } of this.#goneSenders.values()) {
      const isKnown = state.goneIncarnations.includes(sender.incarnation) ||
        this.#appendQueue.has((body) => body.kind === 'gone' && body.sender.incarnation === sender.incarnation)
      const isNeeded = state.intents.some((intent) => intent.sender.incarnation === sender.incarnation)
      if (!isKnown && isNeeded) this.#appendQueue.append({ kind: 'gone', claim: claim.offset, sender, evidence })
    }
  }

  #publishView (): void {
    const status = `${this.#lease.isHolder(this.#reader.state?.claim)} ${this.#lease.isLogReachable}`
    if (!this.#isViewStale && status === this.#publishedStatus) return
    const view = this.view
    if (view === undefined) return
    this.#isViewStale = false
    this.#publishedStatus = status
    this.options.onView?.(view)
  }

  #scheduleTick (): void {
    this.#timer = this.options.clock.setTimer(this.#times.tickMs, () => this.post({ type: 'tick' }))
  }
}

function setMember (set: Set<string>, name: string, isMember: boolean): void {
  if (isMember) set.add(name)
  else set.delete(name)
}
