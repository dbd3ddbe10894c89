/** The other hosts: those in direct contact by their last report and its age, the rest as relays report them. State without I/O. */
import type { ContactTiming } from './contact-timing.js'
import type { ListVersion, ListView } from './change-list.js'
import { createHostView } from './host-list.js'
import type { HostAddress, HostReport, HostSummary } from './types.js'

/** A host that stopped reporting is still counted for shared limits for this long, since it may still use its share. */
const SHARE_RETENTION_MS = 15_000
/** A rolling restart of all hosts takes about this long; a restart within it counts as recent. */
const RECENT_RESTART_MS = 60_000
/** A host that neither reports nor is reported is removed after this time. */
const HOST_RETENTION_MS = 60_000
/** The merged view of all reports is cached for this long, unless a new report arrives. */
const SNAPSHOT_TTL_MS = 50

/** A host in direct contact. */
type Contact = { report: HostReport, receivedMs: number, /** It is no relay and calls this host to report. */ reportsHere: boolean }

/** A host that is up. */
export type Member = {
  summary: HostSummary
  /** Its last report and when it was received; absent if only relays are in contact with it. */
  direct?: { report: HostReport, receivedMs: number }
}

/** What is kept of a host after it stopped reporting. */
type KnownHost = {
  address: HostAddress
  incarnation?: string
  /** Last time at which it was up; absent if only its address is known. */
  lastLiveMs?: number
  /** Last time at which it was up, or was named by a host or the registry. */
  lastNamedMs: number
  /** When a new incarnation was first observed; absent if there has been only one. */
  restartedMs?: number
  /** It was a relay when it was last up. */
  relay: boolean
}

type Snapshot = { atMs: number, live: Member[] }

export class MemberTable {
  readonly #contacts = new Map<string, Contact>()
  readonly #views = new Map<string, ListView<HostSummary>>()
  readonly #knownHosts = new Map<string, KnownHost>()
  #snapshot: Snapshot | undefined

  private constructor (private readonly self: string, private readonly timing: ContactTiming) {}

  static create (self: string, timing: ContactTiming): MemberTable {
    return new MemberTable(self, timing)
  }

  /** Adds a host of which only the address is known, so that it is contacted. */
  addDiscovered (address: HostAddress, nowMs: number): void {
    if (address.host === this.self) return
    const known = this.#knownHosts.get(address.host)
    if (known !== undefined) known.lastNamedMs = nowMs
    else this.#knownHosts.set(address.host, { address, lastNamedMs: nowMs, relay: false })
  }

  /**
   * Applies a host's report.
   * @param isIncoming the host called this one to send it; otherwise it answered a call of this host
   * @returns false if a later report of the same process was received before: the report is ignored
   */
  applyReport (report: HostReport, nowMs: number, isIncoming: boolean): boolean {
    const { host } = report.sender.address
    if (host === this.self) return false
    const previous = this.#contacts.get(host)
    if (previous !== undefined && isOutOfOrder(report, previous.report)) return false
    const callsHere = isIncoming || (previous?.reportsHere ?? false)
    this.#contacts.set(host, { report, receivedMs: nowMs, reportsHere: callsHere && !report.sender.relay })
    this.#recordLive(report.sender, nowMs)
    this.#applyHosts(host, report, nowMs)
    this.#snapshot = undefined
    return true
  }

