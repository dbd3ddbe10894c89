/**
 * Simulates demand that shifts between models to test a planner: requests arrive at random from a fixed seed, hold slots,
 * and are refused where no copy has a free one. Loads and unloads take time, and entries lag behind the runners.
 */
import type { EngineSpec, ModelSpec } from '../../config/types.js'
import { DemandMeter } from '../../serve/demand-meter.js'
import { forecastDemand, type VersionDemand } from '../demand-forecast.js'
import { LoadRateLimiter } from '../load-rate-limiter.js'
import { MissingCopies } from '../missing-copies.js'
import type { PlannedOrder, PlannedRunner, PlanInput } from '../plan-models.js'
import { OrderKind } from '../types.js'

export type ReplaySpec = {
  seed: number
  models: number
  runners: number
  /** Models that fit into a runner's memory. */
  resident: number
  slots: number
  loadMs: number
  diskLoadMs: number
  loadsPerS: number
  /** Requests per second to the busy models together; the rare ones together get `rarePerS`. */
  busyPerS: number
  rarePerS: number
  holdMs: number
  lengthMs: number
  /** Times at which demand starts to shift by two positions in the list of busy models. */
  shiftsMs: readonly number[]
  shiftLengthMs: number
  /** Runners that are started again, empty, at another version, one after another. */
  release?: ReplayRelease
  /** Times, after the first request, at which a part of the runners ends; they start again empty at their version. */
  crashes?: { atMs: readonly number[], share: number, restartMs: number }
}

export type ReplayRelease = {
  /** After the first request. */
  startMs: number
  runners: number
  intervalMs: number
  /** Time from the drain to the start at the other version. */
  restartMs: number
  /** Time behind the last restart from which on `atRiskModels` are counted. */
  settleMs: number
}

export type ReplayResult = {
  /** Part of the requests that found a free slot on arrival. */
  servedShare: number
  /** Part of the requests that found one on their retry. */
  lateShare: number
  /** Models that were requested four times or more and never served. */
  neverServed: number
  loads: number
  /** Models of which as many streams were at the only holder of their version as `AT_RISK_STREAMS`, from the end of a release on. */
  atRiskModels: ReadonlySet<string>
  /** Part of the streams that were at the only holder of their version then, on average. */
  atRiskShare: number
  /** Part of the streams at ended runners that went on at a runner of their version, while two of it served. */
  goOnShare: number
}

export type Planner = (input: PlanInput) => PlannedOrder[]

/** Shares of the requests to busy models, the busiest model first. */
const BUSY_SHARES = [0.533, 0.197, 0.148, 0.123]
const BUSY_MODELS = 10
const SERVICE = 'service'
const STEP_MS = 10
const PLANNING_INTERVAL_MS = 250
const ENTRY_LAG_MS = 600
/** Time from the start of the runners to the first request. */
const WARM_UP_MS = 6_000
const MODEL_MB = 70
const SHIFT_POSITIONS = 2
/** Requests that a runner takes, queued ones included, as a part of its slots. */
const UTILIZATION_LIMIT = 1.1
const MIN_REQUESTS = 4
const RETRY_AFTER_MS = 1_500
const MAX_MODELS_ON_DISK = 6
/** More than chance brings to a model that is seldom requested. */
const AT_RISK_STREAMS = 8
/** Time for which callers wait for a stream to go on. */
const TAKE_UP_WAIT_MS = 2_400
const OLD_VERSION = 'v1'
const NEW_VERSION = 'v2'

type Runner = {
  id: string
  softwareVersion: string
  /** It drains or starts again until then. */
  downUntilMs: number
  models: Set<string>
  disk: string[]
  inFlight: number
  modelInFlight: Map<string, number>
  pending?: { kind: OrderKind, model: string, doneMs: number, visibleMs: number }
}

type BrokenStream = { model: string, softwareVersion: string, untilMs: number }

