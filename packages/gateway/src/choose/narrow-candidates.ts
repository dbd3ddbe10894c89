/**
 * Narrows down the runners that a host compares for a request. With many hosts, load reports come over relays and are up to
 * a second old. If every host compared all runners, all would send to the one that seemed least loaded; each host compares
 * its own two instead, so that requests spread. Pure.
 */
import { pickByWeight } from './rendezvous.js'
import type { Candidate } from './choose-runner.js'

export type NarrowInput = {
  candidates: readonly Candidate[]
  /** Name of this host. */
  host: string
  random: () => number
}

/** The runner preferred by this host, which keeps its connections in use, and a random one, in case the preferred one is loaded. */
export function narrowCandidates ({ candidates, host, random }: NarrowInput): Candidate[] {
  const preferred = pickByWeight(host, candidates)
  const alternative = candidates[Math.floor(random() * candidates.length)]
  return [...new Set([preferred, alternative])].filter((candidate) => candidate !== undefined)
}
