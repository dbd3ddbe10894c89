/** Chooses the hosts that batch the claims of a stream. This only saves appends: correctness doesn't depend on it. */
import { rankByRendezvous } from '../hashing/hash.js'
import { claimStreamName } from './keys.js'
import { CLAIM_STREAM_COUNT } from './types.js'

/** A host that can be a gateway. */
export type GatewayCandidate = { host: string, availabilityZone: string }

/** Gateways of a stream: the first receives the claims, the second follows the stream as a standby. */
export const GATEWAYS_PER_STREAM = 2

/** Chooses the gateways of a stream; the second one is in another availability zone if possible. */
export function rankGateways (index: number, candidates: readonly GatewayCandidate[]): string[] {
  const ranked = rankByRendezvous(claimStreamName(index), candidates, ({ host }) => host)
  const [first, ...others] = ranked
  if (first === undefined) return []
  const second = others.find(({ availabilityZone }) => availabilityZone !== first.availabilityZone) ?? others[0]
  return second === undefined ? [first.host] : [first.host, second.host]
}

/**
 * Hosts to send a claim to, in order: the gateways, then those of the entry host's own region. In a region that is cut
 * off from the gateways, its hosts thus share readers of the stream, and don't each read it.
 */
export function rankClaimHosts (index: number, candidates: readonly GatewayCandidate[], ownRegionZones: ReadonlySet<string>): string[] {
  const near = candidates.filter(({ availabilityZone }) => ownRegionZones.has(availabilityZone))
  return [...new Set([...rankGateways(index, candidates), ...rankGateways(index, near)])]
}

/** Streams of which a host is a gateway. */
export function streamsOfGateway (host: string, candidates: readonly GatewayCandidate[]): number[] {
  return Array.from({ length: CLAIM_STREAM_COUNT }, (_, index) => index)
    .filter((index) => rankGateways(index, candidates).includes(host))
}
