/**
 * Limits that runners set on the rate of requests from all hosts together, or on the rate of requests that they reject, and the
 * permits under which hosts share them.
 */

/**
 * The limit in one answer of a runner, as observed by the host that received it. In a list of rejection limits the rate is that
 * of requests that the runner rejects. Times are ages in milliseconds.
 */
export type LimitReport = {
  runnerId: string
  /** Unix time of the runner's start; absent if the runner doesn't state it. A limit applies to this process only. */
  startedUnixMs?: number
  /** Incarnation of the host that received the answer. */
  origin: string
  /** Grows with each observation of the origin. */
  number: number
  /** Absent if the answer named no limit, after an earlier one that did. */
  requestsPerS?: number
  /** Age of the answered request: the runner can't have named the limit earlier. */
  askedAgoMs: number
  /** Age of the answer: the runner can't have named the limit later. */
  heardAgoMs: number
}

/** The limit in force at a runner, as this host estimates it. */
export type RunnerLimit = {
  requestsPerS: number
  /** Incarnation of the host that last received an answer with this limit. */
  origin: string
  receivedAgoMs: number
}

/** One process of a runner. */
export type RunnerProcess = { id: string, startedUnixMs?: number }

/** Permission to write one request to a runner with a limit. */
export type Permit = {
  runnerId: string
  /** When it expires, in milliseconds of a clock that also counts suspensions. */
  validUntilMs: number
}

/** A host's request for permits, sent to the host that allocates them for the runner. */
export type PermitRequest = {
  host: string
  runner: RunnerProcess
  wanted: number
  /** Requests that the host sent to the runner within the last window without permits. */
  unpermitted: number
  limitReports: LimitReport[]
  /** Absent if there are none. */
  rejectionLimitReports?: LimitReport[]
  /** Absent if the host is of an earlier release. */
  use?: RunnerUse
}

/** What one host has at a runner, as it states with each request for permits. */
export type RunnerUse = {
  /** Incarnation of the host. */
  incarnation: string
  /** Grows with each request for permits: one that arrives late is ignored. */
  number: number
  /** Requests at the runner, those included that are about to be written. */
  inFlight: number
  /** Requests that the runner rejected since the last answered request for permits. */
  rejected: number
}

/** What a host knows of a runner's load. */
export type RunnerLoad = {
  service: string
  slots: number
  /** Requests of this host. */
  ownInFlight: number
  /** Requests of all hosts, as far as their reports tell. */
  totalInFlight: number
}

export type PermitReply = {
  granted: number
  /** Delay before the next request for permits; 0 if all were granted. */
  retryAfterMs: number
  limitReports: LimitReport[]
  /** Absent if there are none. */
  rejectionLimitReports?: LimitReport[]
}

/** The decision on a request for permits. */
export type Grant = Pick<PermitReply, 'granted' | 'retryAfterMs'>

/** Length of the sliding window over which a limit is enforced. */
export const LIMIT_WINDOW_MS = 4_000
