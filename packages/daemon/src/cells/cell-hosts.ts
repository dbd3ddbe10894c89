/** Which hosts serve which cell, from the tables in force and the hosts known. */
import { assignHosts, Liveness, type HostView, type MembershipView } from '@figloom/control'
import type { Pool, Tables } from '@figloom/tables'

export class CellHosts {
  #tables: Tables = { routes: [], pools: [] }
  #view: MembershipView | undefined
  #usable: HostView[] = []
  #signature = ''

  private constructor (private readonly ownRegion: string) {}

  static create (ownRegion: string): CellHosts {
    return new CellHosts(ownRegion)
  }

  get isKnown (): boolean {
    return this.#view !== undefined
  }

  setTables (tables: Tables): void {
    this.#tables = tables
  }

  /** True if the hosts that may serve cells changed. */
  setView (view: MembershipView): boolean {
    this.#view = view
    this.#usable = view.hosts
      .filter(({ self, leaving, liveness }) => self || (!leaving && (liveness === Liveness.Live || liveness === Liveness.Listed)))
    const signature = this.#usable.map(({ host, availabilityZone, innerUrl }) => `${host} ${availabilityZone} ${innerUrl}`).join('\n')
    const isChanged = signature !== this.#signature
    this.#signature = signature
    return isChanged
  }

  /** Hosts of the pool's cell that may serve it, the best first. */
  of (pool: Pool): HostView[] {
    const zones = zonesOfRegion(this.#tables, pool.region)
    const inRegion = this.#usable.filter((host) => zones.has(host.availabilityZone) || (host.self && pool.region === this.ownRegion))
    return assignHosts(pool.name, inRegion)
  }

  /** Hosts that are silent. */
  suspected (): Set<string> {
    const silent = (this.#view?.hosts ?? []).filter(({ self, liveness }) => !self && (liveness === Liveness.Suspect || liveness === Liveness.Dead))
    return new Set(silent.map(({ host }) => host))
  }
}

/** Availability zones in which a region has runners. */
export function zonesOfRegion (tables: Tables, region: string): Set<string> {
  const pools = tables.pools.filter((pool) => pool.region === region)
  return new Set(pools.flatMap(({ runners }) => runners.map(({ availabilityZone }) => availabilityZone)))
}
