/** The cell of a replay: engines, store, what control and routing know of them, and the moves. */
import { DemandForecast, planCell, type CopyChange, type PlanInput, type PlanOptions } from '@figloom/placement'
import type { RunnerInfo, TargetDemand } from '@figloom/routing'
import { CopyState, OrderAction, RunnerRole, type AdapterCopy, type CellStep, type ModelCopy, type PoolModel, type RunnerView } from '@figloom/tables'
import { Engine } from './engine.js'
import { Store } from './store.js'
import type { Deployment } from './deployments.js'
import type { Timeline } from './timeline.js'

/** Time until control and routing know that a runner is gone. */
const DETECTION_MS = 3_000
const DRAIN_POLL_MS = 250
const DRAIN_LIMIT_MS = 20_000
const CHANGE_MEMORY_MS = 600_000
/** Work of a request for reference weights when nothing has been answered yet. */
const FIRST_RUNNER_MS = 30
const WARM_ROUNDS = 200
/** Length of the ordinary day before the replay. */
const HISTORY_MS = 3_600_000

export class Cell {
  readonly engines = new Map<string, Engine>()
  readonly loading = new Map<string, Map<string, PoolModel>>()
  readonly unloading = new Map<string, Set<string>>()
  readonly moves = { loads: 0, unloads: 0, adapterLoads: 0 }
  overcommits = 0
  logDown = false
  readonly #adaptersLoading = new Map<string, { runner: string, model: string, name: string, sizeMiB: number }>()
  readonly #diedMs = new Map<string, number>()
  readonly #lastCopies = new Map<string, RunnerInfo['copies']>()
  #changes: CopyChange[] = []
  readonly #forecast = DemandForecast.create(-HISTORY_MS)

  private constructor (
    readonly deployment: Deployment,
    readonly timeline: Timeline,
    readonly store: Store,
    private readonly options: Partial<PlanOptions>
  ) {
    for (const runner of deployment.pool.runners) this.engines.set(runner.name, Engine.create(runner, timeline))
  }

  static create (deployment: Deployment, timeline: Timeline, store: Store, options: Partial<PlanOptions>): Cell {
    return new Cell(deployment, timeline, store, options)
  }

  /** Even static placement: copies dealt in turn while memory lasts. */
  placeEvenly (): void {
    for (let round = 0; round < this.engines.size; round++) {
      for (const model of this.deployment.pool.models) this.#placeOnNext(model)
    }
  }

