/** One replay: a deployment, a scenario, a seed and a version. */
import { Cell } from './cell.js'
import { createDemand, DEMAND_MS, ordinaryRates, REPLAY_MS, ScenarioName, type Arrival, type DemandOptions } from './demand.js'
import type { Deployment } from './deployments.js'
import { DecidingHost, type Host } from './hosts.js'
import { Outcomes, type Tally } from './outcome.js'
import { createRandom } from './random.js'
import { Store } from './store.js'
import { Timeline } from './timeline.js'
import type { Version } from './versions.js'

export type ReplayOptions = DemandOptions & { reportLagMs: number, placement?: string[][] }

export type ReplayResult = {
  version: string
  deployment: string
  scenario: string
  seed: number
  requests: number
  /** Share of all requests answered within their target. */
  attainment: number
  /** The same for interactive requests alone. */
  interactiveAttainment: number
  /** Requests answered within their target, by accelerator and second. */
  attainedPerAcceleratorS: number
  moves: number
  adapterLoads: number
  /** Share of pairs of routed model and second with a serving copy. */
  reachability: number
  interactive: Tally
  batch: Tally
  overcommits: number
  limits: { startsPerS: number, loading: number, adapters: number }
}

const CONTROL_MS = 1_000
const RESIDENCY_MS = 250
const NEIGHBOUR_MS = 100
const REPORT_MS = 250
const TICK_MS = 10
const STALL_CHECK_MS = 1_000
const EVENT_LOSS = 0.02
const FAULT_MS = 25_000
const FAULT_END_MS = 85_000

export function replay (deployment: Deployment, version: Version, options: ReplayOptions): ReplayResult {
  const timeline = Timeline.create()
  const random = createRandom(options.seed * 7919 + 17)
  const store = Store.create(deployment, timeline, random)
  const cell = Cell.create(deployment, timeline, store, version.plan ?? {})
  const outcomes = Outcomes.create()
  const hosts = deployment.zones.map((zone) => version.createHost(zone, cell, outcomes, random))
  place(cell, version, options)
  startHosts(cell, hosts, random, options)
  const reach = startControl(cell, hosts, version)
  injectFaults(cell, options.scenario)
  const arrivals = createDemand(deployment, options)
  scheduleArrivals(timeline, arrivals, (arrival) => {
    outcomes.onArrival()
    hosts[Math.floor(random() * hosts.length)]?.arrive(arrival)
  })
  timeline.runUntil(REPLAY_MS)
  outcomes.close()
  return resultOf(cell, version, options, outcomes, arrivals.length, reach())
}

function scheduleArrivals (timeline: Timeline, arrivals: readonly Arrival[], run: (arrival: Arrival) => void): void {
  const schedule = (index: number) => {
    const arrival = arrivals[index]
    if (arrival === undefined) return
    timeline.at(arrival.atMs, () => {
      run(arrival)
      schedule(index + 1)
    })
  }
  schedule(0)
}

function place (cell: Cell, version: Version, options: ReplayOptions): void {
  if (options.placement !== undefined) cell.placeExactly(options.placement)
  else if (version.plan === undefined) cell.placeEvenly()
  else cell.placeByPlan(ordinaryRates(cell.deployment, options))
}

function startHosts (cell: Cell, hosts: readonly Host[], random: () => number, options: ReplayOptions): void {
  const { timeline } = cell
  const push = () => hosts.forEach((host) => host.setRunners(cell.runnerInfos()))
  push()
  timeline.every(RESIDENCY_MS, REPLAY_MS, push)
  timeline.every(TICK_MS, REPLAY_MS, () => hosts.forEach((host) => host.tick()))
  const deciding = hosts.filter((host) => host instanceof DecidingHost)
  if (deciding.length === 0) return
  timeline.every(STALL_CHECK_MS, REPLAY_MS, () => deciding.forEach((host) => host.checkStalls()))
  timeline.every(NEIGHBOUR_MS, REPLAY_MS, () => tellNeighbours(cell, deciding))
  timeline.every(REPORT_MS, REPLAY_MS, () => sendReports(cell, deciding, random, options))
}

function tellNeighbours (cell: Cell, hosts: readonly DecidingHost[]): void {
  for (const from of hosts) {
    const loads = from.decider.ownLoads(from.availabilityZone)
    for (const to of hosts) {
      if (to === from) continue
      cell.timeline.after(cell.deployment.zoneDelayMs, () => loads.forEach((load) => to.decider.onNeighbour(load, cell.timeline.nowMs)))
    }
  }
}

