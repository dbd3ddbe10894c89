/** The other hosts, by their last word and its age. Pure state. */
import type { HostAddress, HostReport } from './types.js'

/** A host is left out of lookups when it was silent for this long. */
export const SILENT_MS = 1_300
/** A silent host counts for shared limits for this long, since it may still use its share. */
const COUNTED_MS = 15_000
/** Hosts that are stopped in turn are through with it within about this time. */
const RESTARTED_LATELY_MS = 60_000
/** A silent host is forgotten after this time. */
const FORGET_MS = 60_000

export type Member = {
  address: HostAddress
  report?: HostReport
  heardMs: number
  /** When it was first heard in a new incarnation; absent if it has had one only. */
  restartedMs?: number
}

export class MemberTable {
  readonly #members = new Map<string, Member>()

  private constructor (private readonly self: string) {}

  static create (self: string): MemberTable {
    return new MemberTable(self)
  }

  /** Notes a host that somebody mentioned, so that it is contacted. */
  mention (address: HostAddress, nowMs: number): void {
    if (address.host === this.self || this.#members.has(address.host)) return
    this.#members.set(address.host, { address, heardMs: nowMs - COUNTED_MS })
  }

  /** Takes over what a host said of itself. */
  hear (report: HostReport, nowMs: number): void {
    if (report.address.host === this.self) return
    const known = this.#members.get(report.address.host)
    const restarted = known?.report !== undefined && known.report.incarnation !== report.incarnation
    const restartedMs = restarted ? nowMs : known?.restartedMs
    this.#members.set(report.address.host, { address: report.address, report, heardMs: nowMs, restartedMs })
    for (const address of report.knownHosts) this.mention(address, nowMs)
  }

  /** Every host that is worth contacting. */
  all (): Member[] {
    return [...this.#members.values()]
  }

  get (host: string): Member | undefined {
    return this.#members.get(host)
  }

  /** Hosts heard of late. */
  live (nowMs: number): Member[] {
    return this.all().filter((member) => member.report !== undefined && nowMs - member.heardMs < SILENT_MS)
  }

  /** Hosts that callers may be sent to. */
  ready (nowMs: number): Member[] {
    return this.live(nowMs).filter(({ report }) => report?.ready === true && !report.leaving)
  }

  /** Whether another host that stays was seen to start anew of late. */
  hasRestartedHost (nowMs: number): boolean {
    return this.ready(nowMs).some(({ restartedMs }) => restartedMs !== undefined && nowMs - restartedMs < RESTARTED_LATELY_MS)
  }

  /** Hosts that may use a part of what all share, this one included. */
  sharingCount (nowMs: number): number {
    const others = this.all().filter(({ heardMs, report }) => report !== undefined && nowMs - heardMs < COUNTED_MS)
    return others.length + 1
  }

  /** Forgets hosts that were silent for long; gives their names. */
  sweep (nowMs: number): string[] {
    const gone = this.all().filter(({ heardMs }) => nowMs - heardMs > FORGET_MS)
    for (const { address } of gone) this.#members.delete(address.host)
    return gone.map(({ address }) => address.host)
  }
}
