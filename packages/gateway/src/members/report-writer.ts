/** Builds the report that a host sends to another one, according to what the receiver needs. */
import type { Clock } from '@figloom/runtime'
import type { CrashUpdate } from '../crashes/types.js'
import type { Position } from '../eras/position.js'
import type { LeavingReport } from '../gates/types.js'
import type { LimitReport } from '../limits/types.js'
import type { RunnerListUpdate } from '../runners/types.js'
import type { ChangeList, ListVersion } from './change-list.js'
import { createHostList } from './host-list.js'
import type { Member, MemberTable } from './member-table.js'
import type { UsageAggregator } from './usage-aggregator.js'
import type { DemandRate, ExpectedLoad, HostAddress, HostReport, HostSummary, LeaseView } from './types.js'

/** This host's state that goes into its reports. */
export type ReportedState = {
  ready: boolean
  leaving: boolean
  relay: boolean
  /** This host doesn't reach the runners, though other hosts do. */
  cutOff: boolean
  configVersion: number
  configReadAgoMs: number | undefined
  /** Requests in flight by runner id. */
  runnerUses: Map<string, number>
  demand: DemandRate[]
  lease: LeaseView
  /** Loads in progress that the lease holder ordered, as far as this host knows. */
  expectedLoads: ExpectedLoad[]
  /** Runners' limits that this host knows. */
  limitReports: LimitReport[]
  /** The same for runners that bear only few rejected requests; absent if there are none. */
  rejectionLimitReports?: LimitReport[]
  /** Runners that recently announced that they leave. */
  leavingReports: LeavingReport[]
}

export type ReportWriterParts = {
  clock: Clock
  self: HostAddress
  /** Differs for every start of the process. */
  incarnation: string
  members: MemberTable
  usage: UsageAggregator
  state: () => ReportedState
  /** This host has all of the platform's runner records before this position. */
  runnersPosition: () => Position | undefined
  /** Update for a host that has the runner records before `position`. */
  runnersSince: (position: Position | undefined) => RunnerListUpdate | undefined
  crashes: CrashReporter
  /** Highest era of the platform's history that this host has heard of. */
  storeEra: () => number
}

/** Ends of runners and blocked prompt parts, for other hosts. */
export type CrashReporter = {
  /** What a host with this version of this host's records lacks. */
  update: (seen: ListVersion | undefined) => CrashUpdate | undefined
  /** The version of another host's records that this host has. */
  seenOf: (host: string) => ListVersion | undefined
}

/** Lists of one process; the incarnation is added to a list's id, so that lists of earlier incarnations differ. */
const ListName = { Group: 'group', All: 'all' } as const

export class ReportWriter {
  /** For other relays: the hosts that report here, and the relays that this host knows, marked as hearsay. */
  readonly #groupHosts: ChangeList<HostSummary>
  /** For hosts that report here: all hosts that are up. */
  readonly #allHosts: ChangeList<HostSummary>
  #number = 0

  private constructor (private readonly parts: ReportWriterParts) {
    this.#groupHosts = createHostList(`${parts.incarnation}/${ListName.Group}`)
    this.#allHosts = createHostList(`${parts.incarnation}/${ListName.All}`)
  }

  static create (parts: ReportWriterParts): ReportWriter {
    return new ReportWriter(parts)
  }

  /** @param peer the receiver; undefined if it isn't known yet */
  write (peer: HostSummary | undefined): HostReport {
    const { clock, members } = this.parts
    const state = this.parts.state()
    const nowMs = clock.monotonicMs()
    const live = members.live(nowMs)
    this.#number += 1
    const report = {
      sender: this.#summary(state),
      number: this.#number,
      configVersion: state.configVersion,
      configReadAgoMs: state.configReadAgoMs,
      lease: state.lease,
      sentAt: clock.now(),
      limitReports: state.limitReports,
      rejectionLimitReports: state.rejectionLimitReports,
      leavingReports: state.leavingReports,
      hostsSeen: peer === undefined ? undefined : members.hostsSeen(peer.address.host),
      storeEra: this.parts.storeEra(),
      crashes: this.parts.crashes.update(this.#lastReport(peer)?.crashesSeen),
      crashesSeen: peer === undefined ? undefined : this.parts.crashes.seenOf(peer.address.host)
    }
    if (!state.relay) return { ...report, runnersPosition: this.parts.runnersPosition(), ...this.#hostFields(state, peer) }
    return { ...report, ...(peer === undefined || peer.relay ? this.#groupFields(state, live, peer) : this.#allFields(state, live, peer)) }
  }

  #summary ({ ready, leaving, relay, cutOff, lease }: ReportedState): HostSummary {
    const { self, incarnation } = this.parts
    return { address: self, incarnation, ready, leaving, relay, holdsLease: lease.heldBySender, hearsay: false, cutOff }
  }

  /** What a host reports to its relay. Relays forward demand to the lease holder, which plans loads by it. */
  #hostFields ({ runnerUses, demand }: ReportedState, peer: HostSummary | undefined) {
    return { runnerUses, demand: peer?.relay === false ? [] : demand, expectedLoads: [], speaksForAll: false }
  }

  /** What a relay reports to another one. */
  #groupFields (state: ReportedState, live: readonly Member[], peer: HostSummary | undefined) {
    const { members, usage, clock } = this.parts
    const group = members.groupReports(clock.monotonicMs()).map(({ sender }) => sender)
    const relays = live.map(({ summary }) => summary).filter(({ relay, leaving }) => relay && !leaving)
    this.#groupHosts.update([...relays.map((summary) => ({ ...summary, hearsay: true })), ...group])
    return {
      runnerUses: usage.groupUses(state),
      demand: peer?.holdsLease === true ? usage.groupDemand(state) : [],
      expectedLoads: state.lease.heldBySender ? state.expectedLoads : [],
      speaksForAll: false,
      hosts: this.#groupHosts.changesSince(this.#lastReport(peer)?.hostsSeen)
    }
  }

  /** What a relay reports to a host that reports to it. */
  #allFields (state: ReportedState, live: readonly Member[], peer: HostSummary) {
    const { usage, runnersSince } = this.parts
    const { host } = peer.address
    const last = this.#lastReport(peer)
    this.#allHosts.update(live.map(({ summary }) => summary))
    return {
      runnerUses: usage.usesExcept(host, state),
      demand: [],
      expectedLoads: state.expectedLoads,
      speaksForAll: true,
      hosts: this.#allHosts.changesSince(last?.hostsSeen),
      runners: runnersSince(last?.runnersPosition)
    }
  }

  #lastReport (peer: HostSummary | undefined): HostReport | undefined {
    return peer === undefined ? undefined : this.parts.members.lastReport(peer.address.host)
  }
}
