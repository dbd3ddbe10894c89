/** Plans load and unload orders while this host holds the lease, and tracks what each runner holds. */
import type { Timer } from '@figloom/runtime'
import type { ConfigState } from '../config/config-state.js'
import type { EngineSpec, Service } from '../config/types.js'
import type { LocatedRunner } from '../gates/types.js'
import type { RunnerProcess } from '../limits/types.js'
import type { AdapterReply, AdapterRequest, DemandRate, ExpectedLoad } from '../members/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import { AdapterOrders } from './adapter-orders.js'
import { copyShareOf } from './copy-values.js'
import { forecastDemand, versionDemand } from './demand-forecast.js'
import { planAdapters } from './plan-adapters.js'
import { PlacementLog } from './placement-log.js'
import { planModels, type PlannedOrder, type PlannedRunner } from './plan-models.js'
import { LoadFailures } from './load-failures.js'
import { LoadRateLimiter } from './load-rate-limiter.js'
import { MissingCopies } from './missing-copies.js'
import { OrderSender, type OrderSenderParts } from './order-sender.js'
import { UNKNOWN_MODEL, type RunnerInventory } from './runner-inventory.js'
import { RunnerQueue } from './runner-queue.js'
import { OrderKind } from './types.js'

const PLANNING_INTERVAL_MS = 250
/** Assumed time that a request holds its slot while there is no demand to derive it from. */
const DEFAULT_HOLD_MS = 1_000

export type OrderDispatcherParts = OrderSenderParts & {
  config: ConfigState
  /** Request rates reported by all hosts. */
  demand: () => DemandRate[]
  /** Limit in requests per second that a runner announces; undefined where it announces none. */
  limitPerS: (runner: RunnerProcess) => number | undefined
  /** Whether a runner's listed process is known to have ended. */
  hasEnded: (runner: LocatedRunner) => boolean
  /** Whether several versions of the runners' software may have streams of a service. */
  isMixed: (service: string) => boolean
}

export class OrderDispatcher {
  readonly #queues = new Map<string, RunnerQueue>()
  readonly #sender: OrderSender
  readonly #adapterOrders: AdapterOrders
  readonly #loadLimiter: LoadRateLimiter
  readonly #loadFailures = LoadFailures.create()
  readonly #missingCopies = MissingCopies.create()
  readonly #placementLog: PlacementLog
  #token: number | undefined
  #timer: Timer | undefined
  #stopped = false

  private constructor (private readonly parts: OrderDispatcherParts) {
    this.#sender = OrderSender.create(parts)
    this.#adapterOrders = AdapterOrders.create(this.#sender, parts.clock)
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
    return await queue.enqueue(() => this.#adapterOrders.load(state, engine, queue, request, () => this.parts.takesOrders(state.entry)))
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
      const { inventory, isBusy } = this.#queueOf(state)
      return {
        id: state.entry.id,
        models: inventory.models,
        adapters: inventory.adapters.map(({ model, adapter }) => `${model}/${adapter}`),
        busy: isBusy || !this.parts.takesOrders(state.entry),
        usedMb: inventory.usedMb(engine)
      }
    })
    for (const load of planAdapters(engine, runners, rates)) {
      const state = this.parts.runners.get(load.runnerId)
      if (state !== undefined) this.#adapterOrders.preload(state, this.#queueOf(state), load)
    }
  }

  #toPlanned (state: RunnerState, engine: EngineSpec, holdMs: number): PlannedRunner {
    const { inventory, isBusy } = this.#queueOf(state)
    const { pending } = inventory
    const limitPerS = this.parts.limitPerS(state.entry)
    return {
      id: state.entry.id,
      softwareVersion: state.entry.softwareVersion,
      models: inventory.models,
      loading: pending?.kind === OrderKind.Load ? pending.model : undefined,
      busy: isBusy || !this.parts.takesOrders(state.entry),
      usedMb: inventory.usedMb(engine),
      localWeights: state.entry.localWeights,
      copyShare: limitPerS === undefined ? 1 : copyShareOf(engine, limitPerS, holdMs)
    }
  }

  /** Applies the runner's entry, and reads a report if that is due. */
  #refresh (state: RunnerState, engine: EngineSpec): void {
    const queue = this.#queueOf(state)
    const { pending } = queue.inventory
    queue.inventory.applyEntry(state.entry)
    if (pending?.kind === OrderKind.Load && queue.inventory.models.includes(pending.model)) this.#loadFailures.onLoaded(pending.model)
    this.#sender.refresh(state, queue, engine)
  }

  #enqueueModelOrder (order: PlannedOrder): void {
    const state = this.parts.runners.get(order.runnerId)
    if (state === undefined) return
    const queue = this.#queueOf(state)
    const spec = this.#engineOf(state)?.models.get(order.model)
    queue.expectedMs = (order.fromStore ? spec?.loadMs : spec?.diskLoadMs) ?? 0
    if (order.fromStore) this.#loadLimiter.recordLoad()
    queue.enqueueDetached(() => this.#sender.send(state, queue, order, 0))
    if (order.kind === OrderKind.Unload) this.parts.runners.markNotResident(order.runnerId, order.model, undefined, this.parts.clock.monotonicMs())
  }

  #queueOf (state: RunnerState): RunnerQueue {
    const { id, startedUnixMs } = state.entry
    const known = this.#queues.get(id)
    if (known !== undefined && known.startedUnixMs === startedUnixMs) return known
    const queue = RunnerQueue.create(state.entry, this.parts.log)
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
