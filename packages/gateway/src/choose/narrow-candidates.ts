/**
 * Which runners a host compares for a request. Load pattern: many hosts whose word on each other's load comes over relays
 * and is a second old. Comparing all runners, they would all send to the one that seemed least loaded; comparing few, each
 * its own, they spread. Pure.
 */
import { pickByWeight } from './rendezvous.js'
import type { Candidate } from './choose-runner.js'

export type NarrowInput = {
  candidates: readonly Candidate[]
  /** Name of the host that chooses. */
  host: string
  random: () => number
}

/** The host's own, which keeps its connections in use, and one at random, in case that it is loaded. */
export function narrowCandidates ({ candidates, host, random }: NarrowInput): Candidate[] {
  const own = pickByWeight(host, candidates)
  const other = candidates[Math.floor(random() * candidates.length)]
  return [...new Set([own, other])].filter((candidate) => candidate !== undefined)
}
