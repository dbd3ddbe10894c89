/** The versions and variants that are compared side by side. */
import type { PlanOptions } from '@figloom/placement'
import { RunnerChooser, hasRoom, isEligible, expectFirstTokenMs, type Candidate, type Choice, type DeciderOptions, type RandomSource, type RouteRequest } from '@figloom/routing'
import type { Cell } from './cell.js'
import { FirstLimit, FixedLimit } from './baseline-limits.js'
import { DecidingHost, NaiveHost, type Host } from './hosts.js'
import type { Outcomes } from './outcome.js'

export type Version = {
  name: string
  /** Placement by plan; absent for even static placement. */
  plan?: Partial<PlanOptions>
  createHost: (zone: string, cell: Cell, outcomes: Outcomes, random: () => number) => Host
}

/** Random runner under its limit. */
class RandomChooser extends RunnerChooser {
  override choose (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined {
    const open = candidates.filter((candidate) => isEligible(candidate) && hasRoom(candidate))
    return toChoice(open[Math.floor(random() * open.length)], request)
  }
}

/** The less loaded of two random runners. */
class PowerOfTwoChooser extends RunnerChooser {
  override choose (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined {
    const open = candidates.filter((candidate) => isEligible(candidate) && hasRoom(candidate))
    const draw = () => open[Math.floor(random() * open.length)]
    const [first, second] = [draw(), draw()]
    return toChoice(first !== undefined && second !== undefined && second.load < first.load ? second : first, request)
  }
}

/** Longest cached prefix first, under a bound of 1.25 times the mean load; then the least load. */
class AffinityFirstChooser extends RunnerChooser {
  override choose (candidates: readonly Candidate[], request: RouteRequest): Choice | undefined {
    const open = candidates.filter((candidate) => isEligible(candidate) && hasRoom(candidate))
    const bound = 1 + 1.25 * open.reduce((sum, { load }) => sum + load, 0) / Math.max(1, open.length)
    const rank = ({ load, cachedTokens }: Candidate) => load > bound ? -load : 1 + cachedTokens * 1_000 - load / 1_000
    const [best] = [...open].sort((a, b) => rank(b) - rank(a))
    return toChoice(best, request)
  }
}

function toChoice (candidate: Candidate | undefined, request: RouteRequest): Choice | undefined {
  return candidate && { candidate, expectedFirstTokenMs: expectFirstTokenMs(candidate, request) }
}

function deciding (name: string, options: Partial<DeciderOptions> = {}, plan: Partial<PlanOptions> | undefined = {}): Version {
  return { name, plan, createHost: (zone, cell, outcomes, random) => DecidingHost.create(zone, cell, outcomes, random, options) }
}

export const NAIVE: Version = { name: 'naive', createHost: NaiveHost.create }
export const FIRST = deciding('first limit', { createLimit: FirstLimit.create })
export const PRESENT = deciding('present')
/** Our routing with moves that cost nothing: what hysteresis and cost of moves are compared with. */
export const EAGER = deciding('eager moves', {}, { moveCostS: 0, minMoveCostS: 0, minResidenceMs: 0, maxDemandMoves: 16 })

export const VERSIONS: Version[] = [NAIVE, FIRST, EAGER, PRESENT]

/** The present version with one policy taken out or exchanged. */
export const VARIANTS: Version[] = [
  deciding('random choice', { chooser: new RandomChooser() }),
  deciding('power of two choices', { chooser: new PowerOfTwoChooser() }),
  deciding('affinity first', { chooser: new AffinityFirstChooser() }),
  deciding('fixed limit of 64', { createLimit: FixedLimit.create }),
  deciding('batch unbounded', { batchShare: 1 }),
  deciding('no demand copies', {}, { followDemand: false }),
  deciding('no copies against a loss', {}, { maxWorkAfterLoss: Infinity }),
  deciding('no least residence', {}, { minResidenceMs: 0 }),
  { ...deciding('even static placement'), plan: undefined }
]

export function versionNamed (name: string): Version {
  const version = [...VERSIONS, ...VARIANTS].find((version) => version.name === name)
  if (version === undefined) throw new Error(`no version ${name}`)
  return version
}
