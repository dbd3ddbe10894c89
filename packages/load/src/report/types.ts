/** Quantiles of a duration in milliseconds. */
export type Quantiles = { count: number, p50Ms: number, p95Ms: number, p99Ms: number, maxMs: number }

/** Results of the requests of one route. */
export type RouteReport = {
  name: string
  sent: number
  /** Answers that were complete and the expected ones. */
  answered: number
  /** Answers that met the route's latency targets. */
  withinTarget: number
  /** `withinTarget` as a share of `sent`. */
  attainmentRatio: number
  /** Number of errors that figloom generated, by `CODE type ran=…`. */
  refusals: Record<string, number>
  /** Number of other failures, by reason. */
  failures: Record<string, number>
  partial: number
  foreign: number
  /** Requests that were sent to a second host. */
  movedOn: number
  /** Answers that were replayed from an earlier call with the same key. */
  replayed: number
  firstToken: Quantiles
  betweenTokens: Quantiles
  /** Time from the planned arrival to the end of the answer. */
  answer: Quantiles
}

/** Runs of calls with a key, as counted by the service stand-ins. */
export type RunsReport = {
  /** Keys that ran more than once. */
  ranTwice: number
  /** Keys that ran although every answer stated that the call did not run. */
  ranThoughRefused: number
}

/** Operations that the engine stand-ins carried out during the load. */
export type EngineOperationsReport = { loads: number, unloads: number, roleChanges: number, adapterLoads: number, adapterUnloads: number, overcommits: number, startedTwice: number }

/** Report of a load. */
export type LoadReport = {
  seed: number
  /** Time from the start of the load to the last answer. */
  elapsedMs: number
  planned: number
  /** Arrivals dropped because `concurrency` requests were in flight. */
  notSent: number
  requestsPerSecond: number
  lookups: { asked: number, failed: number, remoteAddresses: number }
  total: RouteReport
  routes: RouteReport[]
  /** Absent if the statistics of no service stand-in could be read. */
  runs?: RunsReport
  /** Absent if the statistics of no engine stand-in could be read. */
  moves?: EngineOperationsReport
  /** URLs of stand-ins whose statistics could not be read; the counts don't include them. */
  unreadStats: string[]
}
