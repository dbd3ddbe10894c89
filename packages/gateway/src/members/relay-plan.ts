/**
 * Which hosts are relays, and which of them a host reports to. Few hosts all know each other directly; of many, about the
 * square root are relays, so that a relay has as many hosts that report to it as there are other relays. All hosts that
 * know the same hosts come to the same plan. Pure.
 */
import { hashOf } from '../choose/rendezvous.js'
import type { HostAddress } from './types.js'

/** Up to this many hosts every one is a relay: direct contact of all costs less than a step between. */
export const ALL_RELAYS_UP_TO = 8
/** Relays that may fail at once without leaving the others to find each other anew. */
const LEAST_RELAYS = 4

export function relayCount (hostCount: number): number {
  if (hostCount <= ALL_RELAYS_UP_TO) return hostCount
  return Math.max(LEAST_RELAYS, Math.ceil(Math.sqrt(hostCount)))
}

/** Names of the relays: the strongest hosts, and among equals those with the highest hash. */
export function chooseRelays (hosts: readonly HostAddress[]): Set<string> {
  const ranked = hosts
    .map(({ host, capacityCores }) => ({ host, capacityCores, weight: hashOf(host) }))
    .sort((one, other) => other.capacityCores - one.capacityCores || other.weight - one.weight)
  return new Set(ranked.slice(0, relayCount(hosts.length)).map(({ host }) => host))
}

/** Relays in the order in which a host reports to them: those of its availability zone first, spread over the hosts by hash. */
export function orderHomes (self: HostAddress, relays: readonly HostAddress[]): HostAddress[] {
  const distance = (relay: HostAddress) => relay.availabilityZone === self.availabilityZone ? 0 : 1
  return relays
    .map((relay) => ({ relay, weight: hashOf(`${self.host}\n${relay.host}`) }))
    .sort((one, other) => distance(one.relay) - distance(other.relay) || other.weight - one.weight)
    .map(({ relay }) => relay)
}