  #applyHosts (host: string, { hosts }: HostReport, nowMs: number): void {
    if (hosts === undefined) return
    const view = this.#views.get(host) ?? createHostView()
    this.#views.set(host, view)
    view.apply(hosts)
    for (const { address, hearsay } of hosts.items) {
      if (hearsay) this.addDiscovered(address, nowMs)
    }
  }

  /** Version of another host's host list that this host has. */
  hostsSeen (host: string): ListVersion | undefined {
    return this.#views.get(host)?.seen
  }

  /** Another host's last report, however old. */
  lastReport (host: string): HostReport | undefined {
    return this.#contacts.get(host)?.report
  }

  /** Hosts that are up, except this one. */
  live (nowMs: number): Member[] {
    const known = this.#snapshot
    if (known !== undefined && nowMs - known.atMs < SNAPSHOT_TTL_MS) return known.live
    const live = this.#collect(nowMs)
    for (const { summary } of live) this.#recordLive(summary, nowMs)
    this.#snapshot = { atMs: nowMs, live }
    return live
  }

  #collect (nowMs: number): Member[] {
    const found = new Map<string, Member>()
    for (const { report, receivedMs } of this.#contacts.values()) {
      if (nowMs - receivedMs >= this.timing.silentMs) continue
      found.set(report.sender.address.host, { summary: report.sender, direct: { report, receivedMs } })
    }
    for (const [relay, view] of this.#views) {
      if (nowMs - (this.#contacts.get(relay)?.receivedMs ?? -Infinity) >= this.timing.relayReportTtlMs) continue
      for (const summary of view.items) this.#addRelayed(found, summary)
    }
    return [...found.values()]
  }

  /** A host that switches relays is in two relays' lists for a while: if one of them reports it as leaving, that one is used. */
  #addRelayed (found: Map<string, Member>, summary: HostSummary): void {
    const { host } = summary.address
    if (summary.hearsay || host === this.self) return
    const known = found.get(host)
    if (known === undefined) found.set(host, { summary })
    else if (known.direct === undefined && summary.leaving) known.summary = summary
  }

  /** Hosts that lookups may return to callers. */
  ready (nowMs: number): Member[] {
    return this.live(nowMs).filter(({ summary }) => summary.ready && !summary.leaving)
  }

  /** Of these hosts, the ones that reach their runners. */
  connected (nowMs: number): Member[] {
    return this.ready(nowMs).filter(({ summary }) => !summary.cutOff)
  }

  /** Last reports of the hosts that report to this one. */
  groupReports (nowMs: number): HostReport[] {
    return [...this.#contacts.values()]
      .filter(({ reportsHere, receivedMs }) => reportsHere && nowMs - receivedMs < this.timing.silentMs)
      .map(({ report }) => report)
  }

  /** Hosts that were named recently but aren't known to be up. */
  discovered (nowMs: number): HostAddress[] {
    const live = new Set(this.live(nowMs).map(({ summary }) => summary.address.host))
    return [...this.#knownHosts.values()]
      .filter(({ address, lastNamedMs }) => !live.has(address.host) && nowMs - lastNamedMs < this.timing.relayReportTtlMs)
      .map(({ address }) => address)
  }

  /** Relays that stopped reporting: they may know hosts that this one lost contact with. */
  silentRelays (nowMs: number): HostAddress[] {
    const live = new Set(this.live(nowMs).map(({ summary }) => summary.address.host))
    return [...this.#knownHosts.values()].filter(({ relay, address }) => relay && !live.has(address.host)).map(({ address }) => address)
  }

  /** Whether another host that is ready and not leaving was restarted recently. */
  hasRestartedHost (nowMs: number): boolean {
    return this.ready(nowMs).some(({ summary }) => {
      const restartedMs = this.#knownHosts.get(summary.address.host)?.restartedMs
      return restartedMs !== undefined && nowMs - restartedMs < RECENT_RESTART_MS
    })
  }

  /** Number of hosts that may use a share of the limits that all hosts share, including this one. */
  sharingHostCount (nowMs: number): number {
    this.live(nowMs)
    const others = [...this.#knownHosts.values()].filter(({ lastLiveMs }) => lastLiveMs !== undefined && nowMs - lastLiveMs < SHARE_RETENTION_MS)
    return others.length + 1
  }

  /** Number of hosts that were up or named recently, including this one. */
  namedHostCount (nowMs: number): number {
    this.live(nowMs)
    return this.#knownHosts.size + 1
  }

  /** Removes hosts that have been neither up nor named for `HOST_RETENTION_MS`. */
  sweep (nowMs: number): void {
    for (const [host, { lastLiveMs, lastNamedMs }] of this.#knownHosts) {
      if (nowMs - Math.max(lastLiveMs ?? -Infinity, lastNamedMs) <= HOST_RETENTION_MS) continue
      this.#knownHosts.delete(host)
      this.#contacts.delete(host)
      this.#views.delete(host)
    }
  }

  #recordLive (summary: HostSummary, nowMs: number): void {
    const { address, incarnation, relay } = summary
    const known = this.#knownHosts.get(address.host)
    const restarted = known?.incarnation !== undefined && known.incarnation !== incarnation
    const restartedMs = restarted ? nowMs : known?.restartedMs
    this.#knownHosts.set(address.host, { address, incarnation, lastLiveMs: nowMs, lastNamedMs: nowMs, restartedMs, relay })
  }
}

/** Reports of one host can arrive out of order: one as the answer to this host's call, another by the other host's own call. */
function isOutOfOrder (report: HostReport, latest: HostReport): boolean {
  return report.sender.incarnation === latest.sender.incarnation && report.number < latest.number
}
