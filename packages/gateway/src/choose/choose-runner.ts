/**
 * Chooses the runner for a request: the one expected to start it first, which is the least loaded one for its pace, with a bounded
 * preference for the runner that processed the shared prefix of the prompt before. Pure.
 */

import { narrowCandidates } from './narrow-candidates.js'
import { pickByWeight } from './rendezvous.js'

/** State of a runner that the choice depends on. */
export type Candidate = {
  id: string
  slots: number
  /** Requests in flight at the runner from all hosts. */
  inFlight: number
  /** How fast it answers, as a part of the pace of an average runner. */
  pace: number
  availabilityZone: string
  /** The runner announces a limit, so each request to it needs a permit. */
  needsPermit: boolean
}

export type ChoiceInput = {
  candidates: readonly Candidate[]
  /** Requests with the same key prefer the same runner, on every host. Empty: no preference. */
  affinityKey: string
  availabilityZone: string
  /** Name of this host, if what it knows of the load from other hosts is stale; absent if that is fresh. */
  hostWithStaleLoads?: string
  random: () => number
}

export type ChoiceOptions = {
  /** How much more loaded than the least loaded runner the preferred one may be, as a part of its slots. */
  affinityAllowance: number
  /** The same for runners in the host's own availability zone. */
  zoneAllowance: number
  /** Part of its slots by which a runner that announces a limit counts as more loaded. */
  limitPenalty: number
}

export const DEFAULT_CHOICE_OPTIONS: ChoiceOptions = { affinityAllowance: 0.2, zoneAllowance: 0.02, limitPenalty: 0.5 }

/** Chooses among candidates that may all take the request; undefined if there is none. */
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

function comparedCandidates ({ candidates, hostWithStaleLoads: host, random }: ChoiceInput, preferred: Candidate | undefined): readonly Candidate[] {
  if (host === undefined) return candidates
  const subset = narrowCandidates({ candidates, host, random })
  return preferred === undefined ? subset : [preferred, ...subset.filter((candidate) => candidate !== preferred)]
}

/** Utilization of a runner with this request over its merit, less its allowances and plus its penalty; the lowest cost wins. */
function costOf (candidate: Candidate, input: ChoiceInput, options: ChoiceOptions, isPreferred: boolean): number {
  const utilization = (candidate.inFlight + 1) / (candidate.slots * meritOf(candidate))
  const affinity = isPreferred ? options.affinityAllowance : 0
  const zone = candidate.availabilityZone === input.availabilityZone ? options.zoneAllowance : 0
  const limit = candidate.needsPermit ? options.limitPenalty : 0
  const tieBreak = input.random() * 0.01
  return utilization - affinity - zone + limit + tieBreak
}

/**
 * How many requests a runner should have, as a multiple of an average one: the square of its pace. At half the pace, a request runs
 * for twice as long, and each prompt that the runner reads meanwhile stops the streams in its batch for twice as long.
 */
export function meritOf ({ pace }: Candidate): number {
  return pace * pace
}
