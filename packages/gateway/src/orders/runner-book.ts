/**
 * What one runner holds by the holder's orders. Every order names the number of orders that it builds upon, so a
 * runner's contents follow from its last report and the orders accepted since, whatever was lost or comes late.
 * Pure state; times are monotonic milliseconds.
 */
import type { EngineSpec, ModelSpec } from '../config/types.js'
import type { ResidentModel, RunnerEntry, RunnerReport } from '../runners/types.js'
import { OrderKind, type OrderTarget } from './types.js'

/** A model order under way. */
export type PendingModel = { kind: OrderKind, model: string, sinceMs: number }

/** An adapter of a model at the runner. */
export type AdapterCopy = { model: string, adapter: string, residentFromMs: number, usedMs: number }

/** A runner that says it is busy with an order which isn't known may be loading the largest model. */
export const UNKNOWN_ORDER = ''

export class RunnerBook {
  #acceptedOrders: number | undefined
  #models = new Set<string>()
  #adapters = new Map<string, AdapterCopy>()
  #pending: PendingModel | undefined

  private constructor (readonly runnerId: string) {}

  static create (runnerId: string): RunnerBook {
    return new RunnerBook(runnerId)
  }

  /** Number that the next order builds upon; undefined until a report was read. */
  get acceptedOrders (): number | undefined {
    return this.#acceptedOrders
  }

  get pending (): PendingModel | undefined {
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

  /** The contents are uncertain: a report has to be read before the next order. */
  invalidate (): void {
    this.#acceptedOrders = undefined
  }

  applyReport (report: RunnerReport, nowMs: number): void {
    const before = this.#acceptedOrders
    if (before !== undefined && report.acceptedOrders < before) return
    this.#acceptedOrders = report.acceptedOrders
    this.#replaceModels(report.models, nowMs)
    for (const { model, adapter } of report.coming) this.#addAdapter(model, adapter, nowMs)
    this.#applyBusy(report.busy, nowMs)
  }

  /** An entry of the list shows the end of model orders; it says nothing of adapters. */
  applyEntry (entry: RunnerEntry): void {
    const pending = this.#pending
    if (pending === undefined || pending.model === UNKNOWN_ORDER) return
    const listed = entry.models.some(({ name }) => name === pending.model)
    if (pending.kind === OrderKind.Load && listed) {
      this.#models.add(pending.model)
      this.#pending = undefined
    } else if (pending.kind === OrderKind.Unload && !listed) {
      this.#dropModel(pending.model)
      this.#pending = undefined
    }
  }

  /** The runner accepted an order that was built upon the present number. */
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
    if (copy !== undefined) copy.usedMs = nowMs
  }

  /** Memory that weights and adapters take or may take, in MB. */
  usedMb (engine: EngineSpec): number {
    let used = 0
    for (const model of this.#models) used += engine.models.get(model)?.sizeMb ?? engine.weightsMb
    if (this.#pending?.kind === OrderKind.Load && !this.#models.has(this.#pending.model)) used += pendingMb(this.#pending, engine)
    for (const { model } of this.#adapters.values()) used += engine.models.get(model)?.adapterSizeMb ?? 0
    return used
  }

  #replaceModels (models: readonly ResidentModel[], nowMs: number): void {
    this.#models = new Set(models.map(({ name }) => name))
    const earlier = this.#adapters
    this.#adapters = new Map()
    for (const { name, adapters } of models) {
      for (const adapter of adapters) {
        const known = earlier.get(adapterKey(name, adapter))
        this.#addAdapter(name, adapter, known?.usedMs ?? nowMs)
      }
    }
  }

  #applyBusy (busy: boolean, nowMs: number): void {
    if (!busy) this.#pending = undefined
    else this.#pending ??= { kind: OrderKind.Load, model: UNKNOWN_ORDER, sinceMs: nowMs }
  }

  #addAdapter (model: string, adapter: string, nowMs: number, loadMs = 0): void {
    const key = adapterKey(model, adapter)
    if (this.#adapters.has(key)) return
    this.#adapters.set(key, { model, adapter, residentFromMs: nowMs + loadMs, usedMs: nowMs })
  }

  #dropModel (model: string): void {
    this.#models.delete(model)
    for (const [key, copy] of this.#adapters) {
      if (copy.model === model) this.#adapters.delete(key)
    }
  }
}

function pendingMb (pending: PendingModel, engine: EngineSpec): number {
  if (pending.model !== UNKNOWN_ORDER) return engine.models.get(pending.model)?.sizeMb ?? engine.weightsMb
  return Math.max(...[...engine.models.values()].map((model: ModelSpec) => model.sizeMb), 0)
}

function adapterKey (model: string, adapter: string): string {
  return `${model}/${adapter}`
}
