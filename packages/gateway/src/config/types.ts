/** Configuration of a gateway as operators publish it, decoded. Durations are milliseconds, memory is in MB. */

/** How often a request of a route may run, and how its answer arrives. */
export const RouteKind = {
  /** May run more than once. */
  Idempotent: 'idempotent',
  /** Runs at most once for each request. */
  NonIdempotent: 'non-idempotent',
  /** Answers with a series of events; runs at most once unless the route is resumable. */
  Stream: 'stream'
} as const
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind]

/** One service that a route leads to, with its share of the requests. */
export type WeightedService = { service: string, weight: number }

export type Route = {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Longest time that a caller is kept waiting for the final answer. */
  timeoutMs: number
  /** Time to the first byte that callers are promised. */
  targetLatencyMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Never empty. */
  services: WeightedService[]
  /** Most runners that one request may run on. */
  maxAttempts: number
  /** A broken stream may go on at another runner behind its last event. */
  resumable: boolean
  /** Longest pause between events for which a stream counts as on time. */
  maxPauseMs: number
}

/** A model as the weight store offers it. */
export type ModelSpec = {
  name: string
  sizeMb: number
  /** Time of a load from the weight store. */
  loadMs: number
  /** Time of a load from the runner's own disk. */
  diskLoadMs: number
  /** Names of its adapters. */
  adapters: string[]
  adapterSizeMb: number
}

/** What all runners of a service that serves models have in common. */
export type EngineSpec = {
  /** Requests that one runner works on at once. */
  slots: number
  /** Tokens that a runner's memory holds. */
  memoryTokens: number
  /** Room of one runner for weights and adapters. */
  weightsMb: number
  adapterSlots: number
  /** Loads from the weight store that all runners together may start. */
  loadsPerS: number
  models: Map<string, ModelSpec>
}

export type Service = {
  name: string
  /** Connections that one runner accepts from all hosts together. */
  maxConnections: number
  /** Absent for services that serve no models. */
  engine?: EngineSpec
}

/** What a caller may send and how long it may take. */
export type CallerLimits = {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

export type GatewayConfig = {
  /** Grows with every change, not always by one. */
  version: number
  routes: Route[]
  services: Map<string, Service>
  limits: CallerLimits
}
