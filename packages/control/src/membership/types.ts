/** What a host knows of other hosts and of runners. Times are monotonic, in milliseconds. */

/** State of a host as observed by this host. */
export const Liveness = {
  /** A report was received within the suspect timeout. */
  Live: 'live',
  /** In the host list, without a report yet; for example a host that shares no cell with this one. */
  Listed: 'listed',
  /** No report within the suspect timeout. */
  Suspect: 'suspect',
  /** No report within the removal timeout. */
  Dead: 'dead'
} as const
export type Liveness = (typeof Liveness)[keyof typeof Liveness]

/** Load of a runner as observed by a peer. */
export type PeerRunnerLoad = {
  runner: string
  running: number
  queued: number
  kvUsedMib: number
  inFlightFromSender: number
  reportAgeMs?: number | undefined
  healthy: boolean
}

/** Whether an operator drains a runner; every host forwards what it received. The highest version wins, then the highest `by`. */
export type RunnerDrain = { runner: string, draining: boolean, version: number, by: string }

/** Report that peers exchange: the fields of the inner protocol's PeerState that membership uses. */
export type PeerReport = {
  host: string
  availabilityZone: string
  url: string
  innerUrl: string
  incarnation: string
  leaving: boolean
  configVersion: number
  runners: PeerRunnerLoad[]
  drains: RunnerDrain[]
  cells: string[]
  release: string
}

/** What this host knows of another host. */
export type HostRecord = {
  host: string
  availabilityZone: string
  url: string
  innerUrl: string
  /** Empty until a report is received. */
  incarnation: string
  /** Reported by the host itself; remains set for this incarnation. */
  leaving: boolean
  /** According to the last host list, which may still describe an earlier process of the host. */
  listedLeaving: boolean
  configVersion: number
  cells: string[]
  release: string
  /** Whether the last host list contains it. */
  listed: boolean
  /** Time of its last report; undefined without one. */
  lastReportMs?: number
  /** Time of the first failed exchange since its last report. */
  exchangeFailingSinceMs?: number
}

/** Load of a runner with the host that reported it and the time the report was received. */
export type RunnerLoadRecord = PeerRunnerLoad & { from: string, receivedMs: number }

/** State of membership; only the functions in membership-state change it. */
export type MembershipState = {
  self: PeerReport
  hosts: Map<string, HostRecord>
  /** Loads by runner, then by the host that reported them. */
  loads: Map<string, Map<string, RunnerLoadRecord>>
  /** Latest drain of each runner, ended ones included. */
  drains: Map<string, RunnerDrain>
  listReadMs?: number
  logAnsweredMs?: number
}

/** Intervals and timeouts of membership, in milliseconds. */
export type MembershipTimes = {
  heartbeatMs: number
  /** Suspect timeout: time without a report after which a host gets no new work. */
  suspectAfterMs: number
  /** Removal timeout: time without a report after which a host is removed, unless it is listed. */
  removeAfterMs: number
  /** Shortest interval between two reads of the host list. */
  minListIntervalMs: number
  /** Interval between two reads per known host, so that the traffic for long lists is bounded. */
  listIntervalPerHostMs: number
  /** Time without an answer of the log after which it counts as unreachable. */
  logUnreachableAfterMs: number
}

export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  heartbeatMs: 1000,
  suspectAfterMs: 3500,
  removeAfterMs: 30_000,
  minListIntervalMs: 2000,
  listIntervalPerHostMs: 75,
  logUnreachableAfterMs: 15_000
}

/** A host in a view; `leaving` is set if the host itself or the list reports it. */
export type HostView = HostRecord & { liveness: Liveness, self: boolean }

/** What this host knows at one point in time. */
export type MembershipView = {
  self: string
  atMs: number
  hosts: HostView[]
  /** Whether the log answered within `logUnreachableAfterMs`. */
  logReachable: boolean
  /** Whether any peer is live, or there are no peers. */
  peersReachable: boolean
  selfLeaving: boolean
}
