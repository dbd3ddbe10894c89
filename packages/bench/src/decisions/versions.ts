/** The versions of the decision code, and their variants, that the benchmark compares. */
import type { PlanOptions } from '@figloom/placement'
import { RunnerChooser, hasCapacity, isEligible, expectFirstTokenMs, type Candidate, type Choice, type DeciderOptions, type RandomSource, type RouteRequest } from '@figloom/routing'
import type { Cell } from './cell.js'
import { FirstLimit, FixedLimit } from './baseline-limits.js'
import { RoutingHost, NaiveHost, type Host } from './hosts.js'
import type { Outcomes } from './outcome.js'

export type Version = {
  name: string
  /** Options of the placement plan; absent for even static placement. */
  plan?: Partial<PlanOptions>
  createHost: (zone: string, cell: Cell, outcomes: Outcomes, random: () => number) => Host
}

/** Chooses a random eligible runner with spare capacity. */
class RandomChooser extends RunnerChooser {
  override choose (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined {
    const available = candidates.filter((candidate) => isEligible(candidate) && hasCapacity(candidate))
    return toChoice(available[Math.floor(random() * available.length)], request)
  }
}

/** Chooses the less loaded of two random runners. */
class PowerOfTwoChooser extends RunnerChooser {
  override choose (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined {
    const available = candidates.filter((candidate) => isEligible(candidate) && hasCapacity(candidate))
    const draw = () => available[Math.floor(random() * available.length)]
    const [first, second] = [draw(), draw()]
    return toChoice(first !== undefined && second !== undefined && second.load < first.load ? second : first, request)
  }
}

/** Prefers the longest cached prefix among runners with at most 1.25 times the mean load; otherwise the least loaded. */
class AffinityFirstChooser extends RunnerChooser {
  override choose (candidates: readonly Candidate[], request: RouteRequest): Choice | undefined {
    const available = candidates.filter((candidate) => isEligible(candidate) && hasCapacity(candidate))
    const loadBound = 1 + 1.25 * available.reduce((sum, { load }) => sum + load, 0) / Math.max(1, available.length)
    const rank = ({ load, cachedTokens }: Candidate) => load > loadBound ? -load : 1 + cachedTokens * 1_000 - load / 1_000
    const [best] = [...available].sort((a, b) => rank(b) - rank(a))
    return toChoice(best, request)
  }
}

function toChoice (candidate: Candidate | undefined, request: RouteRequest): Choice | undefined {
  return candidate && { candidate, expectedFirstTokenMs: expectFirstTokenMs(candidate, request) }
}

function createRoutingVersion (name: string, options: Partial<DeciderOptions> = {}, plan: Partial<PlanOptions> | undefined = {}): Version {
  return { name, plan, createHost: (zone, cell, outcomes, random) => RoutingHost.create(zone, cell, outcomes, random, options) }
}

export const NAIVE: Version = { name: 'naive', createHost: NaiveHost.create }
export const FIRST = createRoutingVersion('first limit', { createLimit: FirstLimit.create })
export const PRESENT = createRoutingVersion('present')
/** Present routing, but loads and unloads have no cost: shows what hysteresis and the cost of moves contribute. */
export const EAGER = createRoutingVersion('eager moves', {}, { moveCostS: 0, minMoveCostS: 0, minResidenceMs: 0, maxDemandMoves: 16 })

export const VERSIONS: Version[] = [NAIVE, FIRST, EAGER, PRESENT]

/** The present version with one policy removed or replaced. */
export const VARIANTS: Version[] = [
  createRoutingVersion('random choice', { chooser: new RandomChooser() }),
  createRoutingVersion('power of two choices', { chooser: new PowerOfTwoChooser() }),
  createRoutingVersion('affinity first', { chooser: new AffinityFirstChooser() }),
  createRoutingVersion('fixed limit of 64', { createLimit: FixedLimit.create }),
  createRoutingVersion('batch unbounded', { batchShare: 1 }),
  createRoutingVersion('no demand copies', {}, { followDemand: false }),
  createRoutingVersion('no copies against a loss', {}, { maxWorkAfterLoss: Infinity }),
  createRoutingVersion('no least residence', {}, { minResidenceMs: 0 }),
  { ...createRoutingVersion('even static placement'), plan: undefined }
]

export function findVersion (name: string): Version {
  const version = [...VERSIONS, ...VARIANTS].find((version) => version.name === name)
  if (version === undefined) throw new Error(`unknown version: ${name}`)
  return version
}
