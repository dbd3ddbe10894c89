/** Figures, page section and plots of one run of the benchmark. */
import type { Cost } from './costs.js'
import { SCENARIOS, ScenarioName } from './demand.js'
import { DEPLOYMENTS } from './deployments.js'
import type { JobResult } from './jobs.js'
import { Group, VARIANT_CASES } from './matrix.js'
import type { ReplayResult } from './replay.js'
import { NAIVE, PRESENT, VARIANTS, VERSIONS } from './versions.js'

/** Median, least and greatest of several seeds. */
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
    const own = inCase.filter(({ job }) => job.group === Group.Variant && job.version === version.name)
    const seeds = new Set(own.map(({ job }) => job.seed))
    const present = inCase.filter(({ job }) => job.group === Group.Matrix && job.version === PRESENT.name && seeds.has(job.seed))
    const mean = (chosen: readonly JobResult[], figure: (result: ReplayResult) => number) => (
      chosen.reduce((sum, { result }) => sum + figure(result), 0) / chosen.length)
    return {
      version: version.name,
      deployment,
      scenario,
      attainment: mean(own, (result) => result.attainment),
      present: mean(present, (result) => result.attainment),
      moves: mean(own, (result) => result.moves),
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
  return results.filter(({ job }) => job.group === Group.Ours).map(({ job, result }) => {
    const others = results.filter((other) => other.job.group === Group.Bound && other.job.seed === job.seed)
    return { seed: job.seed, ours: result.attainment, best: Math.max(...others.map((other) => other.result.attainment)), placements: others.length }
  })
}

function limitsOf (results: readonly ReplayResult[]): Report['limits'] {
  const most = (figure: (result: ReplayResult) => number) => Object.fromEntries(DEPLOYMENTS.map(({ name }) => (
    [name, Math.max(...results.filter(({ deployment }) => deployment === name).map(figure))])))
  return {
    overcommits: results.reduce((sum, { overcommits }) => sum + overcommits, 0),
    startsPerS: Math.max(...results.map(({ limits }) => limits.startsPerS)),
    loading: most(({ limits }) => limits.loading),
    adapters: most(({ limits }) => limits.adapters)
  }
}

/** How the targets were met, each as measured. */
export function targetLines (report: Report): string[] {
  const pairs = report.rows.filter(({ version }) => version === PRESENT.name)
    .map((row) => ({ row, naive: findRow(report.rows, row.deployment, row.scenario, NAIVE.name) as Row }))
  const ratio = ({ row, naive }: typeof pairs[number]) => row.attainedPerAcceleratorS.median / naive.attainedPerAcceleratorS.median
  const loaded: string[] = [ScenarioName.Peak, ScenarioName.Swing]
  const inLoaded = pairs.filter(({ row }) => loaded.includes(row.scenario))
  const below = pairs.filter((pair) => ratio(pair) < 1).map(({ row }) => `${row.deployment} ${row.scenario}`)
  const cost = (what: string, size: number) => report.costs.find((entry) => entry.what.startsWith(what) && entry.size === size)?.medianUs ?? NaN
  const reach = Math.min(...pairs.map(({ row }) => row.reachability.min))
  const bound = Math.min(...report.bounds.map(({ ours, best }) => ours / best))
  return [
    `| reachability of routed models | 100% | least of all seeds ${percent(reach)} | ${verdict(reach === 1)} |`,
    ...inLoaded.map((pair) => `| attainment per accelerator, ${pair.row.deployment}, ${pair.row.scenario} | 1.5 times naive | ${ratio(pair).toFixed(2)} times | ${verdict(ratio(pair) >= 1.5)} |`),
    `| no scenario below naive | none | ${below.length === 0 ? 'none' : below.join(', ')} | ${verdict(below.length === 0)} |`,
    ...moveLines(report),
    `| within 10% of the offline bound | 0.9 | ${bound.toFixed(3)} | ${verdict(bound >= 0.9)} |`,
    `| choice of a runner, 64 candidates | 50 µs | ${cost('choice', 64).toFixed(1)} µs | ${verdict(cost('choice', 64) < 50)} |`,
    `| plan, 64 runners, 730 models, from nothing | 50 ms | ${(cost('plan from', 730) / 1000).toFixed(1)} ms | ${verdict(cost('plan from', 730) < 50_000)} |`,
    `| store: starts a second; loads at once; adapters in transit | 2; 24, 15; 190, 120 | ${report.limits.startsPerS}; ${Object.values(report.limits.loading).join(', ')}; ${Object.values(report.limits.adapters).join(', ')} | ${verdict(withinLimits(report))} |`,
    `| accelerator memory overcommitted | never | ${report.limits.overcommits} times | ${verdict(report.limits.overcommits === 0)} |`
  ]
}

/** Moves under the franchise's weight, against static placement and against moves without a cost. */
function moveLines (report: Report): string[] {
  const total = (version: string) => report.rows.filter((row) => row.deployment === 'franchise' && row.version === version)
    .reduce((sum, row) => sum + row.moves.median, 0)
  const [ours, eager, naive] = [total(PRESENT.name), total('eager moves'), total(NAIVE.name)]
  return [
    `| moves, franchise, all scenarios, against naive | half | ${ours} against ${naive}: static placement never moves | not reached |`,
    `| the same against moves without cost | half | ${ours} against ${eager} | ${verdict(ours <= eager / 2)} |`
  ]
}

function withinLimits ({ limits }: Report): boolean {
  const starts = limits.startsPerS <= Math.min(...DEPLOYMENTS.map(({ storeStartsPerS }) => storeStartsPerS))
  return starts && DEPLOYMENTS.every(({ name, storeAtOnce, adaptersInTransit }) => (
    (limits.loading[name] ?? Infinity) <= storeAtOnce && (limits.adapters[name] ?? Infinity) <= adaptersInTransit))
}

function verdict (reached: boolean): string {
  return reached ? 'reached' : 'not reached'
}

export function percent (share: number): string {
  return `${(share * 100).toFixed(2)}%`
}
