/** Selects the hosts that a caller should send its requests to. */
import { hash32 } from '../hashing/hash.js'
import { assignHosts, spreadOverZones } from './assignment.js'
import { Liveness, type HostView, type MembershipView } from './types.js'

export type LookupQuery = {
  /** Cell of the model or service; undefined for any host. */
  cell?: string
  /** Availability zone of the caller, if known. */
  callerAvailabilityZone?: string
  /** Availability zones of the cell's region; hosts of all zones if undefined. */
  availabilityZones?: ReadonlySet<string>
  /** Distributes callers over equally suitable hosts, for example the caller's address. */
  callerKey?: string
}

/** Largest number of hosts in an answer. */
export const MAX_LOOKUP_HOSTS = 3

/**
 * Hosts for a caller that are live or listed, and not leaving: if possible the first one in the caller's availability zone
 * and the second one in another. Suspect hosts are added if there would be fewer than two.
 */
export function lookupHosts (view: MembershipView, query: LookupQuery): HostView[] {
  const { availabilityZones } = query
  const inRegion = availabilityZones === undefined
    ? view.hosts
    : view.hosts.filter(({ availabilityZone }) => availabilityZones.has(availabilityZone))
  const notLeaving = inRegion.filter(({ leaving }) => !leaving)
  const available = notLeaving.filter(({ liveness }) => liveness === Liveness.Live || liveness === Liveness.Listed)
  const chosen = chooseHosts(available, query)
  if (chosen.length >= 2) return chosen
  const suspects = notLeaving.filter(({ liveness }) => liveness === Liveness.Suspect)
  return [...chosen, ...chooseHosts(suspects, query)].slice(0, MAX_LOOKUP_HOSTS)
}

function chooseHosts (hosts: HostView[], query: LookupQuery): HostView[] {
  const assigned = query.cell === undefined ? hosts : assignHosts(query.cell, hosts)
  const ordered = orderForCaller(assigned, query)
  return spreadOverZones(ordered).slice(0, MAX_LOOKUP_HOSTS)
}

/** Orders hosts by zone, then by a hash with the caller's key. Callers without a key all get the same order. */
function orderForCaller (hosts: HostView[], { callerAvailabilityZone, callerKey }: LookupQuery): HostView[] {
  const weightOf = ({ host }: HostView) => callerKey === undefined ? 0 : hash32(`${host}\n${callerKey}`)
  return hosts
    .map((host, index) => ({ host, index, sameZone: host.availabilityZone === callerAvailabilityZone ? 1 : 0, weight: weightOf(host) }))
    .sort((a, b) => b.sameZone - a.sameZone || b.weight - a.weight || a.index - b.index)
    .map(({ host }) => host)
}
