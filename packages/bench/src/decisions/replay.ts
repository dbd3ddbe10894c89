/** Replays one scenario with one seed against a version of the decision code, in virtual time. */
import { Cell } from './cell.js'
import { createDemand, DEMAND_DURATION_MS, ordinaryRequestRates, REPLAY_DURATION_MS, ScenarioName, type Arrival, type DemandOptions } from './demand.js'
import type { Deployment } from './deployments.js'
import { RoutingHost, type Host } from './hosts.js'
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
  /** Share of all requests that met their latency targets. */
  attainment: number
  /** Share of interactive requests that met their targets. */
  interactiveAttainment: number
  /** Requests that met their targets, per accelerator and second. */
  attainedPerAcceleratorS: number
  moves: number
  adapterLoads: number
  /** Share of routed models with a serving copy, averaged over the rounds of control, one a second. */
  reachability: number
  interactive: Tally
  batch: Tally
  overcommits: number
  limits: { startsPerS: number, loading: number, adapters: number }
}

const CONTROL_INTERVAL_MS = 1_000
const RUNNER_UPDATE_INTERVAL_MS = 250
const LOAD_EXCHANGE_INTERVAL_MS = 100
const REPORT_INTERVAL_MS = 250
const HOST_TICK_MS = 10
const STALL_CHECK_INTERVAL_MS = 1_000
const EVENT_LOSS_PROBABILITY = 0.02
const FAULT_START_MS = 25_000
const FAULT_END_MS = 85_000

export function replay (deployment: Deployment, version: Version, options: ReplayOptions): ReplayResult {
  const timeline = Timeline.create()
  const random = createRandom(options.seed * 7919 + 17)
  const store = Store.create(deployment, timeline, random)
  const cell = Cell.create(deployment, timeline, store, version.plan ?? {})
  const outcomes = Outcomes.create()
  const hosts = deployment.zones.map((zone) => version.createHost(zone, cell, outcomes, random))
  placeModels(cell, version, options)
  startHosts(cell, hosts, random, options)
  const meanReachability = startControl(cell, hosts, version)
  injectFaults(cell, options.scenario)
  const arrivals = createDemand(deployment, options)
  scheduleArrivals(timeline, arrivals, (arrival) => {
    outcomes.onArrival()
    hosts[Math.floor(random() * hosts.length)]?.handleArrival(arrival)
  })
  timeline.runUntil(REPLAY_DURATION_MS)
  outcomes.close()
  return resultOf(cell, version, options, outcomes, arrivals.length, meanReachability())
}

function scheduleArrivals (timeline: Timeline, arrivals: readonly Arrival[], run: (arrival: Arrival) => void): void {
  const scheduleNext = (index: number) => {
    const arrival = arrivals[index]
    if (arrival === undefined) return
    timeline.runAt(arrival.atMs, () => {
      run(arrival)
      scheduleNext(index + 1)
    })
  }
  scheduleNext(0)
}

function placeModels (cell: Cell, version: Version, options: ReplayOptions): void {
  if (options.placement !== undefined) cell.placeExactly(options.placement)
  else if (version.plan === undefined) cell.placeEvenly()
  else cell.placeByPlan(ordinaryRequestRates(cell.deployment, options))
}

function startHosts (cell: Cell, hosts: readonly Host[], random: () => number, options: ReplayOptions): void {
  const { timeline } = cell
  const updateRunners = () => hosts.forEach((host) => host.setRunners(cell.runnerInfos()))
  updateRunners()
  timeline.runEvery(RUNNER_UPDATE_INTERVAL_MS, REPLAY_DURATION_MS, updateRunners)
  timeline.runEvery(HOST_TICK_MS, REPLAY_DURATION_MS, () => hosts.forEach((host) => host.tick()))
  const routingHosts = hosts.filter((host) => host instanceof RoutingHost)
  if (routingHosts.length === 0) return
  timeline.runEvery(STALL_CHECK_INTERVAL_MS, REPLAY_DURATION_MS, () => routingHosts.forEach((host) => host.checkStalls()))
  timeline.runEvery(LOAD_EXCHANGE_INTERVAL_MS, REPLAY_DURATION_MS, () => exchangeLoads(cell, routingHosts))
  timeline.runEvery(REPORT_INTERVAL_MS, REPLAY_DURATION_MS, () => sendReports(cell, routingHosts, random, options))
}