  /** Places the named models on each runner. */
  placeExactly (placement: readonly (readonly string[])[]): void {
    const engines = [...this.engines.values()]
    placement.forEach((models, index) => models.forEach((model) => engines[index]?.load(this.#specOf(model))))
  }

  /** Places copies by plan for a known demand, without counting moves: the state after an ordinary day. */
  placeByPlan (demand: readonly { model: string, perS: number }[]): void {
    const planned = demand.map(({ model, perS }) => this.#demandOf(model, perS))
    this.#forecast.observe(planned.map((row) => ({ ...row, requests: row.requestsPerS * HISTORY_MS / 1000 })), 0)
    for (let round = 0; round < WARM_ROUNDS; round++) {
      const steps = planCell({ ...this.#planInput(round * 100_000), demand: planned, budgets: { loads: 10, adapterLoads: 1000 } }, this.options)
      if (steps.length === 0) return
      for (const step of steps) this.#applyNow(step)
    }
  }

  /** One round of control: observe demand, plan, order. */
  control (samples: readonly TargetDemand[]): void {
    const nowMs = this.timeline.nowMs
    this.#forecast.observe(samples, nowMs)
    if (this.logDown) return
    this.#changes = this.#changes.filter((change) => nowMs - change.atMs < CHANGE_MEMORY_MS)
    for (const step of planCell(this.#planInput(nowMs), this.options)) this.#order(step)
  }

  kill (runner: string): void {
    this.#lastCopies.set(runner, this.#copiesFor(runner))
    this.#diedMs.set(runner, this.timeline.nowMs)
    this.loading.delete(runner)
    this.engines.get(runner)?.die()
  }

  /** What routing knows of the runners. */
  runnerInfos (): RunnerInfo[] {
    return this.deployment.pool.runners.filter(({ name }) => !this.#isKnownDead(name)).map(({ name, availabilityZone }) => (
      { name, availabilityZone, draining: false, copies: this.#diedMs.has(name) ? this.#lastCopies.get(name) ?? [] : this.#copiesFor(name) }))
  }

  /** Share of routed models that a live runner holds with all adapters. */
  reachableShare (): number {
    const models = this.deployment.pool.models
    const reachable = models.filter((model) => [...this.engines.values()].some((engine) => (
      engine.alive && (engine.copies.get(model.name)?.adapters.size ?? -1) >= model.adapters.length)))
    return reachable.length / models.length
  }

  #isKnownDead (runner: string): boolean {
    const diedMs = this.#diedMs.get(runner)
    return diedMs !== undefined && this.timeline.nowMs - diedMs >= DETECTION_MS
  }

  #copiesFor (runner: string): RunnerInfo['copies'] {
    const engine = this.engines.get(runner)
    const copies = [...engine?.copies.values() ?? []].filter(({ spec }) => this.unloading.get(runner)?.has(spec.name) !== true)
    return copies.map(({ spec, adapters }) => ({ model: spec.name, version: spec.version, adapters: [...adapters] }))
  }

  #demandOf (model: string, perS: number) {
    const weightsMiB = this.#specOf(model).weightsMiB
    return { model, version: '1', requestsPerS: perS, forecastPerS: perS, recentPeakPerS: perS, usualPerS: perS, runnerMsPerRequest: FIRST_RUNNER_MS * weightsMiB / 16384 }
  }

  #planInput (nowMs: number): PlanInput {
    const { pool, routes } = this.deployment
    const budgets = { loads: this.store.loadBudget, adapterLoads: this.store.adapterBudget }
    const runners = pool.runners.map(({ name }) => this.#viewOf(name))
    return { pool, routes, runners, demand: this.#forecast.demand(), budgets, recentChanges: this.#changes, nowMs }
  }

  #viewOf (runner: string): RunnerView {
    const engine = this.engines.get(runner) as Engine
    const { name, availabilityZone, memoryMiB } = engine.runner
    const copies = engine.alive ? this.#viewCopies(engine) : []
    const usedMiB = copies.reduce((sum, copy) => sum + copy.weightsMiB + copy.kvReserveMiB + copy.adapters.reduce((part, { sizeMiB }) => part + sizeMiB, 0), 0)
    return { name, availabilityZone, memoryMiB, freeMiB: memoryMiB - usedMiB, healthy: !this.#isKnownDead(name), draining: false, role: RunnerRole.Both, copies }
  }

  #viewCopies (engine: Engine): ModelCopy[] {
    const unloading = this.unloading.get(engine.runner.name)
    const held = [...engine.copies.values()].map(({ spec, adapters }) => {
      const state = unloading?.has(spec.name) === true ? CopyState.Unloading : CopyState.Resident
      return this.#viewCopy(spec, state, engine.runner.name, adapters)
    })
    const loading = [...this.loading.get(engine.runner.name)?.values() ?? []]
    return [...held, ...loading.map((spec) => this.#viewCopy(spec, CopyState.Loading, engine.runner.name, new Set()))]
  }

  #viewCopy (spec: PoolModel, state: CopyState, runner: string, held: ReadonlySet<string>): ModelCopy {
    const adapters = spec.adapters.flatMap(({ name, sizeMiB }): AdapterCopy[] => {
      if (held.has(name)) return [{ name, sizeMiB, state: CopyState.Resident }]
      return this.#adaptersLoading.has(`${runner} ${spec.name} ${name}`) ? [{ name, sizeMiB, state: CopyState.Loading }] : []
    })
    return { model: spec.name, version: spec.version, weightsMiB: spec.weightsMiB, kvReserveMiB: spec.kvReserveMiB, state, adapters, unsettled: false }
  }

  #specOf (model: string): PoolModel {
    return this.deployment.pool.models.find(({ name }) => name === model) as PoolModel
  }

  #placeOnNext (model: PoolModel): void {
    const sizeMiB = model.weightsMiB + model.kvReserveMiB + model.adapters.reduce((sum, adapter) => sum + adapter.sizeMiB, 0)
    const open = [...this.engines.values()].filter((engine) => !engine.copies.has(model.name) && engine.usedMiB + sizeMiB <= engine.runner.memoryMiB)
    const zones = new Set([...this.engines.values()].filter((engine) => engine.copies.has(model.name)).map(({ runner }) => runner.availabilityZone))
    open.sort((a, b) => Number(zones.has(a.runner.availabilityZone)) - Number(zones.has(b.runner.availabilityZone)) || a.usedMiB - b.usedMiB)
    open[0]?.load(model)
    for (const { name } of model.adapters) open[0]?.copies.get(model.name)?.adapters.add(name)
  }

  #applyNow (step: CellStep): void {
    const engine = this.engines.get(step.runner)
    if (step.action === OrderAction.Load) engine?.load(this.#specOf(step.model))
    if (step.action === OrderAction.Unload) engine?.unload(step.model)
    if (step.action === OrderAction.LoadAdapter) engine?.copies.get(step.model)?.adapters.add(step.adapter ?? '')
  }

  #order (step: CellStep): void {
    const change = { runner: step.runner, model: step.model, version: step.version, atMs: this.timeline.nowMs }
    if (step.action === OrderAction.Load || step.action === OrderAction.Unload) this.#changes.push(change)
    if (step.action === OrderAction.Load) this.#load(step)
    if (step.action === OrderAction.Unload) this.#unload(step)
    if (step.action === OrderAction.LoadAdapter) this.#loadAdapter(step)
  }

  #load (step: CellStep): void {
    const spec = this.#specOf(step.model)
    const loading = this.loading.get(step.runner) ?? new Map<string, PoolModel>()
    this.loading.set(step.runner, loading.set(step.model, spec))
    this.moves.loads += 1
    this.store.load(spec.weightsMiB, () => {
      const engine = this.engines.get(step.runner) as Engine
      loading.delete(step.model)
      if (!engine.alive) return
      engine.load(spec)
      if (engine.usedMiB > engine.runner.memoryMiB) this.overcommits += 1
    })
  }

  /** Unloads once no attempt uses the copy, or after a limit. */
  #unload (step: CellStep): void {
    const unloading = this.unloading.get(step.runner) ?? new Set<string>()
    this.unloading.set(step.runner, unloading.add(step.model))
    this.moves.unloads += 1
    const startedMs = this.timeline.nowMs
    const poll = () => {
      const engine = this.engines.get(step.runner) as Engine
      const waitedMs = this.timeline.nowMs - startedMs
      const idle = waitedMs > 2 * DRAIN_POLL_MS && engine.jobsOf(step.model) === 0
      if (!idle && waitedMs < DRAIN_LIMIT_MS) return this.timeline.after(DRAIN_POLL_MS, poll)
      engine.unload(step.model)
      unloading.delete(step.model)
    }
    this.timeline.after(DRAIN_POLL_MS, poll)
  }

  #loadAdapter (step: CellStep): void {
    const key = `${step.runner} ${step.model} ${step.adapter}`
    this.#adaptersLoading.set(key, { runner: step.runner, model: step.model, name: step.adapter ?? '', sizeMiB: step.addsMiB })
    this.moves.adapterLoads += 1
    this.store.loadAdapter(() => {
      this.#adaptersLoading.delete(key)
      this.engines.get(step.runner)?.copies.get(step.model)?.adapters.add(step.adapter ?? '')
    })
  }
}
