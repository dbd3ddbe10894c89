/** What a host knows of the other hosts and of backend servers. Times are monotonic, in milliseconds. */

/** State of a host as this host sees it. */
export const Liveness = {
  /** Heard within the suspicion time. */
  Live: 'live',
  /** Listed, never heard: outside this host's cells. */
  Listed: 'listed',
  /** Silent for longer than the suspicion time. */
  Suspect: 'suspect',
  /** Silent for longer than the removal time. */
  Dead: 'dead'
} as const
export type Liveness = (typeof Liveness)[keyof typeof Liveness]

/** Load of one runner as a peer has seen it. */
export type PeerRunnerLoad = {
  runner: string
  running: number
  queued: number
  kvUsedMib: number
  inFlightFromSender: number
  reportAgeMs?: number | undefined
  healthy: boolean
}

/** An operator's word on a runner, passed on by every host that heard it. The highest version counts, then `by`. */
export type RunnerDrain = { runner: string, draining: boolean, version: number, by: string }

/** What peers exchange; the fields of the inner protocol's PeerState that membership reads. */
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

/** A host as far as this host knows it. */
export type HostRecord = {
  host: string
  availabilityZone: string
  url: string
  innerUrl: string
  /** Empty until the host was heard. */
  incarnation: string
  /** By its own word; stands for as long as the process runs. */
  leaving: boolean
  /** By the last host list, which may still mean an earlier process. */
  listedLeaving: boolean
  configVersion: number
  cells: string[]
  release: string
  /** In the last host list that was read. */
  listed: boolean
  /** Last message of its own; undefined if it was never heard. */
  heardMs?: number
  /** First failed exchange since it was last heard. */
  missedSinceMs?: number
}

/** A runner's load with the time of the report that it rests on. */
export type RunnerLoadRecord = PeerRunnerLoad & { from: string, heardMs: number }

/** All that membership holds; changed only by the functions of membership-state. */
export type MembershipState = {
  self: PeerReport
  hosts: Map<string, HostRecord>
  /** Loads by runner, then by the host that sent them. */
  loads: Map<string, Map<string, RunnerLoadRecord>>
  /** Last word on each runner that was ever drained. */
  drains: Map<string, RunnerDrain>
  listReadMs?: number
  logAnsweredMs?: number
}

/** Times of membership, in milliseconds. */
export type MembershipTimes = {
  heartbeatMs: number
  /** Silence after which a host gets no new work. */
  suspectMs: number
  /** Silence after which a host is forgotten, unless it is listed. */
  removeMs: number
  /** Least time between two reads of the host list. */
  listMs: number
  /** Time between two reads for each host listed, so that long lists cost no more bytes a second. */
  listPerHostMs: number
  /** Silence of the log after which it counts as unreachable. */
  logSilentMs: number
}

export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  heartbeatMs: 1000,
  suspectMs: 3500,
  removeMs: 30_000,
  listMs: 2000,
  listPerHostMs: 75,
  logSilentMs: 15_000
}

/** A host in a view; `leaving` by its own word or by the list. */
export type HostView = HostRecord & { liveness: Liveness, self: boolean }

/** What this host knows at one moment. */
export type MembershipView = {
  self: string
  atMs: number
  hosts: HostView[]
  /** Whether the log answered lately. */
  logReachable: boolean
  /** Whether any peer was heard within the suspicion time, or there is none to hear. */
  peersReachable: boolean
  selfLeaving: boolean
}
