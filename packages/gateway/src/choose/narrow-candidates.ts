/**
 * Narrows down the runners that a host compares for a request. With many hosts, load reports come over relays and are up to
 * a second old. If every host compared all runners, all would send to the one that seemed least loaded; each host compares
 * its own two instead, so that requests spread; faster runners are among the two more often. Pure.
 */
import { meritOf, type Candidate } from './choose-runner.js'
import { pickByShare } from './rendezvous.js'

export type NarrowInput = {
  candidates: readonly Candidate[]
  /** Name of this host. */
  host: string
  random: () => number
}

/** The runner preferred by this host, which keeps its connections in use, and a random one, in case the preferred one is loaded. */
export function narrowCandidates ({ candidates, host, random }: NarrowInput): Candidate[] {
  const preferred = pickByShare(host, candidates, meritOf)
  const alternative = pickRandom(candidates, random)
  return [...new Set([preferred, alternative])].filter((candidate) => candidate !== undefined)
}

/** A random candidate, in proportion to their merits. */
function pickRandom (candidates: readonly Candidate[], random: () => number): Candidate | undefined {
  const total = candidates.reduce((sum, candidate) => sum + meritOf(candidate), 0)
  let rest = random() * total
  return candidates.find((candidate) => {
    rest -= meritOf(candidate)
    return rest < 0
  }) ?? candidates.at(-1)
}
