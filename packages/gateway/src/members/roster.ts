/** Lists of hosts that are sent as changes: the sender's side numbers its changes, the receiver's side follows them. Pure state. */
import type { HostSummary, RosterUpdate, RosterVersion } from './types.js'

type Listed = { summary: HostSummary, version: number }

/** A list as its sender keeps it. */
export class Roster {
  readonly #listed = new Map<string, Listed>()
  readonly #removed = new Map<string, number>()
  #version = 0

  /** @param rosterId names this list in the life of this process */
  private constructor (private readonly rosterId: string) {}

  static create (rosterId: string): Roster {
    return new Roster(rosterId)
  }

  /** Takes over the hosts as they stand. */
  update (summaries: readonly HostSummary[]): void {
    const names = new Set<string>()
    for (const summary of summaries) {
      const { host } = summary.address
      names.add(host)
      this.#put(host, summary)
    }
    for (const host of this.#listed.keys()) {
      if (!names.has(host)) this.#remove(host)
    }
  }

  /** What a receiver lacks that has `seen`; the whole list where that is of another life or list. */
  changesSince (seen: RosterVersion | undefined): RosterUpdate {
    const complete = seen === undefined || seen.rosterId !== this.rosterId || seen.version > this.#version
    const since = complete ? 0 : seen.version
    const hosts = [...this.#listed.values()].filter(({ version }) => version > since).map(({ summary }) => summary)
    const removed = complete ? [] : [...this.#removed].filter(([, version]) => version > since).map(([host]) => host)
    return { to: { rosterId: this.rosterId, version: this.#version }, complete, hosts, removed }
  }

  #put (host: string, summary: HostSummary): void {
    const known = this.#listed.get(host)
    if (known !== undefined && isSame(known.summary, summary)) return
    this.#version += 1
    this.#listed.set(host, { summary, version: this.#version })
    this.#removed.delete(host)
  }

  #remove (host: string): void {
    this.#version += 1
    this.#listed.delete(host)
    this.#removed.set(host, this.#version)
  }
}

/** Another host's list as its receiver knows it. */
export class RosterView {
  readonly #hosts = new Map<string, HostSummary>()
  #seen: RosterVersion | undefined

  private constructor () {}

  static create (): RosterView {
    return new RosterView()
  }

  get seen (): RosterVersion | undefined {
    return this.#seen
  }

  get hosts (): Iterable<HostSummary> {
    return this.#hosts.values()
  }

  /** Takes over an update; one that was overtaken, or that changes a state that isn't known here, is passed over. */
  apply (update: RosterUpdate): void {
    const follows = this.#seen?.rosterId === update.to.rosterId
    if (follows && update.to.version < (this.#seen?.version ?? 0)) return
    if (!follows && !update.complete) return
    if (update.complete) this.#hosts.clear()
    for (const summary of update.hosts) this.#hosts.set(summary.address.host, summary)
    for (const host of update.removed) this.#hosts.delete(host)
    this.#seen = update.to
  }
}

/** The address belongs to the incarnation. */
function isSame (one: HostSummary, other: HostSummary): boolean {
  return one.incarnation === other.incarnation && one.ready === other.ready && one.leaving === other.leaving &&
    one.relay === other.relay && one.holdsLease === other.holdsLease && one.hearsay === other.hearsay &&
    one.address.peerAddress === other.address.peerAddress
}
