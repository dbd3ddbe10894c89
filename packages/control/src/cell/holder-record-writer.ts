/** What the holder of a cell's lease appends: settlements, observations, fences, planned intents, standby and snapshots. */
import type { Clock, Logger } from '@figloom/runtime'
import { CopyState, OrderAction, type CellStep } from '@figloom/tables'
import { isAdmitted, toOrder, type AdmissionContext } from './admission.js'
import { fencesToRaise } from './fences.js'
import type { CellJournal } from './append-queue.js'
import { modelKeyOf } from './ledger.js'
import { Word, type CellOrder, type CellRecordBody } from './records.js'
import type { TakenReport } from './settlement.js'
import type { CellSituation } from './local-cell-state.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'
import { planStandby, toTentativeIntent } from './standby.js'
import type { CellConfig, CellView, Planner } from './types.js'

export type HolderDutiesOptions = {
  clock: Clock
  logger: Logger
  journal: CellJournal
  situation: CellSituation
  planner: Planner
  /** Whether the order was handed to the sender. */
  isSent: (intent: Intent) => boolean
  /** Pause between two orders that only raise the fence of one engine. */
  fenceEveryMs: number
  /** Time after which an accepted order without any visible effect no longer hinders another. */
  acceptedPatienceMs: number
  snapshotEveryMs: number
  /** How long the planner must want nothing before standby intents are written. */
  standbyQuietMs: number
  /** Standby intents that may be pending at once; 0 for none. */
  standbyLimit: number
}

/** Duties of one tenure and the next; `begin` starts a tenure. */
export class HolderDuties {
  #nextLoadMs = 0
  #snapshotDueMs = 0
  #quietSinceMs = 0
  /** Steps that wait for the withdrawal of standby intents. */
  readonly #waitingSteps: CellStep[] = []
  readonly #examined = new Map<string, { taken: TakenReport, offset: number, version: number }>()
  readonly #fencedMs = new Map<string, number>()

  private constructor (private readonly options: HolderDutiesOptions) {}

  static create (options: HolderDutiesOptions): HolderDuties {
    return new HolderDuties(options)
  }

  /** Starts a tenure: the former holder may have started a load just now. */
  begin (config: CellConfig | undefined): void {
    this.#nextLoadMs = this.#nowMs + (config?.share.loadStartEveryMs ?? 0)
    this.#snapshotDueMs = this.#nowMs
    this.#quietSinceMs = this.#nowMs
    this.#waitingSteps.length = 0
  }

  /** Notes that the stream has a new snapshot. */
  noteSnapshot (): void {
    this.#snapshotDueMs = this.#nowMs + this.options.snapshotEveryMs
  }

  /** Records what the newest reports settle or show. */
  settle (state: CellState): void {
    const { journal, situation } = this.options
    const claim = state.claim
    if (claim === undefined) return
    for (const runner of situation.orderableRunners(state).values()) {
      const observed = situation.books.observedOf(runner.spec)
      if (runner.taken === undefined || observed === undefined || this.#isExamined(state, runner.spec.name, runner.taken)) continue
      if (journal.has((body) => (body.kind === 'settled' || body.kind === 'observed') && body.observed.name === observed.name)) continue
      const intents = situation.books.settlementsOf(state, runner.spec)
      if (intents.length > 0) journal.append({ kind: 'settled', claim: claim.offset, intents, observed })
      else if (situation.books.needsObservation(state, runner.spec)) journal.append({ kind: 'observed', claim: claim.offset, observed })
      else this.#examined.set(runner.spec.name, { taken: runner.taken, offset: state.offset, version: situation.books.version })
    }
  }

  /** Whether the same report was found to settle nothing and nothing else was learned since. */
  #isExamined (state: CellState, runner: string, taken: TakenReport): boolean {
    const examined = this.#examined.get(runner)
    return examined?.taken === taken && examined.offset === state.offset && examined.version === this.options.situation.books.version
  }

  /** Raises the fence of engines that may still receive an order of unknown fate. */
  raiseFences (state: CellState): void {
    const { situation, fenceEveryMs } = this.options
    const runners = situation.orderableRunners(state).values()
    for (const order of fencesToRaise(state, runners, (runner, instance) => situation.books.fenceOf(runner, instance))) {
      const dueMs = (this.#fencedMs.get(order.runner) ?? -Infinity) + fenceEveryMs
      if (this.#nowMs < dueMs || this.#hasPendingIntent()) continue
      this.#fencedMs.set(order.runner, this.#nowMs)
      this.#write(state, order, false)
    }
  }

  /** Gives the word on accepted orders that had no effect for long, so that they may be tried again. */
  giveUpAccepted (state: CellState): void {
    const { journal, situation, acceptedPatienceMs } = this.options
    for (const intent of state.intents) {
      const answer = situation.books.answerOf(intent.offset)
      const taken = situation.books.reportOf(intent.order.runner)
      const isOwn = intent.claim === state.claim?.offset && endOffsetOf(intent) === undefined
      if (!isOwn || answer?.outcome !== 'accepted' || taken === undefined) continue
      if (taken.takenMs < answer.atMs + acceptedPatienceMs || isVisible(intent, taken.report.copies)) continue
      if (journal.isWithdrawing(intent.offset)) continue
      journal.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word: Word.Answered })
    }
  }

