/** Chooses the hosts that batch the claims of a stream. The choice saves appends; safety never rests on it. */
import { rankByRendezvous } from '../hashing/hash.js'
import { claimStreamName } from './keys.js'
import { CLAIM_STREAM_COUNT } from './types.js'

/** A host that may be a gateway. */
export type GatewayCandidate = { host: string, availabilityZone: string }

/** Gateways of a stream: the first takes the claims, the second follows the stream and stands ready. */
export const GATEWAYS_PER_STREAM = 2

/** Gateways of a stream among live hosts, the second in another availability zone where there is one. */
export function rankGateways (index: number, candidates: readonly GatewayCandidate[]): string[] {
  const ranked = rankByRendezvous(claimStreamName(index), candidates, ({ host }) => host)
  const [first, ...others] = ranked
  if (first === undefined) return []
  const second = others.find(({ availabilityZone }) => availabilityZone !== first.availabilityZone) ?? others[0]
  return second === undefined ? [first.host] : [first.host, second.host]
}

/**
 * Hosts to ask for a claim, in order: the gateways, then one of the caller's own region, so that a region that is cut off
 * from the gateways shares a reader of the stream in place of one for each host.
 */
export function claimOrder (index: number, candidates: readonly GatewayCandidate[], ownRegionZones: ReadonlySet<string>): string[] {
  const near = candidates.filter(({ availabilityZone }) => ownRegionZones.has(availabilityZone))
  return [...new Set([...rankGateways(index, candidates), ...rankGateways(index, near)])]
}

/** Streams that a host follows as a gateway. */
export function streamsOfGateway (host: string, candidates: readonly GatewayCandidate[]): number[] {
  return Array.from({ length: CLAIM_STREAM_COUNT }, (_, index) => index)
    .filter((index) => rankGateways(index, candidates).includes(host))
}
