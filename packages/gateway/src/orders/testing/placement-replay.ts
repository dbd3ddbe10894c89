/**
 * Replays demand that moves between models against a planner: requests arrive at random from a fixed seed, hold places,
 * and are refused where no copy has one free. Runners load and unload as slowly as real ones, and their entries lag.
 */
import type { EngineSpec, ModelSpec } from '../../config/types.js'
import { DemandMeter } from '../../serve/demand-meter.js'
import { forecastDemand } from '../demand-forecast.js'
import { LoadPace } from '../load-pace.js'
import { MissingCopies } from '../missing-copies.js'
import type { PlannedOrder, PlannedRunner, PlanInput } from '../plan-models.js'
import { OrderKind } from '../types.js'

export type ReplaySpec = {
  seed: number
  models: number
  runners: number
  /** Models of one runner's memory. */
  resident: number
  slots: number
  loadMs: number
  diskLoadMs: number
  loadsPerS: number
  /** Requests a second to the busy models; rare ones get `rarePerS` together. */
  busyPerS: number
  rarePerS: number
  holdMs: number
  lengthMs: number
  /** Starts of moves of demand by two places in the list of busy models. */
  shiftsMs: readonly number[]
  shiftLengthMs: number
}

export type ReplayResult = {
  /** Part of the requests that found a place at once. */
  servedShare: number
  /** Part of the requests that found one when they came back. */
  lateShare: number
  /** Models asked for four times or more that were never served. */
  neverServed: number
  loads: number
}

export type Planner = (input: PlanInput) => PlannedOrder[]

/** Shares of the busiest models, in order. */
const BUSY_SHARES = [0.533, 0.197, 0.148, 0.123]
const BUSY_MODELS = 10
const SERVICE = 'service'
const STEP_MS = 10
const PLAN_EVERY_MS = 250
const ENTRY_LAG_MS = 600
/** Traffic starts this long after the runners are known. */
const LEAD_MS = 6_000
const MODEL_MB = 70
const SHIFT_PLACES = 2
/** Queue of a runner as a part of its places. */
const OCCUPATION_LIMIT = 1.1
const ASKED_OFTEN = 4
const RETURN_AFTER_MS = 1_500
const DISK_MODELS = 6

type Runner = {
  id: string
  models: Set<string>
  disk: string[]
  inFlight: number
  modelInFlight: Map<string, number>
  pending?: { kind: OrderKind, model: string, doneMs: number, seenMs: number }
}

type Departure = { atMs: number, runner: Runner, model: string }

export function replayPlacement (spec: ReplaySpec, planner: Planner): ReplayResult {
  return PlacementReplay.create(spec, planner).run()
}

class PlacementReplay {
  readonly #engine: EngineSpec
  readonly #runners: Runner[]
  readonly #meter = DemandMeter.create()
  readonly #pace = LoadPace.create(0)
  readonly #missing = MissingCopies.create()
  readonly #random: () => number
  readonly #asked = new Map<string, number>()
  readonly #served = new Map<string, number>()
  readonly #late = new Map<string, number>()
  #departures: Departure[] = []
  #returning: { atMs: number, model: string }[] = []
  #loads = 0
  #nowMs = 0

  private constructor (private readonly spec: ReplaySpec, private readonly planner: Planner) {
    this.#engine = engineOf(spec)
    this.#runners = placeAtStart(spec)
    this.#random = seededRandom(spec.seed)
  }

  static create (spec: ReplaySpec, planner: Planner): PlacementReplay {
    return new PlacementReplay(spec, planner)
  }

