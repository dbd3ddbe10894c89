/** Test bench: a cell with hosts, engines and a log on one manual clock, for failure tests. */
import { ManualClock, SequentialIdSource, silentLogger } from '@figloom/runtime'
import { CopyState, OrderAction, type CellStep, type PoolModel, type Runner } from '@figloom/tables'
import { MemoryLog } from '@figloom/standin'
import { CellHolder } from '../holder.js'
import type { CellHolderOptions } from '../holder-options.js'
import type { Sender } from '../records.js'
import { Planner, type CellConfig, type CellView } from '../types.js'
import { FakeEngines, type FakeEngineOptions } from './fake-engines.js'
import { Gate, GatedClock, GatedEngines, GatedLog } from './gated-host.js'

/** Planner whose steps a test sets; a step is returned until it is in effect. */
export class ScriptedPlanner extends Planner {
  steps: CellStep[] = []

  override plan (view: CellView): CellStep[] {
    return this.steps.filter((step) => !isInEffect(step, view))
  }
}

export type BenchHost = { name: string, sender: Sender, gate: Gate, engines: GatedEngines, holder: CellHolder }

export type CellBench = {
  clock: ManualClock
  log: MemoryLog
  engines: FakeEngines
  planner: ScriptedPlanner
  hosts: BenchHost[]
  config: CellConfig
  /** Runners that the tables named at the start. */
  allRunners: Runner[]
  /** When each offset of the cell's stream was written. */
  appendedMs: Map<number, number>
  /** Starts a host; with the name of an earlier host, a new process of it. */
  start: (name: string, incarnation?: string) => BenchHost
  configure: (config: Partial<CellConfig>) => void
  holder: () => BenchHost
  advance: (durationMs: number) => Promise<void>
  stop: () => Promise<void>
}

export type BenchOptions = {
  hosts: string[]
  runners: Partial<FakeEngineOptions>[]
  models: PoolModel[]
  /** Models that routes name; all unless given. */
  routed?: string[]
  retentionMs?: number
  holder?: Partial<CellHolderOptions>
}

/** A model of version 1 with 60 MiB of weights and 20 MiB of KV reserve unless given. */
export function modelOf (name: string, weightsMiB = 60, kvReserveMiB = 20, version = '1'): PoolModel {
  return { name, version, weightsMiB, kvReserveMiB, adapters: [] }
}

export function stepOf (action: OrderAction, runner: string, model: string, version = '1'): CellStep {
  return { action, runner, model, version, addsMiB: 0, reason: 'test' }
}

export function createCellBench (options: BenchOptions): CellBench {
  const clock = ManualClock.create()
  const log = MemoryLog.create(options.retentionMs === undefined ? { clock } : { clock, retentionMs: options.retentionMs })
  const engines = FakeEngines.create(clock, options.runners)
  const planner = new ScriptedPlanner()
  const hosts: BenchHost[] = []
  const config = configOf(options, engines)
  const bench: CellBench = {
    clock,
    log,
    engines,
    planner,
    hosts,
    config,
    allRunners: config.runners,
    appendedMs: recordAppendTimes(log, clock),
    start: (name, incarnation) => startHost(bench, options, name, incarnation ?? `${name}-1`),
    configure: (config) => {
      bench.config = { ...bench.config, ...config }
      for (const { holder } of hosts) holder.post({ type: 'config', config: bench.config })
    },
    holder: () => {
      const host = hosts.find(({ holder, gate }) => gate.isOpen && holder.view?.isHolder)
      if (host === undefined) throw new Error('no holder')
      return host
    },
    advance: (durationMs) => clock.advance(durationMs),
    stop: async () => {
      for (const { holder, gate } of hosts) {
        holder.stop()
        gate.kill()
      }
      await clock.advance(0)
    }
  }
  for (const name of options.hosts) bench.start(name)
  return bench
}

function startHost (bench: CellBench, options: BenchOptions, name: string, incarnation: string): BenchHost {
  const gate = new Gate()
  const sender = { host: name, incarnation }
  const engines = GatedEngines.create(bench.engines, gate)
  const holder = CellHolder.create({
    cell: 'drafting',
    self: sender,
    log: GatedLog.create(bench.log, gate),
    engines,
    clock: GatedClock.create(bench.clock, gate),
    ids: SequentialIdSource.create(incarnation),
    logger: silentLogger,
    planner: bench.planner,
    standbyLimit: 0,
    onFault: (error) => { throw error },
    ...options.holder
  })
  holder.post({ type: 'config', config: bench.config })
  holder.post({ type: 'hosts', hosts: options.hosts })
  holder.start()
  const host = { name, sender, gate, engines, holder }
  bench.hosts.push(host)
  return host
}

/** Records when each record of the log, which has one stream, was written, including those whose answer was lost. */
function recordAppendTimes (log: MemoryLog, clock: ManualClock): Map<number, number> {
  const appendedMs = new Map<number, number>()
  const append = log.append.bind(log)
  const recordNew = () => {
    for (let offset = appendedMs.size + 1; offset <= log.appendCount; offset += 1) appendedMs.set(offset, clock.monotonicMs())
  }
  log.append = (...args) => append(...args).map((value) => {
    recordNew()
    return value
  }).mapErr((failure) => {
    recordNew()
    return failure
  })
  return appendedMs
}

function configOf (options: BenchOptions, engines: FakeEngines): CellConfig {
  const runners = [...engines.engines.values()].map((engine, index): Runner => ({
    name: engine.options.name,
    availabilityZone: `zone-${index + 1}`,
    url: `http://${engine.options.name}`,
    accelerators: 1,
    memoryMiB: engine.options.memoryMiB,
    checksFencing: engine.options.checksFencing
  }))
  const routed = options.models
    .filter(({ name }) => options.routed === undefined || options.routed.includes(name))
    .map(({ name, version }) => ({ model: name, version, adapters: [] }))
  const share = { loadStartEveryMs: 0, concurrentLoads: 8, concurrentAdapters: 8 }
  return { runners, models: options.models, routed, share, transitReserveMiB: 0 }
}

function isInEffect (step: CellStep, view: CellView): boolean {
  const copy = view.runners.find(({ name }) => name === step.runner)?.copies
    .find(({ model, version }) => model === step.model && version === step.version)
  if (step.action === OrderAction.Load) return copy?.state === CopyState.Resident
  if (step.action === OrderAction.Unload) return copy === undefined
  return false
}