/** Load reports and cache events, late by the lag; some events are lost. */
function sendReports (cell: Cell, hosts: readonly DecidingHost[], random: () => number, options: ReplayOptions): void {
  const { timeline } = cell
  for (const engine of cell.engines.values()) {
    if (!engine.alive || engine.slowness === Infinity) continue
    const report = { running: engine.running, queued: 0, kvUsedMiB: 0, ageMs: options.reportLagMs }
    const events = engine.cacheEvents.splice(0).filter(() => random() >= EVENT_LOSS)
    timeline.after(options.reportLagMs, () => hosts.forEach(({ decider }) => {
      decider.onReport(engine.runner.name, report, timeline.nowMs)
      decider.onCacheEvents(engine.runner.name, events)
    }))
  }
}

/** Starts the rounds of control; returns the reachability seen up to the end. */
function startControl (cell: Cell, hosts: readonly Host[], version: Version): () => number {
  const shares: number[] = []
  cell.timeline.every(CONTROL_MS, REPLAY_MS, () => {
    shares.push(cell.reachableShare())
    if (version.plan === undefined) return
    cell.control(mergeDemand(hosts))
  })
  return () => shares.reduce((sum, share) => sum + share, 0) / shares.length
}

function mergeDemand (hosts: readonly Host[]) {
  const merged = new Map<string, ReturnType<Host['takeDemand']>[number]>()
  for (const sample of hosts.flatMap((host) => host.takeDemand())) {
    const known = merged.get(sample.model)
    if (known === undefined) merged.set(sample.model, { ...sample })
    else merged.set(sample.model, { ...known, requests: known.requests + sample.requests, runnerMsPerRequest: Math.max(known.runnerMsPerRequest, sample.runnerMsPerRequest), copyMsPerRequest: Math.max(known.copyMsPerRequest, sample.copyMsPerRequest) })
  }
  return [...merged.values()]
}

function injectFaults (cell: Cell, scenario: ScenarioName): void {
  const { timeline, store, deployment } = cell
  const runners = deployment.pool.runners
  if (scenario === ScenarioName.RunnerLoss) {
    timeline.at(FAULT_MS, () => cell.kill(runners[3]?.name ?? ''))
    timeline.at(FAULT_MS + 12_000, () => cell.engines.get(runners[7]?.name ?? '')?.setSlowness(8))
    timeline.at(FAULT_END_MS, () => cell.engines.get(runners[7]?.name ?? '')?.setSlowness(1))
    timeline.at(FAULT_MS + 25_000, () => cell.engines.get(runners[10]?.name ?? '')?.setSlowness(Infinity))
    timeline.at(FAULT_MS + 35_000, () => cell.kill(runners[10]?.name ?? ''))
  }
  if (scenario === ScenarioName.ZoneLoss) {
    const lost = runners.filter(({ availabilityZone }) => availabilityZone === deployment.zones[2])
    timeline.at(FAULT_MS, () => lost.forEach(({ name }) => cell.kill(name)))
  }
  if (scenario === ScenarioName.StoreSlow) {
    timeline.at(FAULT_MS / 2, () => { store.slowness = 10 })
    timeline.at(FAULT_MS, () => cell.kill(runners[3]?.name ?? ''))
  }
  if (scenario === ScenarioName.LogDown) {
    timeline.at(FAULT_MS / 2, () => { cell.logDown = true })
    timeline.at(FAULT_MS, () => cell.kill(runners[3]?.name ?? ''))
    timeline.at(FAULT_END_MS, () => { cell.logDown = false })
  }
}

function resultOf (cell: Cell, version: Version, options: ReplayOptions, outcomes: Outcomes, requests: number, reachability: number): ReplayResult {
  const { interactive, batch } = outcomes
  const attained = interactive.attained + batch.attained
  const accelerators = cell.deployment.pool.runners.reduce((sum, runner) => sum + runner.accelerators, 0)
  const { maxStartsPerS, maxLoading, maxAdapters } = cell.store
  return {
    version: version.name,
    deployment: cell.deployment.name,
    scenario: options.scenario,
    seed: options.seed,
    requests,
    attainment: attained / requests,
    interactiveAttainment: interactive.attained / Math.max(1, sumOf(interactive)),
    attainedPerAcceleratorS: attained / accelerators / (DEMAND_MS / 1000),
    moves: cell.moves.loads + cell.moves.unloads,
    adapterLoads: cell.moves.adapterLoads,
    reachability,
    interactive,
    batch,
    overcommits: cell.overcommits,
    limits: { startsPerS: maxStartsPerS, loading: maxLoading, adapters: maxAdapters }
  }
}

function sumOf (tally: Tally): number {
  return Object.values(tally).reduce((sum, count) => sum + count, 0)
}
