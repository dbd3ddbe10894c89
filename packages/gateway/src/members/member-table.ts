/** The other hosts: those in direct contact by their last word and its age, the others by the word of relays. Pure state. */
import type { ContactPace } from './contact-pace.js'
import type { ListVersion, ListView } from './change-list.js'
import { createHostView } from './host-list.js'
import type { HostAddress, HostReport, HostSummary } from './types.js'

/** A silent host counts for shared limits for this long, since it may still use its share. */
const COUNTED_MS = 15_000
/** Hosts that are stopped in turn are through with it within about this time. */
const RESTARTED_LATELY_MS = 60_000
/** A silent host is forgotten after this time. */
const FORGET_MS = 60_000
/** What was put together from all reports is used this long, unless another report comes. */
const SNAPSHOT_MS = 50

/** A host in direct contact. */
type Contact = { report: HostReport, heardMs: number, /** It reports to this host, by calls of its own. */ reportsHere: boolean }

/** A host that is up. */
export type Member = {
  summary: HostSummary
  /** Its last report and when it came; absent if only relays hear it. */
  direct?: { report: HostReport, heardMs: number }
}

/** What is remembered of a host beyond its silence. */
type Trace = {
  address: HostAddress
  incarnation?: string
  /** Last time at which it was up; absent if it was only mentioned. */
  upMs?: number
  /** Last time at which anybody spoke of it. */
  mentionedMs: number
  /** When it was first seen in a new incarnation; absent if it has had one only. */
  restartedMs?: number
  /** It was a relay when last seen. */
  relay: boolean
}

type Snapshot = { atMs: number, live: Member[] }

export class MemberTable {
  readonly #contacts = new Map<string, Contact>()
  readonly #views = new Map<string, ListView<HostSummary>>()
  readonly #traces = new Map<string, Trace>()
  #snapshot: Snapshot | undefined

  private constructor (private readonly self: string, private readonly pace: ContactPace) {}

  static create (self: string, pace: ContactPace): MemberTable {
    return new MemberTable(self, pace)
  }

  /** Notes a host that somebody mentioned, so that it is contacted. */
  mention (address: HostAddress, nowMs: number): void {
    if (address.host === this.self) return
    const known = this.#traces.get(address.host)
    if (known !== undefined) known.mentionedMs = nowMs
    else this.#traces.set(address.host, { address, mentionedMs: nowMs, relay: false })
  }

  /**
   * Takes over a host's report; `called`: the host sent it by a call of its own.
   * @returns false where a later report of the same process was heard before: it changes nothing
   */
  hear (report: HostReport, nowMs: number, called: boolean): boolean {
    const { host } = report.sender.address
    if (host === this.self) return false
    const before = this.#contacts.get(host)
    if (before !== undefined && wasOvertaken(report, before.report)) return false
    const calls = called || (before?.reportsHere ?? false)
    this.#contacts.set(host, { report, heardMs: nowMs, reportsHere: calls && !report.sender.relay })
    this.#note(report.sender, nowMs)
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
      if (hearsay) this.mention(address, nowMs)
    }
  }

  /** What this host has of another one's list of hosts. */
  hostsSeen (host: string): ListVersion | undefined {
    return this.#views.get(host)?.seen
  }

  /** Another host's last report, however old. */
  lastReport (host: string): HostReport | undefined {
    return this.#contacts.get(host)?.report
  }

  /** Hosts that are up, this one aside. */
  live (nowMs: number): Member[] {
    const known = this.#snapshot
    if (known !== undefined && nowMs - known.atMs < SNAPSHOT_MS) return known.live
    const live = this.#collect(nowMs)
    for (const { summary } of live) this.#note(summary, nowMs)
    this.#snapshot = { atMs: nowMs, live }
    return live
  }

  #collect (nowMs: number): Member[] {
    const found = new Map<string, Member>()
    for (const { report, heardMs } of this.#contacts.values()) {
      if (nowMs - heardMs >= this.pace.silentMs) continue
      found.set(report.sender.address.host, { summary: report.sender, direct: { report, heardMs } })
    }
    for (const [relay, view] of this.#views) {
      if (nowMs - (this.#contacts.get(relay)?.heardMs ?? -Infinity) >= this.pace.relayTrustMs) continue
      for (const summary of view.items) this.#addRelayed(found, summary)
    }
    return [...found.values()]
  }

  /** A host that turns to another relay is in two lists for a while: the one that says that it leaves counts. */
  #addRelayed (found: Map<string, Member>, summary: HostSummary): void {
    const { host } = summary.address
    if (summary.hearsay || host === this.self) return
    const known = found.get(host)
    if (known === undefined) found.set(host, { summary })
    else if (known.direct === undefined && summary.leaving) known.summary = summary
  }

  /** Hosts that callers may be sent to. */
  ready (nowMs: number): Member[] {
    return this.live(nowMs).filter(({ summary }) => summary.ready && !summary.leaving)
  }

  /** Hosts that report to this one. */
  group (nowMs: number): HostReport[] {
    return [...this.#contacts.values()]
      .filter(({ reportsHere, heardMs }) => reportsHere && nowMs - heardMs < this.pace.silentMs)
      .map(({ report }) => report)
  }

  /** Hosts that were mentioned of late but not heard of. */
  mentioned (nowMs: number): HostAddress[] {
    const live = new Set(this.live(nowMs).map(({ summary }) => summary.address.host))
    return [...this.#traces.values()]
      .filter(({ address, mentionedMs }) => !live.has(address.host) && nowMs - mentionedMs < this.pace.relayTrustMs)
      .map(({ address }) => address)
  }

  /** Relays that fell silent: they may lead to hosts that this one lost sight of. */
  silentRelays (nowMs: number): HostAddress[] {
    const live = new Set(this.live(nowMs).map(({ summary }) => summary.address.host))
    return [...this.#traces.values()].filter(({ relay, address }) => relay && !live.has(address.host)).map(({ address }) => address)
  }

  /** Whether another host that stays was seen to start anew of late. */
  hasRestartedHost (nowMs: number): boolean {
    return this.ready(nowMs).some(({ summary }) => {
      const restartedMs = this.#traces.get(summary.address.host)?.restartedMs
      return restartedMs !== undefined && nowMs - restartedMs < RESTARTED_LATELY_MS
    })
  }

  /** Hosts that may use a part of what all share, this one included. */
  sharingCount (nowMs: number): number {
    this.live(nowMs)
    const others = [...this.#traces.values()].filter(({ upMs }) => upMs !== undefined && nowMs - upMs < COUNTED_MS)
    return others.length + 1
  }

  /** Forgets hosts that nobody spoke of for long. */
  sweep (nowMs: number): void {
    for (const [host, { upMs, mentionedMs }] of this.#traces) {
      if (nowMs - Math.max(upMs ?? -Infinity, mentionedMs) <= FORGET_MS) continue
      this.#traces.delete(host)
      this.#contacts.delete(host)
      this.#views.delete(host)
    }
  }

  #note (summary: HostSummary, nowMs: number): void {
    const { address, incarnation, relay } = summary
    const known = this.#traces.get(address.host)
    const restarted = known?.incarnation !== undefined && known.incarnation !== incarnation
    const restartedMs = restarted ? nowMs : known?.restartedMs
    this.#traces.set(address.host, { address, incarnation, upMs: nowMs, mentionedMs: nowMs, restartedMs, relay })
  }
}

/** Reports of one host cross: an answer to a call of this host, and a call of the other. */
function wasOvertaken (report: HostReport, heard: HostReport): boolean {
  return report.sender.incarnation === heard.sender.incarnation && report.number < heard.number
}
