/** Changes of the membership state by the host list, by peers' reports and by missing reports. Does no I/O. */
import type { ListedHost } from '@figloom/clients'
import {
  Liveness,
  type HostRecord, type HostView, type MembershipState, type MembershipTimes, type MembershipView, type PeerReport, type RunnerDrain
} from './types.js'

/** Initial state, before any list or report was received. */
export function createMembershipState (self: PeerReport): MembershipState {
  return { self, hosts: new Map(), loads: new Map(), drains: new Map() }
}

/** Applies the host list. It decides the addresses of hosts that sent no report yet, and which hosts are listed or leaving. */
export function applyHostList (state: MembershipState, list: readonly ListedHost[], nowMs: number): void {
  state.listReadMs = nowMs
  const names = new Set(list.map(({ name }) => name))
  for (const record of state.hosts.values()) {
    record.listed = names.has(record.host)
    record.listedLeaving &&= record.listed
  }
  for (const listed of list) if (listed.name !== state.self.host) applyListed(state, listed)
}

function applyListed (state: MembershipState, listed: ListedHost): void {
  const known = state.hosts.get(listed.name)
  const listedLeaving = listed.state === 'leaving'
  if (known?.lastReportMs !== undefined) {
    known.listedLeaving = listedLeaving
    return
  }
  const { name: host, availabilityZone, url, innerUrl } = listed
  state.hosts.set(host, { ...known, ...fieldsBeforeFirstReport, host, availabilityZone, url, innerUrl, listedLeaving, listed: true })
}

const fieldsBeforeFirstReport = { leaving: false, incarnation: '', configVersion: 0, cells: [], release: '' }

/**
 * Applies a peer's report; returns whether it was used. While a newer incarnation is live, a report of an older one is
 * dropped, so that a delayed report does not revive an ended process.
 */
export function applyPeerReport (state: MembershipState, report: PeerReport, nowMs: number, times: MembershipTimes): boolean {
  if (report.host === state.self.host) return false
  const known = state.hosts.get(report.host)
  if (known !== undefined && isOutdated(known, report, nowMs, times)) return false
  const sameProcess = known?.incarnation === report.incarnation
  const { host, availabilityZone, url, innerUrl, incarnation, configVersion, cells, release } = report
  const leaving = report.leaving || (sameProcess && known.leaving)
  const listFields = { listed: known?.listed ?? false, listedLeaving: known?.listedLeaving ?? false }
  const reportedFields = { host, availabilityZone, url, innerUrl, incarnation, configVersion, cells, release, leaving }
  state.hosts.set(host, { ...reportedFields, ...listFields, lastReportMs: nowMs })
  applyLoads(state, report, nowMs)
  for (const drain of report.drains) applyDrain(state, drain)
  return true
}

function isOutdated (known: HostRecord, report: PeerReport, nowMs: number, times: MembershipTimes): boolean {
  if (known.lastReportMs === undefined || report.incarnation >= known.incarnation) return false
  return nowMs - known.lastReportMs < times.suspectAfterMs
}

function applyLoads (state: MembershipState, report: PeerReport, nowMs: number): void {
  for (const load of report.runners) {
    const byHost = state.loads.get(load.runner) ?? new Map()
    byHost.set(report.host, { ...load, from: report.host, receivedMs: nowMs })
    state.loads.set(load.runner, byHost)
  }
}

function applyDrain (state: MembershipState, drain: RunnerDrain): void {
  const known = state.drains.get(drain.runner)
  const newer = known === undefined || drain.version > known.version || (drain.version === known.version && drain.by > known.by)
  if (newer) state.drains.set(drain.runner, drain)
}

/** Starts or ends the drain of a runner, as an operator requested at this host. */
export function setDraining (state: MembershipState, runner: string, draining: boolean): void {
  const version = (state.drains.get(runner)?.version ?? 0) + 1
  applyDrain(state, { runner, draining, version, by: state.self.host })
}

/** Whether a runner is being drained. */
export function isDraining (state: MembershipState, runner: string): boolean {
  return state.drains.get(runner)?.draining ?? false
}

/** Records that an exchange with a host failed. */
export function applyFailedExchange (state: MembershipState, host: string, nowMs: number): void {
  const record = state.hosts.get(host)
  if (record !== undefined) record.exchangeFailingSinceMs ??= nowMs
}

/** After the removal timeout, removes a host's runner loads, and the host itself unless it is listed. */
export function removeDeadHosts (state: MembershipState, nowMs: number, times: MembershipTimes): void {
  for (const record of [...state.hosts.values()]) {
    const sinceReportMs = nowMs - (record.lastReportMs ?? -Infinity)
    if (sinceReportMs < times.removeAfterMs) continue
    for (const byHost of state.loads.values()) byHost.delete(record.host)
    if (!record.listed) state.hosts.delete(record.host)
  }
  for (const [runner, byHost] of state.loads) if (byHost.size === 0) state.loads.delete(runner)
}

/** Liveness of a host by the age of its last report; without any report, by the list and by failed exchanges. */
export function livenessOf (record: HostRecord, nowMs: number, times: MembershipTimes): Liveness {
  if (record.lastReportMs === undefined) {
    if (record.exchangeFailingSinceMs === undefined) return Liveness.Listed
    return nowMs - record.exchangeFailingSinceMs < times.suspectAfterMs ? Liveness.Listed : Liveness.Suspect
  }
  const sinceReportMs = nowMs - record.lastReportMs
  if (sinceReportMs < times.suspectAfterMs) return Liveness.Live
  return sinceReportMs < times.removeAfterMs ? Liveness.Suspect : Liveness.Dead
}

/** View of the state at one time, this host included. */
export function viewAt (state: MembershipState, nowMs: number, times: MembershipTimes): MembershipView {
  const peers = [...state.hosts.values()].map((record) => toHostView(record, nowMs, times))
  const { drains, runners, ...self } = state.self
  const own: HostView = { ...self, listed: true, listedLeaving: false, lastReportMs: nowMs, liveness: Liveness.Live, self: true }
  const reporting = peers.filter(({ lastReportMs }) => lastReportMs !== undefined)
  return {
    self: self.host,
    atMs: nowMs,
    hosts: [own, ...peers],
    logReachable: state.logAnsweredMs !== undefined && nowMs - state.logAnsweredMs < times.logUnreachableAfterMs,
    peersReachable: peers.length === 0 || reporting.some(({ liveness }) => liveness === Liveness.Live),
    selfLeaving: self.leaving
  }
}

/** Unchanged host views are reused: with a thousand hosts, creating all of them for every view would take milliseconds. */
const cachedViews = new WeakMap<HostRecord, HostView>()

function toHostView (record: HostRecord, nowMs: number, times: MembershipTimes): HostView {
  const leaving = record.leaving || record.listedLeaving
  const liveness = livenessOf(record, nowMs, times)
  const known = cachedViews.get(record)
  if (known !== undefined && known.leaving === leaving && known.liveness === liveness && sameMutableFields(known, record)) return known
  const view = { ...record, leaving, liveness, self: false }
  cachedViews.set(record, view)
  return view
}

/** Compares the fields that are changed within a record; a change of any other field replaces the record. */
function sameMutableFields (view: HostView, record: HostRecord): boolean {
  return view.listed === record.listed && view.listedLeaving === record.listedLeaving && view.exchangeFailingSinceMs === record.exchangeFailingSinceMs
}
