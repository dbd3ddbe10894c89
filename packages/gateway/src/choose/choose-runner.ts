/**
 * Chooses the runner of a request: the one that should begin it first, with a bounded preference for the runner
 * that has read the shared part of the prompt before. Pure.
 */

import { narrowCandidates } from './narrow-candidates.js'
import { pickByWeight } from './rendezvous.js'

/** A runner as the choice sees it. */
export type Candidate = {
  id: string
  slots: number
  /** Requests there from all hosts. */
  inFlight: number
  availabilityZone: string
  /** It names a limit: a request needs a permit to go there. */
  needsPermit: boolean
}

export type ChoiceInput = {
  candidates: readonly Candidate[]
  /** Same value: same preferred runner, at every host. Empty: no preference. */
  affinityKey: string
  availabilityZone: string
  /** Name of the host that chooses, where what it knows of others' load is old; absent where it is fresh. */
  hostOfOldLoads?: string
  random: () => number
}

export type ChoiceOptions = {
  /** Part of a runner's places that the preferred runner may hold above the least loaded one. */
  affinityAllowance: number
  /** The same for runners of the host's own availability zone. */
  zoneAllowance: number
  /** Part of its places by which a runner counts as more loaded that says it is in need. */
  limitPenalty: number
}

export const DEFAULT_CHOICE_OPTIONS: ChoiceOptions = { affinityAllowance: 0.2, zoneAllowance: 0.02, limitPenalty: 0.5 }

/** Chooses among candidates that all may take the request; undefined if there is none. */
export function chooseRunner (input: ChoiceInput, options: ChoiceOptions = DEFAULT_CHOICE_OPTIONS): Candidate | undefined {
  const preferred = input.affinityKey === '' ? undefined : pickByWeight(input.affinityKey, input.candidates)
  let best: Candidate | undefined
  let bestCost = Infinity
  for (const candidate of comparedCandidates(input, preferred)) {
    const cost = costOf(candidate, input, options, candidate === preferred)
    if (cost < bestCost) {
      best = candidate
      bestCost = cost
    }
  }
  return best
}

function comparedCandidates ({ candidates, hostOfOldLoads: host, random }: ChoiceInput, preferred: Candidate | undefined): readonly Candidate[] {
  if (host === undefined) return candidates
  const few = narrowCandidates({ candidates, host, random })
  return preferred === undefined ? few : [preferred, ...few.filter((candidate) => candidate !== preferred)]
}

/** Expected occupation of a runner, less what speaks for it. */
function costOf (candidate: Candidate, input: ChoiceInput, options: ChoiceOptions, isPreferred: boolean): number {
  const occupation = (candidate.inFlight + 1) / candidate.slots
  const affinity = isPreferred ? options.affinityAllowance : 0
  const zone = candidate.availabilityZone === input.availabilityZone ? options.zoneAllowance : 0
  const limit = candidate.needsPermit ? options.limitPenalty : 0
  const tieBreak = input.random() * 0.01
  return occupation - affinity - zone + limit + tieBreak
}
