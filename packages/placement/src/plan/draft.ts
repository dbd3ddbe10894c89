/** Working state of one plan: the current state of the cell with the effects of the steps planned so far. */
import {
  CopyState, OrderAction, RunnerRole,
  type AdapterCopy, type CellStep, type ModelCopy, type ModelKey, type PoolModel, type RunnerView
} from '@figloom/tables'
import type { PlanInput, PlanOptions } from '../types.js'

/** A model version that routes use, with the adapters that they name. `sizeMiB` includes the adapters. */
export type RoutedModel = ModelKey & { key: string, spec: PoolModel, adapters: { name: string, sizeMiB: number }[], sizeMiB: number }

/** A copy in the draft: existing, or planned. */
export type DraftCopy = ModelKey & {
  key: string
  runner: DraftRunner
  /** Whether it can serve all routes of its model: resident and settled, with all routed adapters, on an available runner. */
  serving: boolean
  resident: boolean
  sizeMiB: number
  source?: ModelCopy
}

export type DraftRunner = {
  view: RunnerView
  /** Memory left after the steps planned so far. */
  freeMiB: number
  /** Memory that unloads in progress will free. */
  freeingMiB: number
  /** Healthy and not draining, so that it may get new copies. */
  available: boolean
  copies: Map<string, DraftCopy>
}

export class Draft {
  readonly steps: CellStep[] = []
  readonly runners: DraftRunner[]
  readonly models: RoutedModel[]
  readonly copies = new Map<string, DraftCopy[]>()
  readonly #changes: Map<string, number>
  readonly #routedKeys: Map<string, RoutedModel>
  #loadBudget: number
  #adapterLoadBudget: number

