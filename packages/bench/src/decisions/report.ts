/** Aggregates the results of all replays into the report, and compares it with the targets. */
import type { Cost } from './costs.js'
import { SCENARIOS, ScenarioName } from './demand.js'
import { DEPLOYMENTS } from './deployments.js'
import type { JobResult } from './jobs.js'
import { Group, VARIANT_CASES } from './matrix.js'
import type { ReplayResult } from './replay.js'
import { NAIVE, PRESENT, VARIANTS, VERSIONS } from './versions.js'

/** Median, minimum and maximum over several seeds. */
export type Range = { median: number, min: number, max: number }

export type Row = {
  deployment: string
  scenario: string
  version: string
  seeds: number
  attainment: Range
  interactiveAttainment: Range
  attainedPerAcceleratorS: Range
  moves: Range
  reachability: Range
}

export type Point = { label: string, attainment: Range, moves: Range }
export type Bound = { seed: number, ours: number, best: number, placements: number }

export type Report = {
  rows: Row[]
  heldOut: Row[]
  variants: { version: string, deployment: string, scenario: string, attainment: number, present: number, moves: number, presentMoves: number }[]
  moveWeight: Point[]
  reportLag: Point[]
  sharedPrefix: Point[]
  bounds: Bound[]
  costs: Cost[]
  limits: { overcommits: number, startsPerS: number, loading: Record<string, number>, adapters: Record<string, number> }
}

export function createReport (results: readonly JobResult[], costs: Cost[]): Report {
  return {
    rows: rowsOf(results, Group.Matrix),
    heldOut: rowsOf(results, Group.HeldOut),
    variants: variantsOf(results),
    moveWeight: pointsOf(results, Group.MoveWeight, (job) => `weight ${job.moveWeight}`),
    reportLag: pointsOf(results, Group.Lag, (job) => `lag ${job.reportLagMs} ms`),
    sharedPrefix: pointsOf(results, Group.Prefix, (job) => `shared ${job.sharedPrefixShare}`),
    bounds: boundsOf(results),
    costs,
    limits: limitsOf(results.map(({ result }) => result))
  }
}

export function findRow (rows: readonly Row[], deployment: string, scenario: string, version: string): Row | undefined {
  return rows.find((row) => row.deployment === deployment && row.scenario === scenario && row.version === version)
}

function rowsOf (results: readonly JobResult[], group: string): Row[] {
  const chosen = results.filter(({ job }) => job.group === group).map(({ result }) => result)
  return DEPLOYMENTS.flatMap(({ name }) => SCENARIOS.flatMap((scenario) => VERSIONS.map((version) => (
    rowOf(chosen.filter((result) => result.deployment === name && result.scenario === scenario && result.version === version.name))))))
}

function rowOf (results: readonly ReplayResult[]): Row {
  const [first] = results as [ReplayResult]
  const range = (figure: (result: ReplayResult) => number) => rangeOf(results.map(figure))
  return {
    deployment: first.deployment,
    scenario: first.scenario,
    version: first.version,
    seeds: results.length,
    attainment: range((result) => result.attainment),
    interactiveAttainment: range((result) => result.interactiveAttainment),
    attainedPerAcceleratorS: range((result) => result.attainedPerAcceleratorS),
    moves: range((result) => result.moves),
    reachability: range((result) => result.reachability)
  }
}

export function rangeOf (figures: readonly number[]): Range {
  const sorted = [...figures].sort((a, b) => a - b)
  const middle = sorted.length >> 1
  const median = sorted.length % 2 === 1 ? sorted[middle] ?? NaN : ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2
  return { median, min: sorted[0] ?? NaN, max: sorted.at(-1) ?? NaN }
}

function variantsOf (results: readonly JobResult[]): Report['variants'] {
  return VARIANTS.flatMap((version) => VARIANT_CASES.map(([deployment, scenario]) => {
    const inCase = results.filter(({ job }) => job.deployment === deployment && job.scenario === scenario)
    const variantResults = inCase.filter(({ job }) => job.group === Group.Variant && job.version === version.name)
    const seeds = new Set(variantResults.map(({ job }) => job.seed))
    const present = inCase.filter(({ job }) => job.group === Group.Matrix && job.version === PRESENT.name && seeds.has(job.seed))
    const mean = (chosen: readonly JobResult[], figure: (result: ReplayResult) => number) => (
      chosen.reduce((sum, { result }) => sum + figure(result), 0) / chosen.length)
    return {
      version: version.name,
      deployment,
      scenario,
      attainment: mean(variantResults, (result) => result.attainment),
      present: mean(present, (result) => result.attainment),
      moves: mean(variantResults, (result) => result.moves),
      presentMoves: mean(present, (result) => result.moves)
    }
  }))
}

function pointsOf (results: readonly JobResult[], group: string, labelOf: (job: JobResult['job']) => string): Point[] {
  const byLabel = new Map<string, ReplayResult[]>()
  for (const { job, result } of results) {
    if (job.group === group) byLabel.set(labelOf(job), [...byLabel.get(labelOf(job)) ?? [], result])
  }
  return [...byLabel].map(([label, group]) => (
    { label, attainment: rangeOf(group.map(({ attainment }) => attainment)), moves: rangeOf(group.map(({ moves }) => moves)) }))
}

