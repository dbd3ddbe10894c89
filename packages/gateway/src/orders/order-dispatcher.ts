/** Plans and sends load and unload orders while this host holds the lease, and tracks what each runner holds. */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { ConfigState } from '../config/config-state.js'
import type { EngineSpec, Service } from '../config/types.js'
import type { LocatedRunner } from '../gates/types.js'
import type { RunnerProcess } from '../limits/types.js'
import type { AdapterReply, AdapterRequest, DemandRate, ExpectedLoad } from '../members/types.js'
import type { RunnerState, RunnerTable } from '../runners/runner-table.js'
import { copyShareOf } from './copy-values.js'
import { forecastDemand, versionDemand } from './demand-forecast.js'
import { planAdapters, type AdapterLoad } from './plan-adapters.js'
import { PlacementLog } from './placement-log.js'
import { planModels, type PlannedOrder, type PlannedRunner } from './plan-models.js'
import { LoadFailures } from './load-failures.js'
import { LoadRateLimiter } from './load-rate-limiter.js'
import { MissingCopies } from './missing-copies.js'
import { RunnerInventory, UNKNOWN_MODEL, type AdapterCopy } from './runner-inventory.js'
import { OrderAnswer, OrderKind, type OrderTarget, type RunnerOrders } from './types.js'

const PLANNING_INTERVAL_MS = 250
/** Minimum time between two reads of a runner's report, which lags behind the runner by some hundred milliseconds. */
const MIN_REPORT_INTERVAL_MS = 400
/** Time that the load of an adapter from the weight store takes. */
const ADAPTER_LOAD_MS = 60
/** Assumed time that a request holds its slot while there is no demand to derive it from. */
const DEFAULT_HOLD_MS = 1_000
/** A model order is overdue after its expected time, times this factor, plus the margin; a report is then read to learn its state. */
const OVERDUE_FACTOR = 1.5
const OVERDUE_MARGIN_MS = 1_500

export type OrderDispatcherParts = {
  clock: Clock
  log: Logger
  config: ConfigState
  runners: RunnerTable
  orders: RunnerOrders
  host: string
  /** Fencing token of this host's lease; undefined while it may not send orders. */
  orderToken: () => number | undefined
  /** Called before each order is sent. */
  onOrder: () => void
  /** Request rates reported by all hosts. */
  demand: () => DemandRate[]
  /** Limit in requests per second that a runner announces; undefined where it announces none. */
  limitPerS: (runner: RunnerProcess) => number | undefined
  /** Whether report reads and orders may be sent to a runner now; false while its own signals ask for a pause or say that it leaves. */
  takesOrders: (runner: LocatedRunner) => boolean
  /** Whether a runner's listed process is known to have ended. */
  hasEnded: (runner: LocatedRunner) => boolean
  /** A runner answered a read of its report. */
  onReport: (runner: LocatedRunner) => void
  /** A runner gave no report: this host may not reach it. */
  onNoReport: (runner: LocatedRunner, reason: string) => void
  /** Whether several versions of the runners' software may have streams of a service. */
  isMixed: (service: string) => boolean
}

/** Orders to one runner, and what is known of the runner. */
type RunnerQueue = {
  inventory: RunnerInventory
  startedUnixMs: number | undefined
  /** The runner's entry states that it leaves. */
  draining: boolean
  /** Last task in the queue: orders to one runner are sent one after another. */
  lastTask: Promise<unknown>
  /** Expected time of the model order in progress; 0 where it is not known. */
  expectedMs: number
  /** Number of tasks in the queue, including the one that runs. */
  queuedTasks: number
  lastReportMs: number
  isReadingReport: boolean
}

export class OrderDispatcher {
  readonly #queues = new Map<string, RunnerQueue>()
  readonly #loadLimiter: LoadRateLimiter
  readonly #loadFailures = LoadFailures.create()
  readonly #missingCopies = MissingCopies.create()
  readonly #placementLog: PlacementLog
  #token: number | undefined
  #timer: Timer | undefined
  #stopped = false

