/** Chooses runners for new streams while several versions of the runners' software serve side by side. */
import type { Candidate } from '../choose/choose-runner.js'
import type { RunnerEntry } from '../runners/types.js'

/** Holders of a model at one version with which a stream there can go on when it loses its runner. */
const MIN_HOLDERS = 2

/**
 * Candidates at versions at which another runner could continue the stream; all candidates if there are none. Runners that state no
 * version continue no stream.
 * @param holders runners that hold the stream's model and accept work
 */
export function preferContinuable (candidates: Candidate[], holders: readonly RunnerEntry[]): Candidate[] {
  const versionOf = new Map(holders.map(({ id, softwareVersion }) => [id, softwareVersion]))
  const holderCount = (version: string | undefined) => version === undefined ? 0 : holders.filter(({ softwareVersion }) => softwareVersion === version).length
  const preferred = candidates.filter(({ id }) => versionOf.has(id) && holderCount(versionOf.get(id)) >= MIN_HOLDERS)
  return preferred.length > 0 ? preferred : candidates
}