  /** Writes the intents of the planner's steps that are admitted; returns standby intents that a step asks for. */
  plan (state: CellState, view: CellView): Intent[] {
    const { situation, planner } = this.options
    const config = situation.config
    if (config === undefined || this.#hasPendingIntent() || this.options.journal.has(({ kind }) => kind === 'withdrawn')) return []
    const steps = [...this.#waitingSteps.splice(0), ...retirementSteps(view), ...planner.plan(view)]
    if (steps.length > 0) this.#quietSinceMs = this.#nowMs
    const context = situation.admissionContext(state, config, this.#nowMs >= this.#nextLoadMs)
    const wanted = steps.flatMap((step) => this.#take(state, step, context) ?? [])
    if (this.#nowMs - this.#quietSinceMs >= this.options.standbyQuietMs) this.#reserve(state, context)
    return wanted
  }

  /** Re-appends the state when the newest snapshot grows old. */
  snapshot (state: CellState): void {
    const { journal } = this.options
    if (this.#nowMs < this.#snapshotDueMs || journal.has(({ kind }) => kind === 'snapshot')) return
    journal.append({ kind: 'snapshot', state })
  }

  /** Takes one step: sends its standby intent, makes room, or writes its intent. */
  #take (state: CellState, step: CellStep, context: AdmissionContext): Intent | undefined {
    const order = toOrder(step, context.config)
    if (order === undefined) return undefined
    const standby = this.#ownStandby(state, order)
    if (standby !== undefined && order.action === OrderAction.Load) return context.mayStartLoad ? this.#startLoad(context, standby) : undefined
    if (!isAdmitted(order, context)) {
      if (this.#makeRoom(state, order, context)) this.#waitingSteps.push(step)
      return undefined
    }
    if (order.action === OrderAction.Load) this.#startLoad(context)
    context.intents = [...context.intents, toTentativeIntent(order)]
    this.#write(state, order, false)
    return undefined
  }

  #startLoad<T> (context: AdmissionContext, result?: T): T | undefined {
    context.mayStartLoad = false
    this.#nextLoadMs = this.#nowMs + context.config.share.loadStartEveryMs
    return result
  }

  /** Withdraws own standby intents of a runner if the order fits without them; returns whether it does. */
  #makeRoom (state: CellState, order: CellOrder, context: AdmissionContext): boolean {
    const { journal } = this.options
    const isReclaimable = (intent: Intent) => this.isOwnStandby(state, intent) && intent.order.runner === order.runner
    const reclaimable = state.intents.filter(isReclaimable)
    if (reclaimable.length === 0) return false
    const without = { ...context, intents: context.intents.filter((intent) => !isReclaimable(intent)) }
    if (!isAdmitted(order, without)) return false
    for (const intent of reclaimable) {
      if (journal.isWithdrawing(intent.offset)) continue
      journal.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word: Word.NeverSent })
    }
    return true
  }

  #reserve (state: CellState, context: AdmissionContext): void {
    const pending = state.intents.filter(({ standby }) => standby).length
    const orders = planStandby(context, this.options.standbyLimit - pending)
    for (const order of orders) this.#write(state, order, true)
  }

  /** Whether the intent is a standby of this tenure that is not being withdrawn. */
  isOwnStandby (state: CellState, intent: Intent): boolean {
    if (!intent.standby || intent.claim !== state.claim?.offset || endOffsetOf(intent) !== undefined) return false
    return !this.options.isSent(intent) && !this.options.journal.isWithdrawing(intent.offset)
  }

  #ownStandby (state: CellState, order: CellOrder): Intent | undefined {
    return state.intents.find((intent) => this.isOwnStandby(state, intent) &&
      intent.order.runner === order.runner && modelKeyOf(intent.order) === modelKeyOf(order))
  }

  #write (state: CellState, order: CellOrder, standby: boolean): void {
    if (state.claim === undefined) return
    const body: CellRecordBody = { kind: 'intent', claim: state.claim.offset, order, standby }
    const recordId = this.options.journal.append(body)
    this.options.logger.info('order planned', { recordId, runner: order.runner, action: order.action, model: order.model, version: order.version, standby })
  }

  #hasPendingIntent (): boolean {
    return this.options.journal.has(({ kind }) => kind === 'intent')
  }

  get #nowMs (): number {
    return this.options.clock.monotonicMs()
  }
}

/** Runners that the tables no longer name give up what they hold. */
function retirementSteps (view: CellView): CellStep[] {
  return view.runners
    .filter(({ name }) => view.retiring.includes(name))
    .flatMap(({ name, copies }) => copies
      .filter(({ state, unsettled }) => state === CopyState.Resident && !unsettled)
      .map(({ model, version }) => ({ action: OrderAction.Unload, runner: name, model, version, addsMiB: 0, reason: 'runner left the tables' })))
}

/** Whether a report shows the order's effect on its way or done. */
function isVisible ({ order }: Intent, copies: { model: string, version: string, state: CopyState, adapters: { name: string }[] }[]): boolean {
  const copy = copies.find((candidate) => modelKeyOf(candidate) === modelKeyOf(order))
  if (order.action === OrderAction.Unload) return copy?.state !== CopyState.Resident
  if (order.action === OrderAction.LoadAdapter) return copy?.adapters.some(({ name }) => name === order.adapter) === true
  return copy !== undefined
}