type Departure = { atMs: number, runner: Runner, model: string }

export function replayPlacement (spec: ReplaySpec, planner: Planner): ReplayResult {
  return PlacementReplay.create(spec, planner).run()
}

class PlacementReplay {
  readonly #engine: EngineSpec
  readonly #runners: Runner[]
  readonly #meter = DemandMeter.create()
  readonly #loadLimiter = LoadRateLimiter.create(0)
  readonly #missingCopies = MissingCopies.create()
  readonly #random: () => number
  readonly #requested = new Map<string, number>()
  readonly #served = new Map<string, number>()
  readonly #late = new Map<string, number>()
  #departures: Departure[] = []
  #retries: { atMs: number, model: string }[] = []
  readonly #atRiskModels = new Set<string>()
  #broken: BrokenStream[] = []
  #goneOn = 0
  #lost = 0
  #atRisk = 0
  #counted = 0
  #loads = 0
  #nowMs = 0

  private constructor (private readonly spec: ReplaySpec, private readonly planner: Planner) {
    this.#engine = engineOf(spec)
    this.#runners = createRunners(spec)
    this.#random = seededRandom(spec.seed)
  }

  static create (spec: ReplaySpec, planner: Planner): PlacementReplay {
    return new PlacementReplay(spec, planner)
  }

  run (): ReplayResult {
    for (this.#nowMs = 0; this.#nowMs < WARM_UP_MS + this.spec.lengthMs; this.#nowMs += STEP_MS) {
      this.#finishOrders()
      this.#depart()
      this.#release()
      this.#crash()
      this.#takeUp()
      if (this.#nowMs >= WARM_UP_MS) this.#arrive()
      this.#retryRefused()
      if (this.#nowMs % PLANNING_INTERVAL_MS === 0) this.#plan()
      if (this.#nowMs % PLANNING_INTERVAL_MS === 0 && this.#isSettled()) this.#countAtRisk()
    }
    return this.#result()
  }

  #result (): ReplayResult {
    let requested = 0
    let served = 0
    let late = 0
    let neverServed = 0
    for (const [model, count] of this.#requested) {
      const servedCount = this.#served.get(model) ?? 0
      const lateCount = this.#late.get(model) ?? 0
      requested += count
      served += servedCount
      late += lateCount
      if (count >= MIN_REQUESTS && servedCount + lateCount === 0) neverServed += 1
    }
    return { servedShare: served / requested, lateShare: late / requested, neverServed, loads: this.#loads, atRiskModels: this.#atRiskModels, atRiskShare: this.#atRisk / Math.max(1, this.#counted), goOnShare: this.#goneOn / Math.max(1, this.#goneOn + this.#lost) }
  }

  #arrive (): void {
    const atMs = this.#nowMs - WARM_UP_MS
    const rare = this.spec.models - BUSY_MODELS
    for (let position = 0; position < BUSY_MODELS; position += 1) this.#arriveFor(position, this.spec.busyPerS * busyShare(this.spec, position, atMs))
    for (let position = BUSY_MODELS; position < this.spec.models; position += 1) this.#arriveFor(position, this.spec.rarePerS / rare)
  }

  #arriveFor (position: number, perS: number): void {
    if (this.#random() >= perS * STEP_MS / 1000) return
    const model = modelName(position)
    add(this.#requested, model, 1)
    if (this.#admit(model)) add(this.#served, model, 1)
    else this.#retries.push({ atMs: this.#nowMs + RETRY_AFTER_MS, model })
  }

  /** Refused requests are retried once; those that are served then count as late. */
  #retryRefused (): void {
    const due = this.#retries.filter(({ atMs }) => atMs <= this.#nowMs)
    if (due.length === 0) return
    this.#retries = this.#retries.filter(({ atMs }) => atMs > this.#nowMs)
    for (const { model } of due) {
      if (this.#admit(model)) add(this.#late, model, 1)
    }
  }

  #admit (model: string): boolean {
    this.#meter.count(SERVICE, model, undefined, this.#nowMs)
    const runner = this.#leastLoaded(model)
    if (runner === undefined) return false
    this.#occupy(runner, model)
    return true
  }

  #occupy (runner: Runner, model: string): void {
    runner.inFlight += 1
    add(runner.modelInFlight, model, 1)
    const holdMs = this.spec.holdMs * -Math.log(1 - this.#random())
    this.#departures.push({ atMs: this.#nowMs + holdMs, runner, model })
  }

  #leastLoaded (model: string): Runner | undefined {
    const limit = this.spec.slots * UTILIZATION_LIMIT
    const holders = this.#holders(model)
    const open = holders.filter((runner) => runner.inFlight < limit)
    return this.#preferred(open, holders).sort((a, b) => a.inFlight - b.inFlight)[0]
  }

  #holders (model: string): Runner[] {
    const holders = this.#runners.filter((runner) => runner.models.has(model) && runner.downUntilMs <= this.#nowMs)
    return holders.filter((runner) => runner.pending?.kind !== OrderKind.Unload || runner.pending.model !== model)
  }

  /** As requests choose while several versions serve. */
  #preferred (open: Runner[], holders: Runner[]): Runner[] {
    if (!this.#isMixed()) return open
    const preferred = open.filter(({ softwareVersion }) => holders.filter((holder) => holder.softwareVersion === softwareVersion).length > 1)
    return preferred.length > 0 ? preferred : open
  }

  #isMixed (): boolean {
    return this.#runners.some(({ softwareVersion }) => softwareVersion === NEW_VERSION)
  }

