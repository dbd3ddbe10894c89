/** Changes of membership by list, messages and silence; no input or output of its own. */
import type { ListedHost } from '@figloom/clients'
import {
  Liveness,
  type HostRecord, type HostView, type MembershipState, type MembershipTimes, type MembershipView, type PeerReport, type RunnerDrain
} from './types.js'

/** State of a host that has heard nothing yet. */
export function createMembershipState (self: PeerReport): MembershipState {
  return { self, hosts: new Map(), loads: new Map(), drains: new Map() }
}

/** Takes the host list in: a hint for hosts that were never heard, and for leaving ones. */
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
  if (known?.heardMs !== undefined) {
    known.listedLeaving = listedLeaving
    return
  }
  const { name: host, availabilityZone, url, innerUrl } = listed
  state.hosts.set(host, { ...known, ...unheard, host, availabilityZone, url, innerUrl, listedLeaving, listed: true })
}

const unheard = { leaving: false, incarnation: '', configVersion: 0, cells: [], release: '' }

/**
 * Takes a peer's message in. A message of an older incarnation is dropped while the newer one is heard, so that a late
 * one does not bring a process back.
 */
export function applyPeerReport (state: MembershipState, report: PeerReport, nowMs: number, times: MembershipTimes): boolean {
  if (report.host === state.self.host) return false
  const known = state.hosts.get(report.host)
  if (known !== undefined && isOutdated(known, report, nowMs, times)) return false
  const sameProcess = known?.incarnation === report.incarnation
  const { host, availabilityZone, url, innerUrl, incarnation, configVersion, cells, release } = report
  const leaving = report.leaving || (sameProcess && known.leaving)
  const ofList = { listed: known?.listed ?? false, listedLeaving: known?.listedLeaving ?? false }
  const said = { host, availabilityZone, url, innerUrl, incarnation, configVersion, cells, release, leaving }
  state.hosts.set(host, { ...said, ...ofList, heardMs: nowMs })
  applyLoads(state, report, nowMs)
  for (const drain of report.drains) applyDrain(state, drain)
  return true
}

function isOutdated (known: HostRecord, report: PeerReport, nowMs: number, times: MembershipTimes): boolean {
  if (known.heardMs === undefined || report.incarnation >= known.incarnation) return false
  return nowMs - known.heardMs < times.suspectMs
}

function applyLoads (state: MembershipState, report: PeerReport, nowMs: number): void {
  for (const load of report.runners) {
    const byHost = state.loads.get(load.runner) ?? new Map()
    byHost.set(report.host, { ...load, from: report.host, heardMs: nowMs })
    state.loads.set(load.runner, byHost)
  }
}

function applyDrain (state: MembershipState, drain: RunnerDrain): void {
  const known = state.drains.get(drain.runner)
  const newer = known === undefined || drain.version > known.version || (drain.version === known.version && drain.by > known.by)
  if (newer) state.drains.set(drain.runner, drain)
}

/** Drains a runner, or takes that back, by an operator's order at this host. */
export function setDraining (state: MembershipState, runner: string, draining: boolean): void {
  const version = (state.drains.get(runner)?.version ?? 0) + 1
  applyDrain(state, { runner, draining, version, by: state.self.host })
}

/** Whether a runner is being drained. */
export function isDraining (state: MembershipState, runner: string): boolean {
  return state.drains.get(runner)?.draining ?? false
}

/** Notes that an exchange with a host failed. */
export function applyMissed (state: MembershipState, host: string, nowMs: number): void {
  const record = state.hosts.get(host)
  if (record !== undefined) record.missedSinceMs ??= nowMs
}

/** Forgets hosts that are neither listed nor heard for long, and what they said. */
export function forgetDead (state: MembershipState, nowMs: number, times: MembershipTimes): void {
  for (const record of [...state.hosts.values()]) {
    const silentMs = nowMs - (record.heardMs ?? -Infinity)
    if (silentMs < times.removeMs) continue
    for (const byHost of state.loads.values()) byHost.delete(record.host)
    if (!record.listed) state.hosts.delete(record.host)
  }
  for (const [runner, byHost] of state.loads) if (byHost.size === 0) state.loads.delete(runner)
}

/** Liveness of a host by its silence; the list only speaks for hosts that were never tried. */
export function livenessOf (record: HostRecord, nowMs: number, times: MembershipTimes): Liveness {
  if (record.heardMs === undefined) {
    if (record.missedSinceMs === undefined) return Liveness.Listed
    return nowMs - record.missedSinceMs < times.suspectMs ? Liveness.Listed : Liveness.Suspect
  }
  const silentMs = nowMs - record.heardMs
  if (silentMs < times.suspectMs) return Liveness.Live
  return silentMs < times.removeMs ? Liveness.Suspect : Liveness.Dead
}

/** What is known at one moment, this host included. */
export function viewAt (state: MembershipState, nowMs: number, times: MembershipTimes): MembershipView {
  const peers = [...state.hosts.values()].map((record) => toHostView(record, nowMs, times))
  const { drains, runners, ...self } = state.self
  const own: HostView = { ...self, listed: true, listedLeaving: false, heardMs: nowMs, liveness: Liveness.Live, self: true }
  const heard = peers.filter(({ heardMs }) => heardMs !== undefined)
  return {
    self: self.host,
    atMs: nowMs,
    hosts: [own, ...peers],
    logReachable: state.logAnsweredMs !== undefined && nowMs - state.logAnsweredMs < times.logSilentMs,
    peersReachable: peers.length === 0 || heard.some(({ liveness }) => liveness === Liveness.Live),
    selfLeaving: self.leaving
  }
}

/** Views given before: with a thousand hosts, making each anew for every view would cost milliseconds. */
const hostViews = new WeakMap<HostRecord, HostView>()

function toHostView (record: HostRecord, nowMs: number, times: MembershipTimes): HostView {
  const leaving = record.leaving || record.listedLeaving
  const liveness = livenessOf(record, nowMs, times)
  const known = hostViews.get(record)
  if (known !== undefined && known.leaving === leaving && known.liveness === liveness && sameSigns(known, record)) return known
  const view = { ...record, leaving, liveness, self: false }
  hostViews.set(record, view)
  return view
}

/** Compares the fields that change in a record; all others come with a new one. */
function sameSigns (view: HostView, record: HostRecord): boolean {
  return view.listed === record.listed && view.listedLeaving === record.listedLeaving && view.missedSinceMs === record.missedSinceMs
}
