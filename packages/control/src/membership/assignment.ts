/** Which entry hosts serve which cell: the same answer on every host that knows the same hosts, and stable as they change. */
import { rankByRendezvous } from '../hashing/hash.js'

/** A host to choose from. */
export type AssignableHost = { host: string, availabilityZone: string }

/** Up to this many hosts in a region, each serves every cell. */
export const ALL_SERVE_ALL_HOSTS = 8

/** Hosts of a cell in larger regions. */
export const HOSTS_PER_CELL = 3

/**
 * Hosts of a cell, the best first: spread over availability zones as far as there are several. `hosts` are those of the
 * cell's region.
 */
export function assignHosts<Host extends AssignableHost> (cell: string, hosts: readonly Host[], count = HOSTS_PER_CELL): Host[] {
  const ranked = rankByRendezvous(cell, hosts, ({ host }) => host)
  if (ranked.length <= ALL_SERVE_ALL_HOSTS) return spreadOverZones(ranked)
  return spreadOverZones(ranked).slice(0, count)
}

/** Cells of a host among those of its region. */
export function cellsOfHost (host: string, cells: readonly string[], hosts: readonly AssignableHost[]): string[] {
  return cells.filter((cell) => assignHosts(cell, hosts).some((assigned) => assigned.host === host))
}

/** Other hosts that share a cell with a host: those it exchanges heartbeats with. */
export function neighborsOf (host: string, cells: readonly string[], hosts: readonly AssignableHost[]): string[] {
  const sharing = cells.flatMap((cell) => assignHosts(cell, hosts).map((assigned) => assigned.host))
  return [...new Set(sharing)].filter((neighbor) => neighbor !== host)
}

/** Reorders so that each round takes one host of every availability zone, in the order given. */
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
