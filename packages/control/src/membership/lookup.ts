/** Answers callers who ask which hosts to use. */
import { hash32 } from '../hashing/hash.js'
import { assignHosts, spreadOverZones } from './assignment.js'
import { Liveness, type HostView, type MembershipView } from './types.js'

export type LookupQuery = {
  /** Cell of the model or service asked for; undefined for any host. */
  cell?: string
  /** Availability zone of the caller, if it gave one. */
  callerAvailabilityZone?: string
  /** Availability zones of the cell's region; all hosts if undefined. */
  availabilityZones?: ReadonlySet<string>
  /** Spreads callers over equally good hosts, for example the caller's address. */
  callerKey?: string
}

/** Number of hosts in an answer, where that many are live. */
export const LOOKUP_HOSTS = 3

/**
 * Hosts for a caller: live and not leaving, the first in the caller's availability zone if one is there, the second in
 * another. Suspects fill up an answer that would otherwise have fewer than two.
 */
export function lookupHosts (view: MembershipView, query: LookupQuery): HostView[] {
  const { availabilityZones } = query
  const inRegion = availabilityZones === undefined
    ? view.hosts
    : view.hosts.filter(({ availabilityZone }) => availabilityZones.has(availabilityZone))
  const staying = inRegion.filter(({ leaving }) => !leaving)
  const good = staying.filter(({ liveness }) => liveness === Liveness.Live || liveness === Liveness.Listed)
  const chosen = choose(good, query)
  if (chosen.length >= 2) return chosen
  const suspects = staying.filter(({ liveness }) => liveness === Liveness.Suspect)
  return [...chosen, ...choose(suspects, query)].slice(0, LOOKUP_HOSTS)
}

function choose (hosts: HostView[], query: LookupQuery): HostView[] {
  const assigned = query.cell === undefined ? hosts : assignHosts(query.cell, hosts)
  const ordered = orderForCaller(assigned, query)
  return spreadOverZones(ordered).slice(0, LOOKUP_HOSTS)
}

/** Callers without a key share one order; with a key, the load spreads over hosts. */
function orderForCaller (hosts: HostView[], { callerAvailabilityZone, callerKey }: LookupQuery): HostView[] {
  const weigh = ({ host }: HostView) => callerKey === undefined ? 0 : hash32(`${host}\n${callerKey}`)
  return hosts
    .map((host, index) => ({ host, index, near: host.availabilityZone === callerAvailabilityZone ? 1 : 0, weight: weigh(host) }))
    .sort((a, b) => b.near - a.near || b.weight - a.weight || a.index - b.index)
    .map(({ host }) => host)
}
