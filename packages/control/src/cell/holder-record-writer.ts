/** Appends the lease holder's records: settlements, observations, fence orders, planned and standby intents, and snapshots. */
import type { Clock, Logger } from '@figloom/runtime'
import { CopyState, OrderAction, type CellStep } from '@figloom/tables'
import { isAdmitted, toOrder, type AdmissionContext } from './admission.js'
import { fencesToRaise } from './fences.js'
import type { AppendQueue } from './append-queue.js'
import { modelKeyOf } from './ledger.js'
import { DeliveryStatus, type CellOrder, type CellRecordBody } from './records.js'
import type { TimedReport } from './settlement.js'
import type { LocalCellState } from './local-cell-state.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'
import { planStandby, toTentativeIntent } from './standby.js'
import type { CellConfig, CellView, Planner } from './types.js'

export type HolderRecordWriterOptions = {
  clock: Clock
  logger: Logger
  appendQueue: AppendQueue
  localState: LocalCellState
  planner: Planner
  /** Whether the order was handed to the order sender. */
  isSentOrQueued: (intent: Intent) => boolean
  /** Minimum time between two orders that only raise the fence of the same engine. */
  fenceEveryMs: number
  /** Time after which an accepted order without visible effect is withdrawn, so that it may be ordered again. */
  acceptedTimeoutMs: number
  snapshotEveryMs: number
  /** How long the planner must have no steps before standby intents are written. */
  standbyIdleMs: number
  /** Maximum number of pending standby intents; 0 disables them. */
  standbyLimit: number
}

/** Writes the holder's records in each term of this host; `startTerm` resets it for a new term. */
export class HolderRecordWriter {
  #nextLoadMs = 0
  #snapshotDueMs = 0
  #idleSinceMs = 0
  /** Steps that wait until standby intents are withdrawn. */
  readonly #deferredSteps: CellStep[] = []
  readonly #examined = new Map<string, { timedReport: TimedReport, offset: number, version: number }>()
  readonly #fenceOrderMs = new Map<string, number>()

  private constructor (private readonly options: HolderRecordWriterOptions) {}

  static create (options: HolderRecordWriterOptions): HolderRecordWriter {
    return new HolderRecordWriter(options)
  }

  /** Starts a term. Loads are delayed by one interval because the previous holder may have just started one. */
  startTerm (config: CellConfig | undefined): void {
    this.#nextLoadMs = this.#nowMs + (config?.share.loadStartEveryMs ?? 0)
    this.#snapshotDueMs = this.#nowMs
    this.#idleSinceMs = this.#nowMs
    this.#deferredSteps.length = 0
  }

  /** Records that the stream has a new snapshot. */
  noteSnapshot (): void {
    this.#snapshotDueMs = this.#nowMs + this.options.snapshotEveryMs
  }

  /** Appends what the newest reports settle, or what they show that the stream lacks. */
  settle (state: CellState): void {
    const { appendQueue, localState } = this.options
    const claim = state.claim
    if (claim === undefined) return
    for (const runner of localState.orderableRunners(state).values()) {
      const observed = localState.tracker.observedOf(runner.spec)
      if (runner.timedReport === undefined || observed === undefined || this.#isExamined(state, runner.spec.name, runner.timedReport)) continue
      if (appendQueue.has((body) => (body.kind === 'settled' || body.kind === 'observed') && body.observed.name === observed.name)) continue
      const intents = localState.tracker.settlementsOf(state, runner.spec)
      if (intents.length > 0) appendQueue.append({ kind: 'settled', claim: claim.offset, intents, observed })
      else if (localState.tracker.needsObservation(state, runner.spec)) appendQueue.append({ kind: 'observed', claim: claim.offset, observed })
      else this.#examined.set(runner.spec.name, { timedReport: runner.timedReport, offset: state.offset, version: localState.tracker.version })
    }
  }

  /** Whether the same report settled nothing before, and neither the stream nor the tracker changed since. */
  #isExamined (state: CellState, runner: string, timedReport: TimedReport): boolean {
    const examined = this.#examined.get(runner)
    return examined?.timedReport === timedReport && examined.offset === state.offset && examined.version === this.options.localState.tracker.version
  }

  /** Raises the fence of engines that may still receive an order whose outcome is unknown. */
  raiseFences (state: CellState): void {
    const { localState, fenceEveryMs } = this.options
    const runners = localState.orderableRunners(state).values()
    for (const order of fencesToRaise(state, runners, (runner, instance) => localState.tracker.fenceOf(runner, instance))) {
      const dueMs = (this.#fenceOrderMs.get(order.runner) ?? -Infinity) + fenceEveryMs
      if (this.#nowMs < dueMs || this.#hasPendingIntent()) continue
      this.#fenceOrderMs.set(order.runner, this.#nowMs)
      this.#appendIntent(state, order, false)
    }
  }

  /** Withdraws accepted orders that have had no effect for `acceptedTimeoutMs`, so that they may be ordered again. */
  withdrawIneffective (state: CellState): void {
    const { appendQueue, localState, acceptedTimeoutMs } = this.options
    for (const intent of state.intents) {
      const answer = localState.tracker.answerOf(intent.offset)
      const timedReport = localState.tracker.reportOf(intent.order.runner)
      const isOwn = intent.claim === state.claim?.offset && endOffsetOf(intent) === undefined
      if (!isOwn || answer?.outcome !== 'accepted' || timedReport === undefined) continue
      if (timedReport.takenMs < answer.atMs + acceptedTimeoutMs || isVisible(intent, timedReport.report.copies)) continue
      if (appendQueue.isWithdrawing(intent.offset)) continue
      appendQueue.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word: DeliveryStatus.Answered })
    }
  }