  private constructor (readonly input: PlanInput, readonly options: PlanOptions) {
    this.models = routedModels(input)
    this.#routedKeys = new Map(this.models.map((model) => [model.key, model]))
    this.#changes = new Map(input.recentChanges.map((change) => [`${change.runner} ${keyOf(change)}`, change.atMs]))
    this.#loadBudget = input.budgets.loads
    this.#adapterLoadBudget = input.budgets.adapterLoads
    this.runners = input.runners.map((view) => this.#runnerOf(view))
  }

  static create (input: PlanInput, options: PlanOptions): Draft {
    return new Draft(input, options)
  }

  get loadsLeft (): number {
    return this.#loadBudget
  }

  routed (key: string): RoutedModel | undefined {
    return this.#routedKeys.get(key)
  }

  /** Copies that serve or will serve, on available runners. */
  copiesOf (key: string): readonly DraftCopy[] {
    return this.copies.get(key) ?? []
  }

  zonesOf (key: string): Set<string> {
    return new Set(this.copiesOf(key).map((copy) => copy.runner.view.availabilityZone))
  }

  fits (runner: DraftRunner, model: RoutedModel): boolean {
    return runner.available && !runner.copies.has(model.key) && runner.freeMiB >= model.sizeMiB
  }

  /** Plans a load and reserves memory for the model and its adapters; false if the budget is spent or the model does not fit. */
  load (runner: DraftRunner, model: RoutedModel, reason: string): boolean {
    if (this.#loadBudget < 1 || !this.fits(runner, model)) return false
    this.#loadBudget -= 1
    runner.freeMiB -= model.sizeMiB
    const copy = { model: model.model, version: model.version, key: model.key, runner, serving: false, resident: false, sizeMiB: model.sizeMiB }
    this.#registerCopy(copy)
    const addsMiB = model.spec.weightsMiB + model.spec.kvReserveMiB
    this.steps.push({ action: OrderAction.Load, runner: runner.view.name, model: model.model, version: model.version, addsMiB, reason })
    return true
  }

  /** Whether a model fits once the unloads in progress are done. */
  fitsAfterUnloads (runner: DraftRunner, model: RoutedModel): boolean {
    return runner.available && !runner.copies.has(model.key) && runner.freeMiB + runner.freeingMiB >= model.sizeMiB
  }

  /** Reserves memory that unloads will free for a model that a later plan will load. */
  reserveFor (runner: DraftRunner, model: RoutedModel): void {
    const freeingMiB = Math.min(runner.freeingMiB, model.sizeMiB)
    runner.freeingMiB -= freeingMiB
    runner.freeMiB -= model.sizeMiB - freeingMiB
    this.#registerCopy({ model: model.model, version: model.version, key: model.key, runner, serving: false, resident: false, sizeMiB: model.sizeMiB })
  }

  /** Whether a copy may be unloaded: no route uses it, or another copy serves after the steps planned so far. */
  mayUnload (copy: DraftCopy): boolean {
    if (!copy.resident) return false
    if (!this.#routedKeys.has(copy.key)) return true
    return this.copiesOf(copy.key).some((other) => other !== copy && other.serving)
  }

  /** Plans an unload. Its memory counts as free only in a later plan, once the unload is confirmed. */
  unload (copy: DraftCopy, reason: string): boolean {
    if (!this.mayUnload(copy)) return false
    copy.runner.freeingMiB += copy.sizeMiB
    copy.runner.copies.delete(copy.key)
    this.copies.set(copy.key, this.copiesOf(copy.key).filter((other) => other !== copy))
    this.steps.push({ action: OrderAction.Unload, runner: copy.runner.view.name, model: copy.model, version: copy.version, addsMiB: 0, reason })
    return true
  }

  loadAdapter (copy: DraftCopy, adapter: { name: string, sizeMiB: number }, reason: string): void {
    if (this.#adapterLoadBudget < 1) return
    this.#adapterLoadBudget -= 1
    const step = { action: OrderAction.LoadAdapter, runner: copy.runner.view.name, model: copy.model, version: copy.version }
    this.steps.push({ ...step, adapter: adapter.name, addsMiB: adapter.sizeMiB, reason })
  }

  unloadAdapter (copy: DraftCopy, adapter: string, reason: string): void {
    const step = { action: OrderAction.UnloadAdapter, runner: copy.runner.view.name, model: copy.model, version: copy.version }
    this.steps.push({ ...step, adapter, addsMiB: 0, reason })
  }

  setRole (runner: DraftRunner, role: RunnerRole, reason: string): void {
    const step = { action: OrderAction.SetRole, runner: runner.view.name, model: '', version: '', role }
    this.steps.push({ ...step, addsMiB: 0, reason })
  }

  /** Time since the model was last loaded or unloaded on the runner, in milliseconds. */
  sinceChangeMs (runner: DraftRunner, key: string): number {
    const atMs = this.#changes.get(`${runner.view.name} ${key}`)
    return atMs === undefined ? Infinity : this.input.nowMs - atMs
  }

  #runnerOf (view: RunnerView): DraftRunner {
    const available = view.healthy && !view.draining
    const runner: DraftRunner = { view, freeMiB: view.freeMiB, freeingMiB: 0, available, copies: new Map() }
    for (const source of view.copies) this.#addCopy(runner, source)
    return runner
  }

  #addCopy (runner: DraftRunner, source: ModelCopy): void {
    const key = keyOf(source)
    const sizeMiB = source.weightsMiB + source.kvReserveMiB + sum(source.adapters.map((adapter) => adapter.sizeMiB))
    if (source.state === CopyState.Unloading) {
      runner.freeingMiB += sizeMiB
      return
    }
    const resident = source.state === CopyState.Resident && !source.unsettled
    const routed = this.#routedKeys.get(key)
    const complete = routed?.adapters.every(({ name }) => hasAdapter(source, name)) ?? true
    const copy = { model: source.model, version: source.version, key, runner, resident, serving: runner.available && resident && complete, sizeMiB, source }
    if (runner.available && routed !== undefined) runner.freeMiB -= missingAdaptersMiB(routed, source)
    this.#registerCopy(copy)
  }

  #registerCopy (copy: DraftCopy): void {
    copy.runner.copies.set(copy.key, copy)
    if (!copy.runner.available) return
    const copies = this.copies.get(copy.key)
    if (copies === undefined) this.copies.set(copy.key, [copy])
    else copies.push(copy)
  }
}

export function keyOf (model: ModelKey): string {
  return `${model.model}@${model.version}`
}

function hasAdapter (copy: ModelCopy, name: string): boolean {
  return copy.adapters.some((adapter: AdapterCopy) => adapter.name === name && adapter.state === CopyState.Resident)
}

/** Memory needed for routed adapters that a copy does not have yet. */
function missingAdaptersMiB (model: RoutedModel, copy: ModelCopy): number {
  return sum(model.adapters.filter(({ name }) => !copy.adapters.some((adapter) => adapter.name === name)).map(({ sizeMiB }) => sizeMiB))
}

function routedModels (input: PlanInput): RoutedModel[] {
  const specs = new Map(input.pool.models.map((spec) => [keyOf({ model: spec.name, version: spec.version }), spec]))
  const models = new Map<string, RoutedModel>()
  for (const route of input.routes) {
    const key = keyOf(route)
    const spec = specs.get(key)
    if (spec === undefined) continue
    const sizeMiB = spec.weightsMiB + spec.kvReserveMiB
    const model = models.get(key) ?? { model: route.model, version: route.version, key, spec, adapters: [], sizeMiB }
    const adapter = spec.adapters.find(({ name }) => name === route.adapter)
    if (adapter !== undefined && !model.adapters.includes(adapter)) model.adapters.push(adapter)
    models.set(key, model)
  }
  for (const model of models.values()) model.sizeMiB += sum(model.adapters.map(({ sizeMiB }) => sizeMiB))
  return [...models.values()]
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
