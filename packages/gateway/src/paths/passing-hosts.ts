/** Chooses the hosts that pass requests on, and those that are asked about runners. */
import type { Clock } from '@figloom/runtime'
import type { HostAddress, HostSummary } from '../members/types.js'

/** A host that couldn't pass a request on isn't chosen for this long. */
const EXCLUDED_MS = 1_000
/** For this long after a host reached a runner, its availability zone counts as connected to the runners. */
const PROVEN_MS = 5_000
/** The list of hosts is read again after this time. */
const REFRESH_MS = 50
/** Hosts that are asked about a runner, at most. */
const MAX_WITNESSES = 3

export type PassingHostsParts = {
  clock: Clock
  self: HostAddress
  /** Hosts that are up, except this one. */
  liveHosts: () => HostSummary[]
  random: () => number
}

type KnownHosts = { atMs: number, all: HostAddress[], otherZones: HostAddress[], byZone: Map<string, HostAddress[]>, /** Hosts that are cut off from most runners. */ cutOff: HostAddress[] }

export class PassingHosts {
  readonly #excludedUntilMs = new Map<string, number>()
  /** When a host of an availability zone last reached a runner that this host doesn't reach. */
  readonly #provenMs = new Map<string, number>()
  #known: KnownHosts | undefined

  private constructor (private readonly parts: PassingHostsParts) {}

  static create (parts: PassingHostsParts): PassingHosts {
    return new PassingHosts(parts)
  }

  /**
   * The host that passes the next request on to a runner; undefined if there is none. A host of the runner's availability zone is
   * preferred, then one of this host's: the bytes cross zones once at most. Requests spread over equally good hosts at random.
   */
  pick (runnerZone: string): HostAddress | undefined {
    const { all, otherZones, byZone } = this.#hosts()
    const ownZone = this.parts.self.availabilityZone
    const zones = [runnerZone, ownZone].filter((zone) => zone !== ownZone || this.#isProven(ownZone))
    const groups = [...zones.map((zone) => byZone.get(zone) ?? []), otherZones, all]
    for (const group of groups) {
      const host = this.#pickFrom(group)
      if (host !== undefined) return host
    }
    return undefined
  }

  /** A host that is known to reach a runner, though it may be cut off from others. */
  ifLive (host: HostAddress | undefined): HostAddress | undefined {
    if (host === undefined || this.#excludedUntilMs.has(host.host)) return undefined
    const summary = this.parts.liveHosts().find(({ address }) => address.host === host.host)
    return summary !== undefined && summary.ready && !summary.leaving ? summary.address : undefined
  }

  /** Hosts to ask about a runner: one of its availability zone first, then one of another zone than this host's, then any. */
  witnesses (runnerZone: string): HostAddress[] {
    const { all, otherZones, byZone, cutOff } = this.#hosts()
    const chosen = new Set<HostAddress>()
    // A host that is cut off may still reach this runner.
    const groups = [byZone.get(runnerZone) ?? [], otherZones, all, all, cutOff.filter(({ availabilityZone }) => availabilityZone === runnerZone), cutOff]
    for (const group of groups) {
      const host = this.#pickFrom(group.filter((candidate) => !chosen.has(candidate)))
      if (host !== undefined) chosen.add(host)
    }
    return [...chosen].slice(0, MAX_WITNESSES)
  }

  /** A host reached a runner that this host doesn't reach. */
  onProven ({ availabilityZone }: HostAddress): void {
    this.#provenMs.set(availabilityZone, this.#nowMs())
  }

  /** A host could not be reached, or reaches no runners itself. */
  onFailed (host: string): void {
    this.#excludedUntilMs.set(host, this.#nowMs() + EXCLUDED_MS)
    this.#known = undefined
  }

  /** The links of a zone often fail together, so hosts of this host's zone are used only after one of them reached a runner. */
  #isProven (zone: string): boolean {
    return this.#nowMs() - (this.#provenMs.get(zone) ?? -Infinity) < PROVEN_MS
  }

  #pickFrom (hosts: readonly HostAddress[]): HostAddress | undefined {
    return hosts[Math.floor(this.parts.random() * hosts.length)]
  }

  #hosts (): KnownHosts {
    const nowMs = this.#nowMs()
    if (this.#known === undefined || nowMs - this.#known.atMs >= REFRESH_MS) this.#known = this.#readHosts(nowMs)
    return this.#known
  }

  #readHosts (nowMs: number): KnownHosts {
    for (const [host, untilMs] of this.#excludedUntilMs) if (untilMs <= nowMs) this.#excludedUntilMs.delete(host)
    const usable = this.parts.liveHosts().filter((summary) => this.#isUsable(summary))
    const all = usable.filter((summary) => !summary.cutOff).map(({ address }) => address)
    const cutOff = usable.filter((summary) => summary.cutOff).map(({ address }) => address)
    const otherZones = all.filter(({ availabilityZone }) => availabilityZone !== this.parts.self.availabilityZone)
    return { atMs: nowMs, all, otherZones, byZone: groupByZone(all), cutOff }
  }

  #isUsable ({ address, ready, leaving, hearsay }: HostSummary): boolean {
    return ready && !leaving && !hearsay && !this.#excludedUntilMs.has(address.host)
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }
}

function groupByZone (hosts: readonly HostAddress[]): Map<string, HostAddress[]> {
  const byZone = new Map<string, HostAddress[]>()
  for (const host of hosts) {
    const group = byZone.get(host.availabilityZone)
    if (group === undefined) byZone.set(host.availabilityZone, [host])
    else group.push(host)
  }
  return byZone
}
