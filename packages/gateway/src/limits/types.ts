/** Limits that runners name on the requests a second that they take from all hosts together. */

/** A runner's word on its limit, as one of its answers gave it to one host. Times are ages in milliseconds. */
export type LimitReport = {
  runnerId: string
  /** Unix time of the runner's start; absent where the runner doesn't say. A word doesn't outlive its process. */
  startedUnixMs?: number
  /** Incarnation of the host that got the answer. */
  origin: string
  /** Grows with each word that the origin heard. */
  number: number
  /** Absent: the runner named no limit, where it had named one before. */
  requestsPerS?: number
  /** Age of the request that was answered: the word isn't older. */
  askedAgoMs: number
  /** Age of the answer: the word isn't younger. */
  heardAgoMs: number
}

/** The limit that holds at a runner by what this host knows. */
export type RunnerLimit = {
  requestsPerS: number
  /** Incarnation of the host to which the runner said so last. */
  origin: string
  heardAgoMs: number
}

/** One start of a runner. */
export type RunnerProcess = { id: string, startedUnixMs?: number }

/** Leave to write one request to a runner with a limit. */
export type Permit = {
  runnerId: string
  /** It is void behind this time, in milliseconds of the instants. */
  untilMs: number
}

/** A host's wish for permits, sent to the host that shares out the runner's limit. */
export type PermitRequest = {
  host: string
  runner: RunnerProcess
  wanted: number
  /** Requests that the host sent to the runner within the last window without permits. */
  unpermitted: number
  limitReports: LimitReport[]
}

export type PermitReply = {
  granted: number
  /** Until it is worth while to ask again; 0 where all were granted. */
  retryAfterMs: number
  limitReports: LimitReport[]
}

/** Requests of this span are counted together where a limit is shared out. */
export const LIMIT_WINDOW_MS = 4_000
