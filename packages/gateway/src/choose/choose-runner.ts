/**
 * Chooses the runner of a request: the one that should begin it first, with a bounded preference for the runner
 * that has read the shared part of the prompt before. Pure.
 */

/** A runner as the choice sees it. */
export type Candidate = {
  id: string
  slots: number
  /** Requests there from all hosts. */
  inFlight: number
  availabilityZone: string
}

export type ChoiceInput = {
  candidates: readonly Candidate[]
  /** Same value: same preferred runner, at every host. Empty: no preference. */
  affinityKey: string
  availabilityZone: string
  random: () => number
}

export type ChoiceOptions = {
  /** Part of a runner's places that the preferred runner may hold above the least loaded one. */
  affinityAllowance: number
  /** The same for runners of the host's own availability zone. */
  zoneAllowance: number
}

export const DEFAULT_CHOICE_OPTIONS: ChoiceOptions = { affinityAllowance: 0.2, zoneAllowance: 0.02 }

/** Chooses among candidates that all may take the request; undefined if there is none. */
export function chooseRunner (input: ChoiceInput, options: ChoiceOptions = DEFAULT_CHOICE_OPTIONS): Candidate | undefined {
  const preferred = preferredRunner(input)
  let best: Candidate | undefined
  let bestCost = Infinity
  for (const candidate of input.candidates) {
    const cost = costOf(candidate, input, options, candidate === preferred)
    if (cost < bestCost) {
      best = candidate
      bestCost = cost
    }
  }
  return best
}

/** Expected occupation of a runner, less what speaks for it. */
function costOf (candidate: Candidate, input: ChoiceInput, options: ChoiceOptions, isPreferred: boolean): number {
  const occupation = (candidate.inFlight + 1) / candidate.slots
  const affinity = isPreferred ? options.affinityAllowance : 0
  const zone = candidate.availabilityZone === input.availabilityZone ? options.zoneAllowance : 0
  const tieBreak = input.random() * 0.01
  return occupation - affinity - zone + tieBreak
}

/** Highest random weight: stays the same while its runner stays, whatever others come and go. */
function preferredRunner (input: ChoiceInput): Candidate | undefined {
  if (input.affinityKey === '') return undefined
  let best: Candidate | undefined
  let bestWeight = -1
  for (const candidate of input.candidates) {
    const weight = hashOf(`${input.affinityKey}\n${candidate.id}`)
    if (weight > bestWeight) {
      best = candidate
      bestWeight = weight
    }
  }
  return best
}

/** FNV-1a over the characters with a final mix, 32 bits. */
export function hashOf (text: string): number {
  let hash = 0x811c9dc5
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
