/**
 * Tracks the models and adapters that one runner holds. The runner accepts an order only if it names the number of orders
 * accepted so far, so the contents follow from the last report and the orders accepted since, even when answers are lost
 * or orders arrive late. Pure state; times are monotonic milliseconds.
 */
import type { EngineSpec, ModelSpec } from '../config/types.js'
import type { ResidentModel, RunnerEntry, RunnerReport } from '../runners/types.js'
import { OrderKind, type OrderTarget } from './types.js'

/** A model order in progress. */
export type PendingModelOrder = { kind: OrderKind, model: string, sinceMs: number }

/** An adapter that the runner holds or loads. */
export type AdapterCopy = { model: string, adapter: string, residentFromMs: number, lastUsedMs: number }

/** Model of an order that isn't known, where a runner reports to be busy. Its size is taken as that of the largest model. */
export const UNKNOWN_MODEL = ''

export class RunnerInventory {
  #acceptedOrders: number | undefined
  #models = new Set<string>()
  #adapters = new Map<string, AdapterCopy>()
  #pending: PendingModelOrder | undefined

  private constructor (readonly runnerId: string) {}

  static create (runnerId: string): RunnerInventory {
    return new RunnerInventory(runnerId)
  }

  /** Number of orders that the runner has accepted, which the next order must name; undefined until a report is read. */
  get acceptedOrders (): number | undefined {
    return this.#acceptedOrders
  }

  get pending (): PendingModelOrder | undefined {
    return this.#pending
  }

  /** Models that are resident and not being unloaded. */
  get models (): string[] {
    return [...this.#models].filter((model) => this.#pending?.kind !== OrderKind.Unload || this.#pending.model !== model)
  }

  get adapters (): AdapterCopy[] {
    return [...this.#adapters.values()]
  }

  adapter (model: string, adapter: string): AdapterCopy | undefined {
    return this.#adapters.get(adapterKey(model, adapter))
  }

  /** Marks the contents as uncertain: a report must be read before the next order. */
  invalidate (): void {
    this.#acceptedOrders = undefined
  }

  applyReport (report: RunnerReport, nowMs: number): void {
    const knownOrders = this.#acceptedOrders
    if (knownOrders !== undefined && report.acceptedOrders < knownOrders) return
    this.#acceptedOrders = report.acceptedOrders
    this.#replaceModels(report.models, nowMs)
    for (const { model, adapter } of report.coming) this.#addAdapter(model, adapter, nowMs)
    this.#applyBusy(report.busy, nowMs)
  }

  /** Ends the pending model order once the entry in the runner list shows its result. Entries do not change the adapters. */
  applyEntry (entry: RunnerEntry): void {
    const pending = this.#pending
    if (pending === undefined || pending.model === UNKNOWN_MODEL) return
    const listed = entry.models.some(({ name }) => name === pending.model)
    if (pending.kind === OrderKind.Load && listed) {
      this.#models.add(pending.model)
      this.#pending = undefined
    } else if (pending.kind === OrderKind.Unload && !listed) {
      this.#removeModel(pending.model)
      this.#pending = undefined
    }
  }

  /** Records that the runner accepted an order that named the current number of accepted orders. */
  applyAccepted (target: OrderTarget, nowMs: number, adapterLoadMs: number): void {
    if (this.#acceptedOrders === undefined) return
    this.#acceptedOrders += 1
    const { kind, model, adapter } = target
    if (adapter === undefined) {
      this.#pending = { kind, model, sinceMs: nowMs }
      return
    }
    if (kind === OrderKind.Load) this.#addAdapter(model, adapter, nowMs, adapterLoadMs)
    else this.#adapters.delete(adapterKey(model, adapter))
  }

  touchAdapter (model: string, adapter: string, nowMs: number): void {
    const copy = this.adapter(model, adapter)
    if (copy !== undefined) copy.lastUsedMs = nowMs
  }

  /** Memory that models and adapters use, in MB, with the model that is or may be loading. */
  usedMb (engine: EngineSpec): number {
    let totalMb = 0
    for (const model of this.#models) totalMb += engine.models.get(model)?.sizeMb ?? engine.weightsMb
    if (this.#pending?.kind === OrderKind.Load && !this.#models.has(this.#pending.model)) totalMb += pendingMb(this.#pending, engine)
    for (const { model } of this.#adapters.values()) totalMb += engine.models.get(model)?.adapterSizeMb ?? 0
    return totalMb
  }

  #replaceModels (models: readonly ResidentModel[], nowMs: number): void {
    this.#models = new Set(models.map(({ name }) => name))
    const previousAdapters = this.#adapters
    this.#adapters = new Map()
    for (const { name, adapters } of models) {
      for (const adapter of adapters) {
        const known = previousAdapters.get(adapterKey(name, adapter))
        this.#addAdapter(name, adapter, known?.lastUsedMs ?? nowMs)
      }
    }
  }

  #applyBusy (busy: boolean, nowMs: number): void {
    if (!busy) this.#pending = undefined
    else this.#pending ??= { kind: OrderKind.Load, model: UNKNOWN_MODEL, sinceMs: nowMs }
  }

  #addAdapter (model: string, adapter: string, nowMs: number, loadMs = 0): void {
    const key = adapterKey(model, adapter)
    if (this.#adapters.has(key)) return
    this.#adapters.set(key, { model, adapter, residentFromMs: nowMs + loadMs, lastUsedMs: nowMs })
  }

  #removeModel (model: string): void {
    this.#models.delete(model)
    for (const [key, copy] of this.#adapters) {
      if (copy.model === model) this.#adapters.delete(key)
    }
  }
}

function pendingMb (pending: PendingModelOrder, engine: EngineSpec): number {
  if (pending.model !== UNKNOWN_MODEL) return engine.models.get(pending.model)?.sizeMb ?? engine.weightsMb
  return Math.max(...[...engine.models.values()].map((model: ModelSpec) => model.sizeMb), 0)
}

function adapterKey (model: string, adapter: string): string {
  return `${model}/${adapter}`
}