  /** Writes intents for the planner's steps that pass admission; returns the standby intents that a step asks to send. */
  plan (state: CellState, view: CellView): Intent[] {
    const { localState, planner } = this.options
    const config = localState.config
    if (config === undefined || this.#hasPendingIntent() || this.options.appendQueue.has(({ kind }) => kind === 'withdrawn')) return []
    const steps = [...this.#deferredSteps.splice(0), ...unloadStepsOfRemovedRunners(view), ...planner.plan(view)]
    if (steps.length > 0) this.#idleSinceMs = this.#nowMs
    const context = localState.admissionContext(state, config, this.#nowMs >= this.#nextLoadMs)
    const standbyToSend = steps.flatMap((step) => this.#handleStep(state, step, context) ?? [])
    if (this.#nowMs - this.#idleSinceMs >= this.options.standbyIdleMs) this.#appendStandby(state, context)
    return standbyToSend
  }

  /** Appends a snapshot of the state at the start of a term and when the newest one is older than `snapshotEveryMs`. */
  snapshot (state: CellState): void {
    const { appendQueue } = this.options
    if (this.#nowMs < this.#snapshotDueMs || appendQueue.has(({ kind }) => kind === 'snapshot')) return
    appendQueue.append({ kind: 'snapshot', state })
  }

  /** Handles one step: returns its standby intent to be sent, withdraws standby intents in its way, or writes its intent. */
  #handleStep (state: CellState, step: CellStep, context: AdmissionContext): Intent | undefined {
    const order = toOrder(step, context.config)
    if (order === undefined) return undefined
    const standby = this.#ownStandby(state, order)
    if (standby !== undefined && order.action === OrderAction.Load) return context.mayStartLoad ? this.#startLoad(context, standby) : undefined
    if (!isAdmitted(order, context)) {
      if (this.#withdrawStandbyFor(state, order, context)) this.#deferredSteps.push(step)
      return undefined
    }
    if (order.action === OrderAction.Load) this.#startLoad(context)
    context.intents = [...context.intents, toTentativeIntent(order)]
    this.#appendIntent(state, order, false)
    return undefined
  }

  #startLoad<T> (context: AdmissionContext, result?: T): T | undefined {
    context.mayStartLoad = false
    this.#nextLoadMs = this.#nowMs + context.config.share.loadStartEveryMs
    return result
  }

  /** Withdraws own standby intents of the runner if the order is admitted without them; returns whether it is. */
  #withdrawStandbyFor (state: CellState, order: CellOrder, context: AdmissionContext): boolean {
    const { appendQueue } = this.options
    const isReclaimable = (intent: Intent) => this.isOwnStandby(state, intent) && intent.order.runner === order.runner
    const reclaimable = state.intents.filter(isReclaimable)
    if (reclaimable.length === 0) return false
    const contextWithout = { ...context, intents: context.intents.filter((intent) => !isReclaimable(intent)) }
    if (!isAdmitted(order, contextWithout)) return false
    for (const intent of reclaimable) {
      if (appendQueue.isWithdrawing(intent.offset)) continue
      appendQueue.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word: DeliveryStatus.NeverSent })
    }
    return true
  }

  #appendStandby (state: CellState, context: AdmissionContext): void {
    const pending = state.intents.filter(({ standby }) => standby).length
    const orders = planStandby(context, this.options.standbyLimit - pending)
    for (const order of orders) this.#appendIntent(state, order, true)
  }

  /** Whether the intent is an unsent standby intent of this term that is not being withdrawn. */
  isOwnStandby (state: CellState, intent: Intent): boolean {
    if (!intent.standby || intent.claim !== state.claim?.offset || endOffsetOf(intent) !== undefined) return false
    return !this.options.isSentOrQueued(intent) && !this.options.appendQueue.isWithdrawing(intent.offset)
  }

  #ownStandby (state: CellState, order: CellOrder): Intent | undefined {
    return state.intents.find((intent) => this.isOwnStandby(state, intent) &&
      intent.order.runner === order.runner && modelKeyOf(intent.order) === modelKeyOf(order))
  }

  #appendIntent (state: CellState, order: CellOrder, standby: boolean): void {
    if (state.claim === undefined) return
    const body: CellRecordBody = { kind: 'intent', claim: state.claim.offset, order, standby }
    const recordId = this.options.appendQueue.append(body)
    this.options.logger.info('order planned', { recordId, runner: order.runner, action: order.action, model: order.model, version: order.version, standby })
  }

  #hasPendingIntent (): boolean {
    return this.options.appendQueue.has(({ kind }) => kind === 'intent')
  }

  get #nowMs (): number {
    return this.options.clock.monotonicMs()
  }
}

/** Unloads the copies of runners that the tables no longer name. */
function unloadStepsOfRemovedRunners (view: CellView): CellStep[] {
  return view.runners
    .filter(({ name }) => view.retiring.includes(name))
    .flatMap(({ name, copies }) => copies
      .filter(({ state, unsettled }) => state === CopyState.Resident && !unsettled)
      .map(({ model, version }) => ({ action: OrderAction.Unload, runner: name, model, version, addsMiB: 0, reason: 'runner left the tables' })))
}

/** Whether the reported copies show the order's effect in progress or complete. */
function isVisible ({ order }: Intent, copies: { model: string, version: string, state: CopyState, adapters: { name: string }[] }[]): boolean {
  const copy = copies.find((candidate) => modelKeyOf(candidate) === modelKeyOf(order))
  if (order.action === OrderAction.Unload) return copy?.state !== CopyState.Resident
  if (order.action === OrderAction.LoadAdapter) return copy?.adapters.some(({ name }) => name === order.adapter) === true
  return copy !== undefined
}
