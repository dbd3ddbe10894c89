/** Assigns cells to entry hosts: the same on every host that knows the same hosts, with few changes when hosts come or go. */
import { rankByRendezvous } from '../hashing/hash.js'

/** A host that cells can be assigned to. */
export type AssignableHost = { host: string, availabilityZone: string }

/** With up to this many hosts in a region, each one serves every cell. */
export const MAX_HOSTS_SERVING_ALL_CELLS = 8

/** Number of hosts of a cell in larger regions. */
export const HOSTS_PER_CELL = 3

/**
 * Hosts of a cell in order of preference, spread over the availability zones. `hosts` are those of the cell's region.
 */
export function assignHosts<Host extends AssignableHost> (cell: string, hosts: readonly Host[], count = HOSTS_PER_CELL): Host[] {
  const ranked = rankByRendezvous(cell, hosts, ({ host }) => host)
  if (ranked.length <= MAX_HOSTS_SERVING_ALL_CELLS) return spreadOverZones(ranked)
  return spreadOverZones(ranked).slice(0, count)
}

/** Cells assigned to a host, out of those of its region. */
export function cellsOfHost (host: string, cells: readonly string[], hosts: readonly AssignableHost[]): string[] {
  return cells.filter((cell) => assignHosts(cell, hosts).some((assigned) => assigned.host === host))
}

/** Other hosts that share a cell with a host; it exchanges heartbeats with them. */
export function neighborsOf (host: string, cells: readonly string[], hosts: readonly AssignableHost[]): string[] {
  const hostsOfCells = cells.flatMap((cell) => assignHosts(cell, hosts).map((assigned) => assigned.host))
  return [...new Set(hostsOfCells)].filter((neighbor) => neighbor !== host)
}

/** Reorders hosts round-robin over the availability zones; within a zone the order stays. */
export function spreadOverZones<Host extends AssignableHost> (ranked: readonly Host[]): Host[] {
  const rounds = new Map<string, number>()
  return ranked
    .map((host, index) => {
      const round = rounds.get(host.availabilityZone) ?? 0
      rounds.set(host.availabilityZone, round + 1)
      return { host, index, round }
    })
    .sort((a, b) => a.round - b.round || a.index - b.index)
    .map(({ host }) => host)
}