/** Sends each host's own loads to the other hosts, after the network delay between zones. */
function exchangeLoads (cell: Cell, hosts: readonly RoutingHost[]): void {
  for (const from of hosts) {
    const loads = from.decider.ownLoads(from.availabilityZone)
    for (const to of hosts) {
      if (to === from) continue
      cell.timeline.runAfter(cell.deployment.zoneDelayMs, () => loads.forEach((load) => to.decider.onPeerLoad(load, cell.timeline.nowMs)))
    }
  }
}

/** Delivers load reports and cache events after the report lag; a share of the cache events is lost. */
function sendReports (cell: Cell, hosts: readonly RoutingHost[], random: () => number, options: ReplayOptions): void {
  const { timeline } = cell
  for (const engine of cell.engines.values()) {
    if (!engine.alive || engine.slowdownFactor === Infinity) continue
    const report = { running: engine.running, queued: 0, kvUsedMiB: 0, ageMs: options.reportLagMs }
    const events = engine.cacheEvents.splice(0).filter(() => random() >= EVENT_LOSS_PROBABILITY)
    timeline.runAfter(options.reportLagMs, () => hosts.forEach(({ decider }) => {
      decider.onReport(engine.runner.name, report, timeline.nowMs)
      decider.onCacheEvents(engine.runner.name, events)
    }))
  }
}

/** Starts the periodic rounds of control; the returned function gives the mean reachability over the rounds so far. */
function startControl (cell: Cell, hosts: readonly Host[], version: Version): () => number {
  const shares: number[] = []
  cell.timeline.runEvery(CONTROL_INTERVAL_MS, REPLAY_DURATION_MS, () => {
    shares.push(cell.reachableShare())
    if (version.plan === undefined) return
    cell.runControlRound(mergeDemand(hosts))
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
    timeline.runAt(FAULT_START_MS, () => cell.kill(runners[3]?.name ?? ''))
    timeline.runAt(FAULT_START_MS + 12_000, () => cell.engines.get(runners[7]?.name ?? '')?.setSlowdown(8))
    timeline.runAt(FAULT_END_MS, () => cell.engines.get(runners[7]?.name ?? '')?.setSlowdown(1))
    timeline.runAt(FAULT_START_MS + 25_000, () => cell.engines.get(runners[10]?.name ?? '')?.setSlowdown(Infinity))
    timeline.runAt(FAULT_START_MS + 35_000, () => cell.kill(runners[10]?.name ?? ''))
  }
  if (scenario === ScenarioName.ZoneLoss) {
    const lost = runners.filter(({ availabilityZone }) => availabilityZone === deployment.zones[2])
    timeline.runAt(FAULT_START_MS, () => lost.forEach(({ name }) => cell.kill(name)))
  }
  if (scenario === ScenarioName.StoreSlow) {
    timeline.runAt(FAULT_START_MS / 2, () => { store.slowdownFactor = 10 })
    timeline.runAt(FAULT_START_MS, () => cell.kill(runners[3]?.name ?? ''))
  }
  if (scenario === ScenarioName.LogDown) {
    timeline.runAt(FAULT_START_MS / 2, () => { cell.logDown = true })
    timeline.runAt(FAULT_START_MS, () => cell.kill(runners[3]?.name ?? ''))
    timeline.runAt(FAULT_END_MS, () => { cell.logDown = false })
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
    attainedPerAcceleratorS: attained / accelerators / (DEMAND_DURATION_MS / 1000),
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