  private constructor (private readonly parts: OrderDispatcherParts) {
    this.#loadLimiter = LoadRateLimiter.create(parts.clock.monotonicMs())
    this.#placementLog = PlacementLog.create(parts.clock, parts.log)
  }

  static create (parts: OrderDispatcherParts): OrderDispatcher {
    return new OrderDispatcher(parts)
  }

  start (): void {
    this.#runPlanning()
  }

  stop (): void {
    this.#stopped = true
    this.#timer?.cancel()
  }

  /** Model loads in progress that this host ordered. */
  expectedLoads (): ExpectedLoad[] {
    const nowMs = this.parts.clock.monotonicMs()
    return this.parts.runners.all().flatMap(({ entry }) => {
      const queue = this.#queues.get(entry.id)
      const pending = queue?.inventory.pending
      if (queue === undefined || pending?.kind !== OrderKind.Load || pending.model === UNKNOWN_MODEL) return []
      return [{ service: entry.service, model: pending.model, softwareVersion: entry.softwareVersion, readyInMs: Math.max(0, pending.sinceMs + queue.expectedMs - nowMs) }]
    })
  }

  /** Loads an adapter on a runner that holds its model, unless the runner has it already. */
  async ensureAdapter (request: AdapterRequest): Promise<AdapterReply> {
    const refused = { accepted: false, readyInMs: 0 }
    const state = this.parts.runners.get(request.runnerId)
    const engine = state === undefined ? undefined : this.#engineOf(state)
    if (state === undefined || engine === undefined || this.parts.orderToken() === undefined) return refused
    if (!this.parts.takesOrders(state.entry)) return refused
    const queue = this.#queueOf(state)
    // A runner accepts no other order while it loads or unloads a model.
    if (queue.inventory.pending !== undefined) return refused
    return await this.#enqueue(queue, () => this.#loadAdapter(state, engine, queue, request))
  }