function boundsOf (results: readonly JobResult[]): Bound[] {
  return results.filter(({ job }) => job.group === Group.BoundPresent).map(({ job, result }) => {
    const others = results.filter((other) => other.job.group === Group.Bound && other.job.seed === job.seed)
    return { seed: job.seed, ours: result.attainment, best: Math.max(...others.map((other) => other.result.attainment)), placements: others.length }
  })
}

function limitsOf (results: readonly ReplayResult[]): Report['limits'] {
  const maxByDeployment = (figure: (result: ReplayResult) => number) => Object.fromEntries(DEPLOYMENTS.map(({ name }) => (
    [name, Math.max(...results.filter(({ deployment }) => deployment === name).map(figure))])))
  return {
    overcommits: results.reduce((sum, { overcommits }) => sum + overcommits, 0),
    startsPerS: Math.max(...results.map(({ limits }) => limits.startsPerS)),
    loading: maxByDeployment(({ limits }) => limits.loading),
    adapters: maxByDeployment(({ limits }) => limits.adapters)
  }
}

/** Table rows that compare each target with the measured figure. */
export function targetLines (report: Report): string[] {
  const comparisons = report.rows.filter(({ version }) => version === PRESENT.name)
    .map((row) => ({ row, naive: findRow(report.rows, row.deployment, row.scenario, NAIVE.name) as Row }))
  const ratio = ({ row, naive }: typeof comparisons[number]) => row.attainedPerAcceleratorS.median / naive.attainedPerAcceleratorS.median
  const loadedScenarios: string[] = [ScenarioName.Peak, ScenarioName.Swing]
  const underLoad = comparisons.filter(({ row }) => loadedScenarios.includes(row.scenario))
  const belowNaive = comparisons.filter((comparison) => ratio(comparison) < 1).map(({ row }) => `${row.deployment} ${row.scenario}`)
  const cost = (what: string, size: number) => report.costs.find((entry) => entry.what.startsWith(what) && entry.size === size)?.medianUs ?? NaN
  const minReachability = Math.min(...comparisons.map(({ row }) => row.reachability.min))
  const minBoundRatio = Math.min(...report.bounds.map(({ ours, best }) => ours / best))
  return [
    `| reachability of routed models | 100% | least of all seeds ${percent(minReachability)} | ${formatVerdict(minReachability === 1)} |`,
    ...underLoad.map((comparison) => `| attainment per accelerator, ${comparison.row.deployment}, ${comparison.row.scenario} | 1.5 times naive | ${ratio(comparison).toFixed(2)} times | ${formatVerdict(ratio(comparison) >= 1.5)} |`),
    `| no scenario below naive | none | ${belowNaive.length === 0 ? 'none' : belowNaive.join(', ')} | ${formatVerdict(belowNaive.length === 0)} |`,
    ...moveTargetLines(report),
    `| within 10% of the offline bound | 0.9 | ${minBoundRatio.toFixed(3)} | ${formatVerdict(minBoundRatio >= 0.9)} |`,
    `| choice of a runner, 64 candidates | 50 µs | ${cost('choice', 64).toFixed(1)} µs | ${formatVerdict(cost('choice', 64) < 50)} |`,
    `| plan, 64 runners, 730 models, from nothing | 50 ms | ${(cost('plan from', 730) / 1000).toFixed(1)} ms | ${formatVerdict(cost('plan from', 730) < 50_000)} |`,
    `| store: starts a second; loads at once; adapters in transit | 2; 24, 15; 190, 120 | ${report.limits.startsPerS}; ${Object.values(report.limits.loading).join(', ')}; ${Object.values(report.limits.adapters).join(', ')} | ${formatVerdict(withinLimits(report))} |`,
    `| accelerator memory overcommitted | never | ${report.limits.overcommits} times | ${formatVerdict(report.limits.overcommits === 0)} |`
  ]
}

/** Table rows that compare the franchise's number of moves with static placement and with moves without a cost. */
function moveTargetLines (report: Report): string[] {
  const total = (version: string) => report.rows.filter((row) => row.deployment === 'franchise' && row.version === version)
    .reduce((sum, row) => sum + row.moves.median, 0)
  const [ours, eager, naive] = [total(PRESENT.name), total('eager moves'), total(NAIVE.name)]
  return [
    `| moves, franchise, all scenarios, against naive | half | ${ours} against ${naive}: static placement never moves | not reached |`,
    `| the same against moves without cost | half | ${ours} against ${eager} | ${formatVerdict(ours <= eager / 2)} |`
  ]
}

function withinLimits ({ limits }: Report): boolean {
  const starts = limits.startsPerS <= Math.min(...DEPLOYMENTS.map(({ storeLoadStartsPerS }) => storeLoadStartsPerS))
  return starts && DEPLOYMENTS.every(({ name, storeConcurrentLoads, maxAdaptersInTransit }) => (
    (limits.loading[name] ?? Infinity) <= storeConcurrentLoads && (limits.adapters[name] ?? Infinity) <= maxAdaptersInTransit))
}

function formatVerdict (reached: boolean): string {
  return reached ? 'reached' : 'not reached'
}

export function percent (share: number): string {
  return `${(share * 100).toFixed(2)}%`
}
