/** Quantiles of a duration in milliseconds. */
export type Quantiles = { count: number, p50Ms: number, p95Ms: number, p99Ms: number, maxMs: number }

/** What became of the requests of one route. */
export type RouteReport = {
  name: string
  sent: number
  /** Whole and own answers. */
  answered: number
  /** Answers within the route's targets. */
  withinTarget: number
  /** `withinTarget` as a share of `sent`. */
  attainmentRatio: number
  /** Errors of figloom's own by `CODE type ran=…`. */
  refusals: Record<string, number>
  /** Other failures by reason. */
  failures: Record<string, number>
  partial: number
  foreign: number
  /** Requests that a second host got. */
  movedOn: number
  /** Answers given from an earlier call with the same key. */
  replayed: number
  firstToken: Quantiles
  betweenTokens: Quantiles
  /** From the planned arrival to the end of the answer. */
  answer: Quantiles
}

/** Runs as the service stand-ins counted them. */
export type RunsReport = {
  /** Keys that ran more than once. */
  ranTwice: number
  /** Keys that ran although every answer said that they did not. */
  ranThoughRefused: number
}

/** What the engine stand-ins did meanwhile. */
export type MovesReport = { loads: number, unloads: number, roleChanges: number, adapterLoads: number, adapterUnloads: number, overcommits: number, startedTwice: number }

/** Report of a load. */
export type LoadReport = {
  seed: number
  /** From the first arrival to the last answer. */
  elapsedMs: number
  planned: number
  /** Arrivals dropped because `concurrency` requests were in flight. */
  notSent: number
  requestsPerSecond: number
  lookups: { asked: number, failed: number, remoteAddresses: number }
  total: RouteReport
  routes: RouteReport[]
  /** Absent if no service stand-in was named. */
  runs?: RunsReport
  /** Absent if no engine stand-in was named. */
  moves?: MovesReport
  /** Stand-ins whose figures could not be read; the counts lack them. */
  unreadStats: string[]
}
