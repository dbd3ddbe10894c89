/**
 * The simulated cell of a replay: its engines and weight store, the state that control and routing see, and the loads and
 * unloads that control orders.
 */
import { DemandForecast, planCell, type CopyChange, type PlanInput, type PlanOptions } from '@figloom/placement'
import type { RunnerInfo, TargetDemand } from '@figloom/routing'
import { CopyState, OrderAction, RunnerRole, type AdapterCopy, type CellStep, type ModelCopy, type PoolModel, type RunnerView } from '@figloom/tables'
import { Engine } from './engine.js'
import { Store } from './store.js'
import type { Deployment } from './deployments.js'
import type { Timeline } from './timeline.js'

/** Time from the crash of a runner until control and routing detect it. */
const FAILURE_DETECTION_MS = 3_000
const DRAIN_POLL_MS = 250
const DRAIN_TIMEOUT_MS = 20_000
const RECENT_CHANGE_MS = 600_000
/** Assumed processing time of a request to a model of the reference weights, before any request has been measured. */
const INITIAL_RUNNER_MS = 30
const WARM_UP_ROUNDS = 200
/** Duration of the steady demand that the forecast has observed when the replay starts. */
const HISTORY_MS = 3_600_000

export class Cell {
  readonly engines = new Map<string, Engine>()
  readonly loading = new Map<string, Map<string, PoolModel>>()
  readonly unloading = new Map<string, Set<string>>()
  /** Orders so far, by kind. Loads and unloads of copies are the moves that the report counts. */
  readonly moves = { loads: 0, unloads: 0, adapterLoads: 0 }
  overcommits = 0
  logDown = false
  readonly #adaptersLoading = new Map<string, { runner: string, model: string, name: string, sizeMiB: number }>()
  readonly #crashedAtMs = new Map<string, number>()
  readonly #copiesAtCrash = new Map<string, RunnerInfo['copies']>()
  #recentChanges: CopyChange[] = []
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

  /** Static placement without a plan: assigns copies of all models in turn until no runner has memory left. */
  placeEvenly (): void {
    for (let round = 0; round < this.engines.size; round++) {
      for (const model of this.deployment.pool.models) this.#placeOnNext(model)
    }
  }

