/** The replays of one run of the benchmark. */
import { SCENARIOS, ScenarioName } from './demand.js'
import { DEPLOYMENTS, SMALL } from './deployments.js'
import type { Job } from './jobs.js'
import { PRESENT, VARIANTS, VERSIONS } from './versions.js'

export const SEEDS = [1, 2, 3, 4, 5]
/** Seeds that were not used to tune any policy. */
export const HELD_OUT_SEEDS = [101, 102]
const VARIANT_SEEDS = [1, 2]
export const REPORT_LAG_MS = 250
export const SHARED_PREFIX_SHARE = 0.5

export const Group = { Matrix: 'matrix', HeldOut: 'held out', Variant: 'variant', MoveWeight: 'move weight', Lag: 'report lag', Prefix: 'shared prefix', Bound: 'bound', BoundPresent: 'bound, ours' } as const

/** Deployments and scenarios in which the variants are replayed. */
export const VARIANT_CASES: [string, ScenarioName][] = [
  ['cooperative', ScenarioName.Peak],
  ['cooperative', ScenarioName.RunnerLoss],
  ['franchise', ScenarioName.Swing],
  ['franchise', ScenarioName.Batch]
]

const MOVE_WEIGHTS = [0, 0.2, 0.5, 0.8, 1]
const LAGS_MS = [0, 250, 1_000, 3_000]
const PREFIX_SHARES = [0, 0.25, 0.5, 0.75]

export function createJobs (): Job[] {
  return [
    ...DEPLOYMENTS.flatMap(({ name }) => SCENARIOS.flatMap((scenario) => VERSIONS.flatMap((version) => [
      ...SEEDS.map((seed) => jobOf(Group.Matrix, name, scenario, seed, { version: version.name })),
      ...HELD_OUT_SEEDS.map((seed) => jobOf(Group.HeldOut, name, scenario, seed, { version: version.name }))
    ]))),
    ...VARIANTS.flatMap((version) => VARIANT_CASES.flatMap(([name, scenario]) => (
      VARIANT_SEEDS.map((seed) => jobOf(Group.Variant, name, scenario, seed, { version: version.name }))))),
    ...VARIANT_SEEDS.flatMap((seed) => [
      ...MOVE_WEIGHTS.map((moveWeight) => jobOf(Group.MoveWeight, 'franchise', ScenarioName.Swing, seed, { moveWeight })),
      ...LAGS_MS.map((reportLagMs) => jobOf(Group.Lag, 'cooperative', ScenarioName.Peak, seed, { reportLagMs })),
      ...PREFIX_SHARES.map((sharedPrefixShare) => jobOf(Group.Prefix, 'cooperative', ScenarioName.Peak, seed, { sharedPrefixShare }))
    ]),
    ...VARIANT_SEEDS.flatMap((seed) => [
      ...allPlacements().map((placement) => jobOf(Group.Bound, SMALL.name, ScenarioName.Peak, seed, { version: 'even static placement', placement })),
      jobOf(Group.BoundPresent, SMALL.name, ScenarioName.Peak, seed, {})
    ])
  ]
}

function jobOf (group: string, deployment: string, scenario: ScenarioName, seed: number, changes: Partial<Job>): Job {
  return { group, deployment, version: PRESENT.name, scenario, seed, sharedPrefixShare: SHARED_PREFIX_SHARE, reportLagMs: REPORT_LAG_MS, ...changes }
}

/** All placements of the small deployment with two models on each runner and every model on at least one; the runners are identical. */
export function allPlacements (): string[][][] {
  const models = SMALL.pool.models.map(({ name }) => name)
  const pairs = models.flatMap((first, index) => models.slice(index + 1).map((second) => [first, second]))
  const all = pairs.flatMap((a, i) => pairs.slice(i).flatMap((b, j) => pairs.slice(i + j).map((c) => [a, b, c])))
  return all.filter((placement) => new Set(placement.flat()).size === models.length)
}