  /** Starts one runner after another again, without models: what was in progress there completes. */
  #release (): void {
    const { release } = this.spec
    if (release === undefined) return
    const sinceMs = this.#nowMs - WARM_UP_MS - release.startMs
    if (sinceMs < 0 || sinceMs % release.intervalMs !== 0) return
    const runner = sinceMs / release.intervalMs < release.runners ? this.#runners[sinceMs / release.intervalMs] : undefined
    if (runner === undefined) return
    this.#departures = this.#departures.filter((departure) => departure.runner !== runner)
    Object.assign(runner, createRunner(runner.id, NEW_VERSION), { disk: runner.disk, downUntilMs: this.#nowMs + release.restartMs })
  }

  /** A part of the runners that serve ends at once, and starts again without models. */
  #crash (): void {
    const { crashes } = this.spec
    if (crashes === undefined || !crashes.atMs.includes(this.#nowMs - WARM_UP_MS)) return
    const serving = this.#runners.filter(({ downUntilMs }) => downUntilMs <= this.#nowMs)
    const ended = new Set(serving.filter(() => this.#random() < crashes.share))
    for (const { runner, model } of this.#departures) {
      const { softwareVersion } = runner
      const left = serving.filter((other) => !ended.has(other) && other.softwareVersion === softwareVersion).length
      if (ended.has(runner) && left > 1) this.#broken.push({ model, softwareVersion, untilMs: this.#nowMs + TAKE_UP_WAIT_MS })
    }
    this.#departures = this.#departures.filter(({ runner }) => !ended.has(runner))
    for (const runner of ended) Object.assign(runner, createRunner(runner.id, runner.softwareVersion), { disk: runner.disk, downUntilMs: this.#nowMs + crashes.restartMs })
  }

  /** Callers continue broken streams at runners of the same version, which take a few more than new ones. */
  #takeUp (): void {
    const limit = this.spec.slots * UTILIZATION_LIMIT
    this.#broken = this.#broken.filter(({ model, softwareVersion, untilMs }) => {
      const [runner] = this.#holders(model).filter((holder) => holder.softwareVersion === softwareVersion && holder.inFlight < limit)
      if (runner === undefined && this.#nowMs < untilMs) return true
      if (runner === undefined) this.#lost += 1
      else this.#goneOn += 1
      if (runner !== undefined) this.#occupy(runner, model)
      return false
    })
  }

  /** Streams in progress by model and version, and those that are broken. */
  #versionDemand (): VersionDemand[] {
    const counts = new Map<string, VersionDemand>()
    const countOf = (model: string, softwareVersion: string) => {
      const key = `${model} ${softwareVersion}`
      const count = counts.get(key) ?? { model, softwareVersion, takeUpSlots: 0, openStreams: 0 }
      counts.set(key, count)
      return count
    }
    for (const { runner, model } of this.#departures) countOf(model, runner.softwareVersion).openStreams += 1
    for (const { model, softwareVersion } of this.#broken) countOf(model, softwareVersion).takeUpSlots += 1
    return [...counts.values()]
  }

  #isSettled (): boolean {
    const { release } = this.spec
    return release !== undefined && this.#nowMs >= WARM_UP_MS + release.startMs + release.runners * release.intervalMs + release.restartMs + release.settleMs
  }

  #countAtRisk (): void {
    for (const runner of this.#runners) {
      for (const [model, streams] of runner.modelInFlight) {
        this.#counted += streams
        const others = this.#holders(model).filter((holder) => holder !== runner && holder.softwareVersion === runner.softwareVersion)
        if (others.length > 0) continue
        this.#atRisk += streams
        if (streams >= AT_RISK_STREAMS) this.#atRiskModels.add(model)
      }
    }
  }

  #depart (): void {
    const [departed, remaining] = [[] as Departure[], [] as Departure[]]
    for (const departure of this.#departures) (departure.atMs <= this.#nowMs ? departed : remaining).push(departure)
    this.#departures = remaining
    for (const { runner, model } of departed) {
      runner.inFlight -= 1
      add(runner.modelInFlight, model, -1)
      this.#meter.observeHold(SERVICE, model, this.spec.holdMs)
    }
  }

  #finishOrders (): void {
    for (const runner of this.#runners) {
      const { pending } = runner
      if (pending === undefined) continue
      if (pending.kind === OrderKind.Unload) this.#finishUnload(runner, pending)
      else if (this.#nowMs >= pending.doneMs) runner.models.add(pending.model)
      if (this.#nowMs >= pending.visibleMs) runner.pending = undefined
    }
  }

  #finishUnload (runner: Runner, pending: NonNullable<Runner['pending']>): void {
    if (!runner.models.has(pending.model)) return
    const busy = (runner.modelInFlight.get(pending.model) ?? 0) > 0
    if (!busy) runner.models.delete(pending.model)
    pending.visibleMs = this.#nowMs + ENTRY_LAG_MS
  }

  #plan (): void {
    const runners = this.#runners.filter(({ downUntilMs }) => downUntilMs <= this.#nowMs).map(toPlanned)
    const demand = forecastDemand(this.#meter.rates(this.#nowMs), SERVICE)
    const missingMs = this.#missingCopies.update(SERVICE, demand, runners, this.#nowMs)
    const storeLoads = this.#loadLimiter.available(this.spec.loadsPerS, this.#nowMs)
    const orders = this.planner({ engine: this.#engine, runners, demand, missingMs, storeLoads, isMixed: this.#isMixed(), versionDemand: this.#versionDemand() })
    for (const order of orders) this.#carryOut(order)
  }

  #carryOut (order: PlannedOrder): void {
    const runner = this.#runners.find(({ id }) => id === order.runnerId)
    if (runner === undefined || runner.pending !== undefined) throw new Error('the planner ordered a busy runner to load or unload')
    if (order.kind === OrderKind.Unload) {
      runner.pending = { kind: order.kind, model: order.model, doneMs: Infinity, visibleMs: Infinity }
      return
    }
    const onDisk = runner.disk.includes(order.model)
    if (!onDisk) {
      this.#loadLimiter.recordLoad()
      this.#loads += 1
    }
    const doneMs = this.#nowMs + (onDisk ? this.spec.diskLoadMs : this.spec.loadMs)
    runner.disk = [...runner.disk.filter((model) => model !== order.model), order.model].slice(-MAX_MODELS_ON_DISK)
    runner.pending = { kind: order.kind, model: order.model, doneMs, visibleMs: doneMs + ENTRY_LAG_MS }
  }
}

function engineOf (spec: ReplaySpec): EngineSpec {
  const models = new Map<string, ModelSpec>()
  for (let position = 0; position < spec.models; position += 1) {
    models.set(modelName(position), { name: modelName(position), sizeMb: MODEL_MB, loadMs: spec.loadMs, diskLoadMs: spec.diskLoadMs, adapters: [], adapterSizeMb: 1 })
  }
  return { slots: spec.slots, memoryTokens: 100_000, weightsMb: spec.resident * MODEL_MB, adapterSlots: 8, loadsPerS: spec.loadsPerS, models }
}

/** Runners at the start: the busy models have several copies, the others one each while memory lasts. */
function createRunners (spec: ReplaySpec): Runner[] {
  const runners: Runner[] = []
  for (let position = 0; position < spec.runners; position += 1) {
    runners.push(createRunner(`r${position}`, OLD_VERSION))
  }
  const copies = BUSY_SHARES.map((share) => Math.max(1, Math.round(share * spec.runners)))
  const modelsToPlace = [...copies.entries()].flatMap(([model, count]) => Array.from({ length: count }, () => model))
  for (let position = BUSY_SHARES.length; position < spec.models; position += 1) modelsToPlace.push(position)
  for (const model of modelsToPlace) addCopy(runners, modelName(model), spec.resident)
  for (const runner of runners) runner.disk = [...runner.models]
  return runners
}

function createRunner (id: string, softwareVersion: string): Runner {
  return { id, softwareVersion, downUntilMs: -Infinity, models: new Set(), disk: [], inFlight: 0, modelInFlight: new Map(), pending: undefined }
}

function addCopy (runners: Runner[], model: string, resident: number): void {
  const open = runners.filter(({ models }) => models.size < resident && !models.has(model))
  const target = open.sort((a, b) => a.models.size - b.models.size)[0]
  target?.models.add(model)
}

/** Share of the requests to busy models that go to the model at a position in the list, at a time after the first request. */
function busyShare (spec: ReplaySpec, position: number, nowMs: number): number {
  let share = BUSY_SHARES[position] ?? 0
  for (const [index, startMs] of spec.shiftsMs.entries()) {
    const progress = Math.min(1, Math.max(0, (nowMs - startMs) / spec.shiftLengthMs))
    const before = BUSY_SHARES[position - index * SHIFT_POSITIONS] ?? 0
    const after = BUSY_SHARES[position - (index + 1) * SHIFT_POSITIONS] ?? 0
    share += (after - before) * progress
  }
  return share
}

function toPlanned (runner: Runner): PlannedRunner {
  const { pending } = runner
  const unloading = pending?.kind === OrderKind.Unload ? pending.model : undefined
  const loading = pending?.kind === OrderKind.Load ? pending.model : undefined
  const weights = new Set([...runner.models, ...(loading === undefined ? [] : [loading])])
  return {
    id: runner.id,
    softwareVersion: runner.softwareVersion,
    models: [...runner.models].filter((model) => model !== unloading && model !== loading),
    loading,
    busy: pending !== undefined,
    usedMb: weights.size * MODEL_MB,
    localWeights: runner.disk,
    copyShare: 1
  }
}

function modelName (position: number): string {
  return `model-${position}`
}

function add (counts: Map<string, number>, key: string, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount)
}

/** Pseudo-random numbers from 0 to 1; the same sequence for the same seed. */
function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}