  run (): ReplayResult {
    for (this.#nowMs = 0; this.#nowMs < LEAD_MS + this.spec.lengthMs; this.#nowMs += STEP_MS) {
      this.#finishOrders()
      this.#depart()
      if (this.#nowMs >= LEAD_MS) this.#arrive()
      this.#comeBack()
      if (this.#nowMs % PLAN_EVERY_MS === 0) this.#plan()
    }
    return this.#result()
  }

  #result (): ReplayResult {
    let asked = 0
    let served = 0
    let late = 0
    let neverServed = 0
    for (const [model, count] of this.#asked) {
      const servedCount = this.#served.get(model) ?? 0
      const lateCount = this.#late.get(model) ?? 0
      asked += count
      served += servedCount
      late += lateCount
      if (count >= ASKED_OFTEN && servedCount + lateCount === 0) neverServed += 1
    }
    return { servedShare: served / asked, lateShare: late / asked, neverServed, loads: this.#loads }
  }

  #arrive (): void {
    const atMs = this.#nowMs - LEAD_MS
    const rare = this.spec.models - BUSY_MODELS
    for (let at = 0; at < BUSY_MODELS; at += 1) this.#arriveAt(at, this.spec.busyPerS * busyShare(this.spec, at, atMs))
    for (let at = BUSY_MODELS; at < this.spec.models; at += 1) this.#arriveAt(at, this.spec.rarePerS / rare)
  }

  #arriveAt (at: number, perS: number): void {
    if (this.#random() >= perS * STEP_MS / 1000) return
    const model = modelName(at)
    add(this.#asked, model, 1)
    if (this.#admit(model)) add(this.#served, model, 1)
    else this.#returning.push({ atMs: this.#nowMs + RETURN_AFTER_MS, model })
  }

  /** Refused callers come back once; what they get then is late. */
  #comeBack (): void {
    const due = this.#returning.filter(({ atMs }) => atMs <= this.#nowMs)
    if (due.length === 0) return
    this.#returning = this.#returning.filter(({ atMs }) => atMs > this.#nowMs)
    for (const { model } of due) {
      if (this.#admit(model)) add(this.#late, model, 1)
    }
  }

  #admit (model: string): boolean {
    this.#meter.count(SERVICE, model, undefined, this.#nowMs)
    const runner = this.#leastLoaded(model)
    if (runner === undefined) return false
    runner.inFlight += 1
    add(runner.modelInFlight, model, 1)
    const holdMs = this.spec.holdMs * -Math.log(1 - this.#random())
    this.#departures.push({ atMs: this.#nowMs + holdMs, runner, model })
    return true
  }

  #leastLoaded (model: string): Runner | undefined {
    const limit = this.spec.slots * OCCUPATION_LIMIT
    const open = this.#runners.filter((runner) => runner.models.has(model) && runner.inFlight < limit)
    const usable = open.filter((runner) => runner.pending?.kind !== OrderKind.Unload || runner.pending.model !== model)
    return usable.sort((a, b) => a.inFlight - b.inFlight)[0]
  }

  #depart (): void {
    const [gone, staying] = [[] as Departure[], [] as Departure[]]
    for (const departure of this.#departures) (departure.atMs <= this.#nowMs ? gone : staying).push(departure)
    this.#departures = staying
    for (const { runner, model } of gone) {
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
      if (this.#nowMs >= pending.seenMs) runner.pending = undefined
    }
  }

  #finishUnload (runner: Runner, pending: NonNullable<Runner['pending']>): void {
    if (!runner.models.has(pending.model)) return
    const busy = (runner.modelInFlight.get(pending.model) ?? 0) > 0
    if (!busy) runner.models.delete(pending.model)
    pending.seenMs = this.#nowMs + ENTRY_LAG_MS
  }

  #plan (): void {
    const runners = this.#runners.map(toPlanned)
    const demand = forecastDemand(this.#meter.rates(this.#nowMs), SERVICE)
    const missingMs = this.#missing.update(SERVICE, demand, runners, this.#nowMs)
    const storeLoads = this.#pace.available(this.spec.loadsPerS, this.#nowMs)
    const orders = this.planner({ engine: this.#engine, runners, demand, missingMs, storeLoads })
    for (const order of orders) this.#give(order)
  }

  #give (order: PlannedOrder): void {
    const runner = this.#runners.find(({ id }) => id === order.runnerId)
    if (runner === undefined || runner.pending !== undefined) throw new Error('order to a busy runner')
    if (order.kind === OrderKind.Unload) {
      runner.pending = { kind: order.kind, model: order.model, doneMs: Infinity, seenMs: Infinity }
      return
    }
    const onDisk = runner.disk.includes(order.model)
    if (!onDisk) {
      this.#pace.onLoad()
      this.#loads += 1
    }
    const doneMs = this.#nowMs + (onDisk ? this.spec.diskLoadMs : this.spec.loadMs)
    runner.disk = [...runner.disk.filter((model) => model !== order.model), order.model].slice(-DISK_MODELS)
    runner.pending = { kind: order.kind, model: order.model, doneMs, seenMs: doneMs + ENTRY_LAG_MS }
  }
}

function engineOf (spec: ReplaySpec): EngineSpec {
  const models = new Map<string, ModelSpec>()
  for (let at = 0; at < spec.models; at += 1) {
    models.set(modelName(at), { name: modelName(at), sizeMb: MODEL_MB, loadMs: spec.loadMs, diskLoadMs: spec.diskLoadMs, adapters: [], adapterSizeMb: 1 })
  }
  return { slots: spec.slots, memoryTokens: 100_000, weightsMb: spec.resident * MODEL_MB, adapterSlots: 8, loadsPerS: spec.loadsPerS, models }
}

/** Busy models on several runners, the others on one each while there is room. */
function placeAtStart (spec: ReplaySpec): Runner[] {
  const runners: Runner[] = []
  for (let at = 0; at < spec.runners; at += 1) {
    runners.push({ id: `r${at}`, models: new Set(), disk: [], inFlight: 0, modelInFlight: new Map() })
  }
  const copies = BUSY_SHARES.map((share) => Math.max(1, Math.round(share * spec.runners)))
  const wanted = [...copies.entries()].flatMap(([model, count]) => Array.from({ length: count }, () => model))
  for (let at = BUSY_SHARES.length; at < spec.models; at += 1) wanted.push(at)
  for (const model of wanted) placeOne(runners, modelName(model), spec.resident)
  for (const runner of runners) runner.disk = [...runner.models]
  return runners
}

function placeOne (runners: Runner[], model: string, resident: number): void {
  const open = runners.filter(({ models }) => models.size < resident && !models.has(model))
  const target = open.sort((a, b) => a.models.size - b.models.size)[0]
  target?.models.add(model)
}

/** Share of the busy requests for the model at a place in the list, at a time after the start of traffic. */
function busyShare (spec: ReplaySpec, at: number, nowMs: number): number {
  let share = BUSY_SHARES[at] ?? 0
  for (const [index, startMs] of spec.shiftsMs.entries()) {
    const progress = Math.min(1, Math.max(0, (nowMs - startMs) / spec.shiftLengthMs))
    const before = BUSY_SHARES[at - index * SHIFT_PLACES] ?? 0
    const after = BUSY_SHARES[at - (index + 1) * SHIFT_PLACES] ?? 0
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
    models: [...runner.models].filter((model) => model !== unloading && model !== loading),
    loading,
    busy: pending !== undefined,
    usedMb: weights.size * MODEL_MB,
    localWeights: runner.disk,
    copyShare: 1
  }
}

function modelName (at: number): string {
  return `model-${at}`
}

function add (counts: Map<string, number>, key: string, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount)
}

/** A small generator with a fixed sequence for each seed. */
function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}
