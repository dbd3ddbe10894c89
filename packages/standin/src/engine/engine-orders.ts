import type { Clock } from '@figloom/runtime'
import type { EngineOrder, OrderOutcome, ReportedAdapter, ReportedCopy } from '@figloom/clients'
import type { WeightStore } from '../store/weight-store.js'
import { copyKey, type EngineMemory } from './engine-memory.js'
import type { Gate } from './freeze-gate.js'
import type { EngineConfig } from './types.js'

type Answer = Pick<OrderOutcome, 'outcome' | 'message'>

/** What the orders of an engine act on. */
export type EngineOrdersOptions = {
  clock: Clock
  config: EngineConfig
  memory: EngineMemory
  store: WeightStore
  gate: Gate
  /** Calls back once no attempt runs on the copy, and refuses those that queue for it. */
  drain: (key: string, done: () => void) => void
  onUnloaded: (model: string) => void
}

const KEPT_ORDERS = 256
const ROLES = ['prefill', 'decode', 'both']

/** Carries out orders: loads, unloads, adapters and roles, with fencing where the engine checks it. */
export class EngineOrders {
  highestFence = 0
  role: string
  readonly recent: { orderId: string, outcome: string }[] = []
  readonly counts = { loads: 0, unloads: 0, adapterLoads: 0, adapterUnloads: 0, roleChanges: 0, staleFences: 0, refusedOrders: 0 }

  private constructor (private readonly options: EngineOrdersOptions) {
    this.role = options.config.role
  }

  static create (options: EngineOrdersOptions): EngineOrders {
    return new EngineOrders(options)
  }

  /** Applies an order that has arrived. */
  apply (order: EngineOrder): OrderOutcome {
    const answer = this.#isStale(order) ? { outcome: 'stale-fence' as const } : this.#carryOut(order)
    if (answer.outcome === 'stale-fence') this.counts.staleFences += 1
    if (answer.outcome === 'refused') this.counts.refusedOrders += 1
    this.recent.push({ orderId: order.orderId, outcome: answer.outcome })
    if (this.recent.length > KEPT_ORDERS) this.recent.shift()
    return { orderId: order.orderId, instance: this.options.config.instance, ...answer }
  }

  #isStale (order: EngineOrder): boolean {
    if (!this.options.config.checksFencing) return false
    if (order.fence < this.highestFence) return true
    this.highestFence = order.fence
    return false
  }

  #carryOut (order: EngineOrder): Answer {
    const copy = this.options.memory.find(order.model, order.version)
    switch (order.action) {
      case 'load': return this.#load(order, copy)
      case 'unload': return this.#unload(copy)
      case 'load-adapter': return this.#loadAdapter(order, copy)
      case 'unload-adapter': return this.#unloadAdapter(order, copy)
      case 'set-role': return this.#setRole(order)
      default: return refuse(`no such action: ${order.action}`)
    }
  }

  #load (order: EngineOrder, copy: ReportedCopy | undefined): Answer {
    if (copy?.state === 'resident') return { outcome: 'done' }
    if (copy?.state === 'loading') return { outcome: 'accepted' }
    if (copy?.state === 'unloading') return refuse('the copy is being unloaded')
    if (order.weightsMiB === undefined || order.kvReserveMiB === undefined) return refuse('weightsMiB or kvReserveMiB is missing')
    const { model, version, weightsMiB, kvReserveMiB } = order
    const loading: ReportedCopy = { model, version, weightsMiB, kvReserveMiB, state: 'loading', adapters: [] }
    this.options.memory.add(loading)
    this.counts.loads += 1
    this.options.store.load(this.options.config.loadMs, () => this.options.gate.run(() => {
      if (loading.state === 'loading') loading.state = 'resident'
    }))
    return { outcome: 'accepted' }
  }

  #unload (copy: ReportedCopy | undefined): Answer {
    if (copy === undefined) return { outcome: 'done' }
    if (copy.state === 'unloading') return { outcome: 'accepted' }
    copy.state = 'unloading'
    this.counts.unloads += 1
    this.options.drain(copyKey(copy.model, copy.version), () => this.#after(this.options.config.unloadMs, () => {
      this.options.memory.remove(copy)
      this.options.onUnloaded(copy.model)
    }))
    return { outcome: 'accepted' }
  }

  #loadAdapter (order: EngineOrder, copy: ReportedCopy | undefined): Answer {
    const name = order.adapter
    if (name === undefined || order.sizeMiB === undefined) return refuse('adapter or sizeMiB is missing')
    if (copy === undefined || copy.state === 'unloading') return refuse('the model is not resident')
    const present = copy.adapters.find((adapter) => adapter.name === name)
    if (present !== undefined) return answerForAdapter(present)
    const loading: ReportedAdapter = { name, sizeMiB: order.sizeMiB, state: 'loading' }
    this.options.memory.addAdapter(copy, loading)
    this.counts.adapterLoads += 1
    this.options.store.loadAdapter(this.options.config.adapterLoadMs, () => this.options.gate.run(() => {
      if (loading.state === 'loading') loading.state = 'resident'
    }))
    return { outcome: 'accepted' }
  }

  #unloadAdapter (order: EngineOrder, copy: ReportedCopy | undefined): Answer {
    const adapter = copy?.adapters.find((candidate) => candidate.name === order.adapter)
    if (copy === undefined || adapter === undefined) return { outcome: 'done' }
    if (adapter.state === 'unloading') return { outcome: 'accepted' }
    adapter.state = 'unloading'
    this.counts.adapterUnloads += 1
    this.#after(this.options.config.unloadMs, () => {
      copy.adapters = copy.adapters.filter((candidate) => candidate !== adapter)
    })
    return { outcome: 'accepted' }
  }

  #setRole (order: EngineOrder): Answer {
    const role = order.role
    if (role === undefined || !ROLES.includes(role)) return refuse('no such role')
    if (role === this.role) return { outcome: 'done' }
    this.counts.roleChanges += 1
    this.#after(this.options.config.roleChangeMs, () => { this.role = role })
    return { outcome: 'accepted' }
  }

  #after (delayMs: number, callback: () => void): void {
    this.options.clock.setTimer(delayMs, () => this.options.gate.run(callback))
  }
}

function refuse (message: string): Answer {
  return { outcome: 'refused', message }
}

function answerForAdapter (adapter: ReportedAdapter): Answer {
  if (adapter.state === 'resident') return { outcome: 'done' }
  if (adapter.state === 'loading') return { outcome: 'accepted' }
  return refuse('the adapter is being unloaded')
}
