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
