/**
 * Decides which hosts are relays, and which relay a host reports to. A small number of hosts forms a full mesh. Of many hosts,
 * about the square root are relays, so that a relay has about as many reporting hosts as there are other relays. All
 * hosts that know the same hosts compute the same plan. Pure functions.
 */
import { hashOf } from '../choose/rendezvous.js'
import type { HostAddress } from './types.js'

/** Up to this many hosts each one is a relay: a full mesh of direct contacts costs less than an additional hop. */
export const MAX_FULL_MESH_HOSTS = 8
/** Minimum number of relays of a larger deployment, so that some can fail at once and the others still connect all hosts. */
const MIN_RELAYS = 4

export function relayCount (hostCount: number): number {
  if (hostCount <= MAX_FULL_MESH_HOSTS) return hostCount
  return Math.max(MIN_RELAYS, Math.ceil(Math.sqrt(hostCount)))
}

/** Names of the relays: the hosts with the most capacity, and among equals those with the highest hash. */
export function chooseRelays (hosts: readonly HostAddress[]): Set<string> {
  const ranked = hosts
    .map(({ host, capacityCores }) => ({ host, capacityCores, weight: hashOf(host) }))
    .sort((a, b) => b.capacityCores - a.capacityCores || b.weight - a.weight)
  return new Set(ranked.slice(0, relayCount(hosts.length)).map(({ host }) => host))
}

/** Relays in a host's order of preference: those in its availability zone first, then by a hash that spreads hosts over relays. */
export function rankRelays (self: HostAddress, relays: readonly HostAddress[]): HostAddress[] {
  const zoneRank = (relay: HostAddress) => relay.availabilityZone === self.availabilityZone ? 0 : 1
  return relays
    .map((relay) => ({ relay, weight: hashOf(`${self.host}\n${relay.host}`) }))
    .sort((a, b) => zoneRank(a.relay) - zoneRank(b.relay) || b.weight - a.weight)
    .map(({ relay }) => relay)
}
