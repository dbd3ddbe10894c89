/** Gives orders to runners while this host holds the lease: plans models, brings adapters, and keeps a book a runner. */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { ConfigState } from '../config/config-state.js'
import type { EngineSpec, Service } from '../config/types.js'
import type { LocatedRunner } from '../closures/types.js'
import type { RunnerProcess } from '../limits/types.js'
import type { AdapterReply, AdapterRequest, DemandRate, ExpectedLoad } from '../members/types.js'
import type { RunnerState, RunnerTable } from '../runners/runner-table.js'
import { copyShareOf } from './copy-values.js'
import { forecastDemand } from './demand-forecast.js'
import { planAdapters, type AdapterLoad } from './plan-adapters.js'
import { PlacementLog } from './placement-log.js'
import { planModels, type PlannedOrder, type PlannedRunner } from './plan-models.js'
import { LoadPace } from './load-pace.js'
import { MissingCopies } from './missing-copies.js'
import { RunnerBook, UNKNOWN_ORDER, type AdapterCopy } from './runner-book.js'
import { OrderAnswer, OrderKind, type OrderTarget, type RunnerOrders } from './types.js'

const TICK_MS = 250
/** A report is read again no sooner than this: it lags behind the runner by some hundred milliseconds. */
const REPORT_PAUSE_MS = 400
/** Time that an adapter takes until it serves, from the weight store. */
const ADAPTER_LOAD_MS = 60
/** How long a request holds its place while nothing is known of it. */
const USUAL_HOLD_MS = 1_000
/** A model order that isn't seen done after this many times its usual length is looked up in a report. */
const OVERDUE_FACTOR = 1.5
const OVERDUE_MARGIN_MS = 1_500

export type OrderDeskParts = {
  clock: Clock
  log: Logger
  config: ConfigState
  runners: RunnerTable
  orders: RunnerOrders
  host: string
  /** Token of this host's lease while it may give orders. */
  orderToken: () => number | undefined
  /** Called before each order is sent. */
  onOrder: () => void
  /** Demand at all hosts. */
  demand: () => DemandRate[]
  /** Requests a second that a runner takes by the limit that it names; undefined where it names none. */
  limitPerS: (runner: RunnerProcess) => number | undefined
  /** Whether a runner may be asked or ordered now, by what it said itself. */
  takesOrders: (runner: LocatedRunner) => boolean
}

type RunnerDesk = {
  book: RunnerBook
  startedUnixMs: number | undefined
  /** Orders to one runner follow each other. */
  tail: Promise<unknown>
  /** How long the model order under way takes, as far as it is known. */
  usualMs: number
  /** Orders that wait for the ones before them. */
  waiting: number
  reportedMs: number
  reporting: boolean
}

export class OrderDesk {
  readonly #desks = new Map<string, RunnerDesk>()
  readonly #pace: LoadPace
  readonly #missing = MissingCopies.create()
  readonly #placementLog: PlacementLog
  #token: number | undefined
  #timer: Timer | undefined
  #stopped = false

  private constructor (private readonly parts: OrderDeskParts) {
    this.#pace = LoadPace.create(parts.clock.monotonicMs())
    this.#placementLog = PlacementLog.create(parts.clock, parts.log)
  }

  static create (parts: OrderDeskParts): OrderDesk {
    return new OrderDesk(parts)
  }

  start (): void {
    this.#tick()
  }

  stop (): void {
    this.#stopped = true
    this.#timer?.cancel()
  }

  /** Loads under way that this host knows of. */
  expectedLoads (): ExpectedLoad[] {
    const nowMs = this.parts.clock.monotonicMs()
    return this.parts.runners.all().flatMap(({ entry }) => {
      const desk = this.#desks.get(entry.id)
      const pending = desk?.book.pending
      if (desk === undefined || pending?.kind !== OrderKind.Load || pending.model === UNKNOWN_ORDER) return []
      return [{ service: entry.service, model: pending.model, readyInMs: Math.max(0, pending.sinceMs + desk.usualMs - nowMs) }]
    })
  }