  /** Loads the listed models on each runner; one list per runner, in the order of the pool. */
  placeExactly (placement: readonly (readonly string[])[]): void {
    const engines = [...this.engines.values()]
    placement.forEach((models, index) => models.forEach((model) => engines[index]?.load(this.#specOf(model))))
  }

  /** Plans copies for a known steady demand and applies them at once, without counting moves: the state at the start of a replay. */
  placeByPlan (demand: readonly { model: string, perS: number }[]): void {
    const planned = demand.map(({ model, perS }) => this.#steadyDemand(model, perS))
    this.#forecast.observe(planned.map((row) => ({ ...row, requests: row.requestsPerS * HISTORY_MS / 1000 })), 0)
    for (let round = 0; round < WARM_UP_ROUNDS; round++) {
      const steps = planCell({ ...this.#planInput(round * 100_000), demand: planned, budgets: { loads: 10, adapterLoads: 1000 } }, this.options)
      if (steps.length === 0) return
      for (const step of steps) this.#applyInstantly(step)
    }
  }

  /** Runs one round of control: observes demand, plans, and executes the steps of the plan. */
  runControlRound (samples: readonly TargetDemand[]): void {
    const nowMs = this.timeline.nowMs
    this.#forecast.observe(samples, nowMs)
    if (this.logDown) return
    this.#recentChanges = this.#recentChanges.filter((change) => nowMs - change.atMs < RECENT_CHANGE_MS)
    for (const step of planCell(this.#planInput(nowMs), this.options)) this.#execute(step)
  }

  kill (runner: string): void {
    this.#copiesAtCrash.set(runner, this.#copiesFor(runner))
    this.#crashedAtMs.set(runner, this.timeline.nowMs)
    this.loading.delete(runner)
    this.engines.get(runner)?.crash()
  }

  /** The runner list as routing sees it: a crashed runner keeps its copies until the failure is detected. */
  runnerInfos (): RunnerInfo[] {
    return this.deployment.pool.runners.filter(({ name }) => !this.#isDetectedDown(name)).map(({ name, availabilityZone }) => (
      { name, availabilityZone, draining: false, copies: this.#crashedAtMs.has(name) ? this.#copiesAtCrash.get(name) ?? [] : this.#copiesFor(name) }))
  }

  /** Share of routed models that are resident, with all their adapters, on at least one live runner. */
  reachableShare (): number {
    const models = this.deployment.pool.models
    const reachable = models.filter((model) => [...this.engines.values()].some((engine) => (
      engine.alive && (engine.copies.get(model.name)?.adapters.size ?? -1) >= model.adapters.length)))
    return reachable.length / models.length
  }

  #isDetectedDown (runner: string): boolean {
    const crashedAtMs = this.#crashedAtMs.get(runner)
    return crashedAtMs !== undefined && this.timeline.nowMs - crashedAtMs >= FAILURE_DETECTION_MS
  }

  #copiesFor (runner: string): RunnerInfo['copies'] {
    const engine = this.engines.get(runner)
    const copies = [...engine?.copies.values() ?? []].filter(({ spec }) => this.unloading.get(runner)?.has(spec.name) !== true)
    return copies.map(({ spec, adapters }) => ({ model: spec.name, version: spec.version, adapters: [...adapters] }))
  }

  #steadyDemand (model: string, perS: number) {
    const weightsMiB = this.#specOf(model).weightsMiB
    return { model, version: '1', requestsPerS: perS, forecastPerS: perS, recentPeakPerS: perS, usualPerS: perS, runnerMsPerRequest: INITIAL_RUNNER_MS * weightsMiB / 16384 }
  }

  #planInput (nowMs: number): PlanInput {
    const { pool, routes } = this.deployment
    const budgets = { loads: this.store.loadBudget, adapterLoads: this.store.adapterBudget }
    const runners = pool.runners.map(({ name }) => this.#runnerView(name))
    return { pool, routes, runners, demand: this.#forecast.demand(), budgets, recentChanges: this.#recentChanges, nowMs }
  }

  #runnerView (runner: string): RunnerView {
    const engine = this.engines.get(runner) as Engine
    const { name, availabilityZone, memoryMiB } = engine.runner
    const copies = engine.alive ? this.#copyViews(engine) : []
    const usedMiB = copies.reduce((sum, copy) => sum + copy.weightsMiB + copy.kvReserveMiB + copy.adapters.reduce((part, { sizeMiB }) => part + sizeMiB, 0), 0)
    return { name, availabilityZone, memoryMiB, freeMiB: memoryMiB - usedMiB, healthy: !this.#isDetectedDown(name), draining: false, role: RunnerRole.Both, copies }
  }

  #copyViews (engine: Engine): ModelCopy[] {
    const unloading = this.unloading.get(engine.runner.name)
    const resident = [...engine.copies.values()].map(({ spec, adapters }) => {
      const state = unloading?.has(spec.name) === true ? CopyState.Unloading : CopyState.Resident
      return this.#copyView(spec, state, engine.runner.name, adapters)
    })
    const loading = [...this.loading.get(engine.runner.name)?.values() ?? []]
    return [...resident, ...loading.map((spec) => this.#copyView(spec, CopyState.Loading, engine.runner.name, new Set()))]
  }

  #copyView (spec: PoolModel, state: CopyState, runner: string, resident: ReadonlySet<string>): ModelCopy {
    const adapters = spec.adapters.flatMap(({ name, sizeMiB }): AdapterCopy[] => {
      if (resident.has(name)) return [{ name, sizeMiB, state: CopyState.Resident }]
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

  #applyInstantly (step: CellStep): void {
    const engine = this.engines.get(step.runner)
    if (step.action === OrderAction.Load) engine?.load(this.#specOf(step.model))
    if (step.action === OrderAction.Unload) engine?.unload(step.model)
    if (step.action === OrderAction.LoadAdapter) engine?.copies.get(step.model)?.adapters.add(step.adapter ?? '')
  }

  #execute (step: CellStep): void {
    const change = { runner: step.runner, model: step.model, version: step.version, atMs: this.timeline.nowMs }
    if (step.action === OrderAction.Load || step.action === OrderAction.Unload) this.#recentChanges.push(change)
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

  /** Drains the copy, then unloads it: as soon as no attempt uses it, at the latest after the drain timeout. */
  #unload (step: CellStep): void {
    const unloading = this.unloading.get(step.runner) ?? new Set<string>()
    this.unloading.set(step.runner, unloading.add(step.model))
    this.moves.unloads += 1
    const startedMs = this.timeline.nowMs
    const poll = () => {
      const engine = this.engines.get(step.runner) as Engine
      const waitedMs = this.timeline.nowMs - startedMs
      const idle = waitedMs > 2 * DRAIN_POLL_MS && engine.countJobs(step.model) === 0
      if (!idle && waitedMs < DRAIN_TIMEOUT_MS) return this.timeline.runAfter(DRAIN_POLL_MS, poll)
      engine.unload(step.model)
      unloading.delete(step.model)
    }
    this.timeline.runAfter(DRAIN_POLL_MS, poll)
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
