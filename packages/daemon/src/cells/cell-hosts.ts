/** Derives which hosts serve which cell from the tables in force and this host's view of its peers. */
import { assignHosts, Liveness, type HostView, type MembershipView } from '@figloom/control'
import type { Pool, Tables } from '@figloom/tables'

export class CellHosts {
  #tables: Tables = { routes: [], pools: [] }
  #view: MembershipView | undefined
  #eligible: HostView[] = []
  #signature = ''

  private constructor (private readonly ownRegion: string) {}

  static create (ownRegion: string): CellHosts {
    return new CellHosts(ownRegion)
  }

  get hasView (): boolean {
    return this.#view !== undefined
  }

  setTables (tables: Tables): void {
    this.#tables = tables
  }

  /** Returns true if the hosts that may serve cells changed. */
  setView (view: MembershipView): boolean {
    this.#view = view
    this.#eligible = view.hosts
      .filter(({ self, leaving, liveness }) => self || (!leaving && (liveness === Liveness.Live || liveness === Liveness.Listed)))
    const signature = this.#eligible.map(({ host, availabilityZone, innerUrl }) => `${host} ${availabilityZone} ${innerUrl}`).join('\n')
    const isChanged = signature !== this.#signature
    this.#signature = signature
    return isChanged
  }

  /** Hosts that may serve the pool's cell, in order of preference. */
  hostsOf (pool: Pool): HostView[] {
    const zones = zonesOfRegion(this.#tables, pool.region)
    const inRegion = this.#eligible.filter((host) => zones.has(host.availabilityZone) || (host.self && pool.region === this.ownRegion))
    return assignHosts(pool.name, inRegion)
  }

  /** Names of the other hosts that are suspected of having failed, or considered dead. */
  suspectedHosts (): Set<string> {
    const silent = (this.#view?.hosts ?? []).filter(({ self, liveness }) => !self && (liveness === Liveness.Suspect || liveness === Liveness.Dead))
    return new Set(silent.map(({ host }) => host))
  }
}

/** Availability zones in which a region has runners. */
export function zonesOfRegion (tables: Tables, region: string): Set<string> {
  const pools = tables.pools.filter((pool) => pool.region === region)
  return new Set(pools.flatMap(({ runners }) => runners.map(({ availabilityZone }) => availabilityZone)))
}