  /** Brings an adapter to a runner that holds its model. */
  async ensureAdapter (request: AdapterRequest): Promise<AdapterReply> {
    const refused = { accepted: false, readyInMs: 0 }
    const state = this.parts.runners.get(request.runnerId)
    const engine = state === undefined ? undefined : this.#engineOf(state)
    if (state === undefined || engine === undefined || this.parts.orderToken() === undefined) return refused
    if (!this.parts.takesOrders(state.entry)) return refused
    const desk = this.#desk(state)
    // While a model is loaded or unloaded a runner takes no other order.
    if (desk.book.pending !== undefined) return refused
    return await this.#enqueue(desk, () => this.#bringAdapter(state, engine, desk, request))
  }

  /** Runs a task behind the orders that a runner is given already. */
  #enqueue<Value> (desk: RunnerDesk, task: () => Promise<Value>): Promise<Value> {
    desk.waiting += 1
    const result = desk.tail.then(task).finally(() => { desk.waiting -= 1 })
    desk.tail = result.catch((error: Error) => {
      this.parts.log.warn('order failed', { runner: desk.book.runnerId, reason: error.message })
    })
    return result
  }

  /** Nobody waits for the outcome; the queue has written a failure to the log. */
  #giveUnasked (desk: RunnerDesk, task: () => Promise<OrderAnswer>): void {
    this.#enqueue(desk, task).catch(() => undefined)
  }

  #tick (): void {
    if (this.#stopped) return
    const token = this.parts.orderToken()
    if (token !== this.#token) this.#onTokenChange(token)
    if (token !== undefined) this.#work()
    this.#timer = this.parts.clock.setTimer(TICK_MS, () => this.#tick())
  }

  /** Another host may have given orders meanwhile. */
  #onTokenChange (token: number | undefined): void {
    this.#token = token
    this.#desks.clear()
  }

  #work (): void {
    for (const [name, service] of this.parts.config.services) {
      if (service.engine !== undefined) this.#workOn(name, service, service.engine)
    }
  }

  #workOn (name: string, service: Service, engine: EngineSpec): void {
    const startMs = this.parts.clock.monotonicMs()
    const states = this.parts.runners.usable(name).filter(({ unreachableUntilMs }) => unreachableUntilMs <= startMs)
    for (const state of states) this.#refresh(state, engine)
    const known = states.filter((state) => this.#desk(state).book.acceptedOrders !== undefined)
    if (known.length < states.length / 2) return
    const nowMs = this.parts.clock.monotonicMs()
    const rates = this.parts.demand().filter(({ service }) => service === name)
    this.#bringAdaptersAhead(known, engine, rates)
    const holdMs = meanHoldMs(rates)
    const runners = known.map((state) => this.#planned(state, engine, holdMs))
    const demand = forecastDemand(rates, name)
    const plan = planModels({
      engine,
      runners,
      demand,
      missingMs: this.#missing.update(name, demand, runners, nowMs),
      storeLoads: this.#pace.available(engine.loadsPerS, nowMs)
    })
    for (const order of plan) this.#giveModelOrder(order)
    const taken = known.reduce((sum, state) => sum + this.parts.runners.totalInFlight(state), 0)
    this.#placementLog.write({ service: name, runners, slots: engine.slots, taken, demand })
  }

  /** Runners that are given adapters count as busy for the models planned next. */
  #bringAdaptersAhead (states: RunnerState[], engine: EngineSpec, rates: readonly DemandRate[]): void {
    const runners = states.map((state) => {
      const { book, waiting } = this.#desk(state)
      return {
        id: state.entry.id,
        models: book.models,
        adapters: book.adapters.map(({ model, adapter }) => `${model}/${adapter}`),
        busy: book.pending !== undefined || waiting > 0 || !this.parts.takesOrders(state.entry),
        usedMb: book.usedMb(engine)
      }
    })
    for (const load of planAdapters(engine, runners, rates)) this.#giveAdapterOrder(load)
  }

  #giveAdapterOrder ({ runnerId, model, adapter }: AdapterLoad): void {
    const state = this.parts.runners.get(runnerId)
    if (state === undefined) return
    const desk = this.#desk(state)
    this.#giveUnasked(desk, () => this.#send(state, desk, { kind: OrderKind.Load, model, adapter }, ADAPTER_LOAD_MS))
  }

  #planned (state: RunnerState, engine: EngineSpec, holdMs: number): PlannedRunner {
    const { book, waiting } = this.#desk(state)
    const { pending } = book
    const limitPerS = this.parts.limitPerS(state.entry)
    return {
      id: state.entry.id,
      models: book.models,
      loading: pending?.kind === OrderKind.Load ? pending.model : undefined,
      busy: pending !== undefined || waiting > 0 || !this.parts.takesOrders(state.entry),
      usedMb: book.usedMb(engine),
      localWeights: state.entry.localWeights,
      copyShare: limitPerS === undefined ? 1 : copyShareOf(engine, limitPerS, holdMs)
    }
  }

  /** Follows the runner's entry, and asks for a report where the book is uncertain or an order is overdue. */
  #refresh (state: RunnerState, engine: EngineSpec): void {
    const desk = this.#desk(state)
    desk.book.applyEntry(state.entry)
    const nowMs = this.parts.clock.monotonicMs()
    const uncertain = desk.book.acceptedOrders === undefined || this.#isOverdue(desk.book, engine, nowMs)
    if (!uncertain || !this.parts.takesOrders(state.entry) || desk.reporting || nowMs - desk.reportedMs < REPORT_PAUSE_MS) return
    this.#readReport(state, desk).catch((error: Error) => {
      this.parts.log.warn('runner gave no report', { runner: state.entry.id, reason: error.message })
    })
  }

  #isOverdue (book: RunnerBook, engine: EngineSpec, nowMs: number): boolean {
    const { pending } = book
    if (pending === undefined) return false
    const usualMs = pending.kind === OrderKind.Load ? engine.models.get(pending.model)?.loadMs ?? 0 : 0
    return nowMs - pending.sinceMs > usualMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS
  }

  async #readReport (state: RunnerState, desk: RunnerDesk): Promise<void> {
    desk.reporting = true
    try {
      const report = await this.parts.orders.report(state.entry)
      desk.book.applyReport(report, this.parts.clock.monotonicMs())
    } finally {
      desk.reporting = false
      desk.reportedMs = this.parts.clock.monotonicMs()
    }
  }

  #giveModelOrder (order: PlannedOrder): void {
    const state = this.parts.runners.get(order.runnerId)
    if (state === undefined) return
    const desk = this.#desk(state)
    const spec = this.#engineOf(state)?.models.get(order.model)
    desk.usualMs = (order.fromStore ? spec?.loadMs : spec?.diskLoadMs) ?? 0
    if (order.fromStore) this.#pace.onLoad()
    this.#giveUnasked(desk, () => this.#send(state, desk, order, 0))
    if (order.kind === OrderKind.Unload) this.parts.runners.markDenied(order.runnerId, order.model, undefined, this.parts.clock.monotonicMs())
  }

  async #bringAdapter (state: RunnerState, engine: EngineSpec, desk: RunnerDesk, request: AdapterRequest): Promise<AdapterReply> {
    const { model, adapter } = request
    if (desk.book.pending !== undefined) return { accepted: false, readyInMs: 0 }
    const nowMs = this.parts.clock.monotonicMs()
    const known = desk.book.adapter(model, adapter)
    if (known !== undefined) {
      desk.book.touchAdapter(model, adapter, nowMs)
      return { accepted: true, readyInMs: Math.max(0, Math.ceil(known.residentFromMs - nowMs)) }
    }
    if (!this.parts.takesOrders(state.entry)) return { accepted: false, readyInMs: 0 }
    if (desk.book.acceptedOrders === undefined) await this.#readReport(state, desk)
    if (!desk.book.models.includes(model)) return { accepted: false, readyInMs: 0 }
    if (!await this.#makeAdapterRoom(state, engine, desk, model)) return { accepted: false, readyInMs: 0 }
    const answer = await this.#send(state, desk, { kind: OrderKind.Load, model, adapter }, ADAPTER_LOAD_MS)
    const accepted = answer === OrderAnswer.Accepted || answer === OrderAnswer.AlreadyHolds
    return { accepted, readyInMs: accepted ? ADAPTER_LOAD_MS : 0 }
  }

  /** Unloads the adapter that was unused for longest if the runner has no place left. */
  async #makeAdapterRoom (state: RunnerState, engine: EngineSpec, desk: RunnerDesk, model: string): Promise<boolean> {
    const sizeMb = engine.models.get(model)?.adapterSizeMb ?? 0
    if (desk.book.adapters.length < engine.adapterSlots && desk.book.usedMb(engine) + sizeMb <= engine.weightsMb) return true
    const oldest = oldestAdapter(desk.book.adapters)
    if (oldest === undefined) return false
    const answer = await this.#send(state, desk, { kind: OrderKind.Unload, model: oldest.model, adapter: oldest.adapter }, 0)
    if (answer !== OrderAnswer.Accepted && answer !== OrderAnswer.AlreadyHolds) return false
    return desk.book.adapters.length < engine.adapterSlots && desk.book.usedMb(engine) + sizeMb <= engine.weightsMb
  }

  async #send (state: RunnerState, desk: RunnerDesk, target: OrderTarget, adapterLoadMs: number): Promise<OrderAnswer> {
    const fencingToken = this.parts.orderToken()
    const expectedOrders = desk.book.acceptedOrders
    if (fencingToken === undefined || expectedOrders === undefined || !this.parts.takesOrders(state.entry)) return OrderAnswer.Conflict
    const { kind, model, adapter } = target
    this.parts.onOrder()
    const answer = await this.parts.orders.send(state.entry, { kind, model, adapter, expectedOrders, holder: this.parts.host, fencingToken })
    const nowMs = this.parts.clock.monotonicMs()
    this.parts.log.info('order given', { runner: state.entry.id, kind, model, adapter, expectedOrders, fencingToken, answer })
    if (answer === OrderAnswer.Accepted || (answer === OrderAnswer.AlreadyHolds && adapter !== undefined && kind === OrderKind.Unload)) {
      desk.book.applyAccepted(target, nowMs, adapterLoadMs)
      if (kind === OrderKind.Unload && adapter !== undefined) this.parts.runners.markDenied(state.entry.id, model, adapter, nowMs)
    } else desk.book.invalidate()
    return answer
  }

  #desk (state: RunnerState): RunnerDesk {
    const { id, startedUnixMs } = state.entry
    const known = this.#desks.get(id)
    if (known !== undefined && known.startedUnixMs === startedUnixMs) return known
    const desk: RunnerDesk = { book: RunnerBook.create(id), startedUnixMs, tail: Promise.resolve(), usualMs: 0, waiting: 0, reportedMs: -Infinity, reporting: false }
    this.#desks.set(id, desk)
    return desk
  }

  #engineOf (state: RunnerState): EngineSpec | undefined {
    return this.parts.config.services.get(state.entry.service)?.engine
  }
}

/** How long a request holds its place, on average over all that are asked for. */
function meanHoldMs (rates: readonly DemandRate[]): number {
  const models = rates.filter(({ adapter }) => adapter === undefined)
  const perS = models.reduce((sum, { slowRequestsPerS }) => sum + slowRequestsPerS, 0)
  if (perS === 0) return USUAL_HOLD_MS
  return models.reduce((sum, { slowRequestsPerS, holdMs }) => sum + slowRequestsPerS * holdMs, 0) / perS
}

function oldestAdapter (copies: readonly AdapterCopy[]): AdapterCopy | undefined {
  return copies.reduce<AdapterCopy | undefined>((oldest, copy) => oldest === undefined || copy.usedMs < oldest.usedMs ? copy : oldest, undefined)
}
