import type { Clock } from '@figloom/runtime'
import type { EngineOrder, OrderOutcome, ReportedAdapter, ReportedCopy } from '@figloom/clients'
import type { WeightStore } from '../store/weight-store.js'
import { copyKey, type EngineMemory } from './engine-memory.js'
import type { FreezeGate } from './freeze-gate.js'
import type { EngineConfig } from './types.js'

type OrderResult = Pick<OrderOutcome, 'outcome' | 'message'>

/** Options of `EngineOrders`. */
export type EngineOrdersOptions = {
  clock: Clock
  config: EngineConfig
  memory: EngineMemory
  store: WeightStore
  gate: FreezeGate
  /** Refuses the attempts that are queued for a copy and calls `done` once none runs on it. */
  drain: (key: string, done: () => void) => void
  onUnloaded: (model: string) => void
}

const MAX_RECENT_ORDERS = 256
const ROLES = ['prefill', 'decode', 'both']

/** Executes orders: load and unload of models and adapters, and role changes. Checks fencing tokens if configured. */
export class EngineOrders {
  highestFence = 0
  role: string
  readonly recentOrders: { orderId: string, outcome: string }[] = []
  readonly counts = { loads: 0, unloads: 0, adapterLoads: 0, adapterUnloads: 0, roleChanges: 0, staleFences: 0, refusedOrders: 0 }

  private constructor (private readonly options: EngineOrdersOptions) {
    this.role = options.config.role
  }

  static create (options: EngineOrdersOptions): EngineOrders {
    return new EngineOrders(options)
  }

  /** Executes an order, or starts it if it takes time. */
  execute (order: EngineOrder): OrderOutcome {
    const result = this.#isStaleFence(order) ? { outcome: 'stale-fence' as const } : this.#dispatch(order)
    if (result.outcome === 'stale-fence') this.counts.staleFences += 1
    if (result.outcome === 'refused') this.counts.refusedOrders += 1
    this.recentOrders.push({ orderId: order.orderId, outcome: result.outcome })
    if (this.recentOrders.length > MAX_RECENT_ORDERS) this.recentOrders.shift()
    return { orderId: order.orderId, instance: this.options.config.instance, ...result }
  }

  #isStaleFence (order: EngineOrder): boolean {
    if (!this.options.config.checksFencing) return false
    if (order.fence < this.highestFence) return true
    this.highestFence = order.fence
    return false
  }

  #dispatch (order: EngineOrder): OrderResult {
    const copy = this.options.memory.find(order.model, order.version)
    switch (order.action) {
      case 'load': return this.#load(order, copy)
      case 'unload': return this.#unload(copy)
      case 'load-adapter': return this.#loadAdapter(order, copy)
      case 'unload-adapter': return this.#unloadAdapter(order, copy)
      case 'set-role': return this.#setRole(order)
      default: return refusal(`no such action: ${order.action}`)
    }
  }

  #load (order: EngineOrder, copy: ReportedCopy | undefined): OrderResult {
    if (copy?.state === 'resident') return { outcome: 'done' }
    if (copy?.state === 'loading') return { outcome: 'accepted' }
    if (copy?.state === 'unloading') return refusal('the copy is being unloaded')
    if (order.weightsMiB === undefined || order.kvReserveMiB === undefined) return refusal('weightsMiB or kvReserveMiB is missing')
    const { model, version, weightsMiB, kvReserveMiB } = order
    const loading: ReportedCopy = { model, version, weightsMiB, kvReserveMiB, state: 'loading', adapters: [] }
    this.options.memory.add(loading)
    this.counts.loads += 1
    this.options.store.load(this.options.config.loadMs, () => this.options.gate.whenUnfrozen(() => {
      if (loading.state === 'loading') loading.state = 'resident'
    }))
    return { outcome: 'accepted' }
  }

  #unload (copy: ReportedCopy | undefined): OrderResult {
    if (copy === undefined) return { outcome: 'done' }
    if (copy.state === 'unloading') return { outcome: 'accepted' }
    copy.state = 'unloading'
    this.counts.unloads += 1
    this.options.drain(copyKey(copy.model, copy.version), () => this.#runAfter(this.options.config.unloadMs, () => {
      this.options.memory.remove(copy)
      this.options.onUnloaded(copy.model)
    }))
    return { outcome: 'accepted' }
  }

  #loadAdapter (order: EngineOrder, copy: ReportedCopy | undefined): OrderResult {
    const name = order.adapter
    if (name === undefined || order.sizeMiB === undefined) return refusal('adapter or sizeMiB is missing')
    if (copy === undefined || copy.state === 'unloading') return refusal('the model is not resident')
    const present = copy.adapters.find((adapter) => adapter.name === name)
    if (present !== undefined) return resultForExistingAdapter(present)
    const loading: ReportedAdapter = { name, sizeMiB: order.sizeMiB, state: 'loading' }
    this.options.memory.addAdapter(copy, loading)
    this.counts.adapterLoads += 1
    this.options.store.loadAdapter(this.options.config.adapterLoadMs, () => this.options.gate.whenUnfrozen(() => {
      if (loading.state === 'loading') loading.state = 'resident'
    }))
    return { outcome: 'accepted' }
  }

  #unloadAdapter (order: EngineOrder, copy: ReportedCopy | undefined): OrderResult {
    const adapter = copy?.adapters.find((candidate) => candidate.name === order.adapter)
    if (copy === undefined || adapter === undefined) return { outcome: 'done' }
    if (adapter.state === 'unloading') return { outcome: 'accepted' }
    adapter.state = 'unloading'
    this.counts.adapterUnloads += 1
    this.#runAfter(this.options.config.unloadMs, () => {
      copy.adapters = copy.adapters.filter((candidate) => candidate !== adapter)
    })
    return { outcome: 'accepted' }
  }

  #setRole (order: EngineOrder): OrderResult {
    const role = order.role
    if (role === undefined || !ROLES.includes(role)) return refusal('no such role')
    if (role === this.role) return { outcome: 'done' }
    this.counts.roleChanges += 1
    this.#runAfter(this.options.config.roleChangeMs, () => { this.role = role })
    return { outcome: 'accepted' }
  }

  #runAfter (delayMs: number, callback: () => void): void {
    this.options.clock.setTimer(delayMs, () => this.options.gate.whenUnfrozen(callback))
  }
}

function refusal (message: string): OrderResult {
  return { outcome: 'refused', message }
}

function resultForExistingAdapter (adapter: ReportedAdapter): OrderResult {
  if (adapter.state === 'resident') return { outcome: 'done' }
  if (adapter.state === 'loading') return { outcome: 'accepted' }
  return refusal('the adapter is being unloaded')
}