  /** Runs a task after those that are in the queue of the runner. */
  #enqueue<Value> (queue: RunnerQueue, task: () => Promise<Value>): Promise<Value> {
    queue.queuedTasks += 1
    const result = queue.lastTask.then(task).finally(() => { queue.queuedTasks -= 1 })
    queue.lastTask = result.catch((error: Error) => {
      this.parts.log.warn('order failed', { runner: queue.inventory.runnerId, reason: error.message })
    })
    return result
  }

  /** Enqueues a task whose result nobody awaits; `#enqueue` logs a failure. */
  #enqueueDetached (queue: RunnerQueue, task: () => Promise<OrderAnswer>): void {
    this.#enqueue(queue, task).catch(() => undefined)
  }

  #runPlanning (): void {
    if (this.#stopped) return
    const token = this.parts.orderToken()
    if (token !== this.#token) this.#onTokenChange(token)
    if (token !== undefined) {
      this.#dropEndedProcesses()
      this.#planAll()
    }
    this.#timer = this.parts.clock.setTimer(PLANNING_INTERVAL_MS, () => this.#runPlanning())
  }

  /** Discards the state of all runners: another host may have sent orders meanwhile. */
  #onTokenChange (token: number | undefined): void {
    this.#token = token
    this.#queues.clear()
  }

  /** Drops the queues of processes that have ended, and records which models they were loading. */
  #dropEndedProcesses (): void {
    for (const [id, queue] of this.#queues) {
      const entry = this.parts.runners.get(id)?.entry
      if (entry !== undefined && entry.startedUnixMs === queue.startedUnixMs) {
        queue.draining = entry.draining
        continue
      }
      this.#queues.delete(id)
      if (!queue.draining) this.#recordEnd(queue.inventory)
    }
  }

  #recordEnd ({ runnerId, pending }: RunnerInventory): void {
    if (pending?.kind !== OrderKind.Load || pending.model === UNKNOWN_MODEL) return
    const heldForMs = this.#loadFailures.onEnd(pending.model, this.parts.clock.monotonicMs())
    this.parts.log.warn('runner ended while it loaded a model', { runner: runnerId, model: pending.model, heldForMs })
  }

  #planAll (): void {
    for (const [name, service] of this.parts.config.services) {
      if (service.engine !== undefined) this.#planService(name, service, service.engine)
    }
  }

  #planService (name: string, service: Service, engine: EngineSpec): void {
    const startMs = this.parts.clock.monotonicMs()
    const running = this.parts.runners.usable(name).filter(({ entry }) => !this.parts.hasEnded(entry))
    const states = running.filter(({ unreachableUntilMs }) => unreachableUntilMs <= startMs)
    for (const state of states) this.#refresh(state, engine)
    const known = states.filter((state) => this.#queueOf(state).inventory.acceptedOrders !== undefined)
    // Where this host reaches few of the runners, its own links are broken, and the others' copies still serve.
    if (known.length < running.length / 2) return
    const nowMs = this.parts.clock.monotonicMs()
    const rates = this.parts.demand().filter(({ service }) => service === name)
    this.#preloadAdapters(known, engine, rates)
    const holdMs = meanHoldMs(rates)
    const runners = known.map((state) => this.#toPlanned(state, engine, holdMs))
    const demand = forecastDemand(rates, name)
    const plan = planModels({
      engine,
      runners,
      demand,
      missingMs: this.#missingCopies.update(name, demand, runners, nowMs),
      storeLoads: this.#loadLimiter.available(engine.loadsPerS, nowMs),
      maxLoads: this.#loadFailures.maxLoads(new Set(runners.flatMap(({ loading }) => loading ?? [])), nowMs),
      isMixed: this.parts.isMixed(name),
      versionDemand: versionDemand(rates, name)
    })
    for (const order of plan) this.#enqueueModelOrder(order)
    const taken = known.reduce((sum, state) => sum + this.parts.runners.totalInFlight(state), 0)
    this.#placementLog.write({ service: name, runners, slots: engine.slots, taken, demand })
  }

  /** Loads adapters before requests need them. A runner that gets such an order counts as busy in the model plan that follows. */
  #preloadAdapters (states: RunnerState[], engine: EngineSpec, rates: readonly DemandRate[]): void {
    const runners = states.map((state) => {
      const { inventory, queuedTasks } = this.#queueOf(state)
      return {
        id: state.entry.id,
        models: inventory.models,
        adapters: inventory.adapters.map(({ model, adapter }) => `${model}/${adapter}`),
        busy: inventory.pending !== undefined || queuedTasks > 0 || !this.parts.takesOrders(state.entry),
        usedMb: inventory.usedMb(engine)
      }
    })
    for (const load of planAdapters(engine, runners, rates)) this.#enqueueAdapterOrder(load)
  }

  #enqueueAdapterOrder ({ runnerId, model, adapter }: AdapterLoad): void {
    const state = this.parts.runners.get(runnerId)
    if (state === undefined) return
    const queue = this.#queueOf(state)
    this.#enqueueDetached(queue, () => this.#send(state, queue, { kind: OrderKind.Load, model, adapter }, ADAPTER_LOAD_MS))
  }

  #toPlanned (state: RunnerState, engine: EngineSpec, holdMs: number): PlannedRunner {
    const { inventory, queuedTasks } = this.#queueOf(state)
    const { pending } = inventory
    const limitPerS = this.parts.limitPerS(state.entry)
    return {
      id: state.entry.id,
      softwareVersion: state.entry.softwareVersion,
      models: inventory.models,
      loading: pending?.kind === OrderKind.Load ? pending.model : undefined,
      busy: pending !== undefined || queuedTasks > 0 || !this.parts.takesOrders(state.entry),
      usedMb: inventory.usedMb(engine),
      localWeights: state.entry.localWeights,
      copyShare: limitPerS === undefined ? 1 : copyShareOf(engine, limitPerS, holdMs)
    }
  }

  /** Applies the runner's entry, and reads a report where the contents are uncertain or an order is overdue. */
  #refresh (state: RunnerState, engine: EngineSpec): void {
    const queue = this.#queueOf(state)
    const { pending } = queue.inventory
    queue.inventory.applyEntry(state.entry)
    if (pending?.kind === OrderKind.Load && queue.inventory.models.includes(pending.model)) this.#loadFailures.onLoaded(pending.model)
    const nowMs = this.parts.clock.monotonicMs()
    const uncertain = queue.inventory.acceptedOrders === undefined || this.#isOverdue(queue.inventory, engine, nowMs)
    if (!uncertain || !this.parts.takesOrders(state.entry) || queue.isReadingReport || nowMs - queue.lastReportMs < MIN_REPORT_INTERVAL_MS) return
    this.#readReport(state, queue).catch((error: Error) => {
      this.parts.log.warn('runner gave no report', { runner: state.entry.id, reason: error.message })
      this.parts.onNoReport(state.entry, error.message)
    })
  }

  #isOverdue (inventory: RunnerInventory, engine: EngineSpec, nowMs: number): boolean {
    const { pending } = inventory
    if (pending === undefined) return false
    const expectedMs = pending.kind === OrderKind.Load ? engine.models.get(pending.model)?.loadMs ?? 0 : 0
    return nowMs - pending.sinceMs > expectedMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS
  }

  async #readReport (state: RunnerState, queue: RunnerQueue): Promise<void> {
    queue.isReadingReport = true
    try {
      const report = await this.parts.orders.report(state.entry)
      this.parts.onReport(state.entry)
      queue.inventory.applyReport(report, this.parts.clock.monotonicMs())
    } finally {
      queue.isReadingReport = false
      queue.lastReportMs = this.parts.clock.monotonicMs()
    }
  }

  #enqueueModelOrder (order: PlannedOrder): void {
    const state = this.parts.runners.get(order.runnerId)
    if (state === undefined) return
    const queue = this.#queueOf(state)
    const spec = this.#engineOf(state)?.models.get(order.model)
    queue.expectedMs = (order.fromStore ? spec?.loadMs : spec?.diskLoadMs) ?? 0
    if (order.fromStore) this.#loadLimiter.recordLoad()
    this.#enqueueDetached(queue, () => this.#send(state, queue, order, 0))
    if (order.kind === OrderKind.Unload) this.parts.runners.markNotResident(order.runnerId, order.model, undefined, this.parts.clock.monotonicMs())
  }

  async #loadAdapter (state: RunnerState, engine: EngineSpec, queue: RunnerQueue, request: AdapterRequest): Promise<AdapterReply> {
    const { model, adapter } = request
    if (queue.inventory.pending !== undefined) return { accepted: false, readyInMs: 0 }
    const nowMs = this.parts.clock.monotonicMs()
    const known = queue.inventory.adapter(model, adapter)
    if (known !== undefined) {
      queue.inventory.touchAdapter(model, adapter, nowMs)
      return { accepted: true, readyInMs: Math.max(0, Math.ceil(known.residentFromMs - nowMs)) }
    }
    if (!this.parts.takesOrders(state.entry)) return { accepted: false, readyInMs: 0 }
    if (queue.inventory.acceptedOrders === undefined) await this.#readReport(state, queue)
    if (!queue.inventory.models.includes(model)) return { accepted: false, readyInMs: 0 }
    if (!await this.#freeAdapterSlot(state, engine, queue, model)) return { accepted: false, readyInMs: 0 }
    const answer = await this.#send(state, queue, { kind: OrderKind.Load, model, adapter }, ADAPTER_LOAD_MS)
    const accepted = answer === OrderAnswer.Accepted || answer === OrderAnswer.AlreadyHolds
    return { accepted, readyInMs: accepted ? ADAPTER_LOAD_MS : 0 }
  }

  /** Unloads the least recently used adapter if the runner has no adapter slot or memory left; false if there is still no room. */
  async #freeAdapterSlot (state: RunnerState, engine: EngineSpec, queue: RunnerQueue, model: string): Promise<boolean> {
    const sizeMb = engine.models.get(model)?.adapterSizeMb ?? 0
    if (queue.inventory.adapters.length < engine.adapterSlots && queue.inventory.usedMb(engine) + sizeMb <= engine.weightsMb) return true
    const oldest = leastRecentlyUsed(queue.inventory.adapters)
    if (oldest === undefined) return false
    const answer = await this.#send(state, queue, { kind: OrderKind.Unload, model: oldest.model, adapter: oldest.adapter }, 0)
    if (answer !== OrderAnswer.Accepted && answer !== OrderAnswer.AlreadyHolds) return false
    return queue.inventory.adapters.length < engine.adapterSlots && queue.inventory.usedMb(engine) + sizeMb <= engine.weightsMb
  }

  async #send (state: RunnerState, queue: RunnerQueue, target: OrderTarget, adapterLoadMs: number): Promise<OrderAnswer> {
    const fencingToken = this.parts.orderToken()
    const expectedOrders = queue.inventory.acceptedOrders
    if (fencingToken === undefined || expectedOrders === undefined || !this.parts.takesOrders(state.entry)) return OrderAnswer.Conflict
    const { kind, model, adapter } = target
    this.parts.onOrder()
    const answer = await this.parts.orders.send(state.entry, { kind, model, adapter, expectedOrders, holder: this.parts.host, fencingToken })
    const nowMs = this.parts.clock.monotonicMs()
    this.parts.log.info('order given', { runner: state.entry.id, kind, model, adapter, expectedOrders, fencingToken, answer })
    if (answer === OrderAnswer.Accepted || (answer === OrderAnswer.AlreadyHolds && adapter !== undefined && kind === OrderKind.Unload)) {
      queue.inventory.applyAccepted(target, nowMs, adapterLoadMs)
      if (kind === OrderKind.Unload && adapter !== undefined) this.parts.runners.markNotResident(state.entry.id, model, adapter, nowMs)
    } else queue.inventory.invalidate()
    return answer
  }

  #queueOf (state: RunnerState): RunnerQueue {
    const { id, startedUnixMs } = state.entry
    const known = this.#queues.get(id)
    if (known !== undefined && known.startedUnixMs === startedUnixMs) return known
    const queue: RunnerQueue = { inventory: RunnerInventory.create(id), startedUnixMs, draining: state.entry.draining, lastTask: Promise.resolve(), expectedMs: 0, queuedTasks: 0, lastReportMs: -Infinity, isReadingReport: false }
    this.#queues.set(id, queue)
    return queue
  }

  #engineOf (state: RunnerState): EngineSpec | undefined {
    return this.parts.config.services.get(state.entry.service)?.engine
  }
}

/** Average time that a request holds its slot, weighted by the request rates of the models. */
function meanHoldMs (rates: readonly DemandRate[]): number {
  const models = rates.filter(({ adapter, softwareVersion }) => adapter === undefined && softwareVersion === undefined)
  const totalPerS = models.reduce((sum, { slowRequestsPerS }) => sum + slowRequestsPerS, 0)
  if (totalPerS === 0) return DEFAULT_HOLD_MS
  return models.reduce((sum, { slowRequestsPerS, holdMs }) => sum + slowRequestsPerS * holdMs, 0) / totalPerS
}

function leastRecentlyUsed (copies: readonly AdapterCopy[]): AdapterCopy | undefined {
  return copies.reduce<AdapterCopy | undefined>((oldest, copy) => oldest === undefined || copy.lastUsedMs < oldest.lastUsedMs ? copy : oldest, undefined)
}
