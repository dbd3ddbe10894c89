/** Decoded form of the gateway configuration that operators publish. Durations are in milliseconds, memory is in MB. */

/** How often a request of a route may be executed, and how its answer is delivered. */
export const RouteKind = {
  /** May be executed more than once. */
  Idempotent: 'idempotent',
  /** Each request is executed at most once. */
  NonIdempotent: 'non-idempotent',
  /** Answers with a stream of events; each request is executed at most once unless the route is resumable. */
  Stream: 'stream'
} as const
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind]

/** A service that a route forwards to, and its share of the route's requests. */
export type WeightedService = { service: string, weight: number }

/** What a customer's quota counts. */
export const QuotaUnit = {
  Requests: 'requests',
  /** Prompt tokens and the maximum number of output tokens that a request states. */
  Tokens: 'tokens'
} as const
export type QuotaUnit = (typeof QuotaUnit)[keyof typeof QuotaUnit]

/** Limit on the requests of one customer at all hosts together. */
export type Quota = {
  unit: QuotaUnit
  /** Units a second. */
  ratePerS: number
  /** Units beyond the rate that may be used at once. */
  burst: number
  /** Tokens for which a request counts that states none. */
  defaultTokens: number
}

/** A customer, whose callers show one of its keys. */
export type Customer = {
  name: string
  /** 0 is the most urgent; goes before the priority of the route. Absent: the route's alone decides. */
  priority?: number
  /** Absent: no limit. */
  quota?: Quota
}

export type Route = {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Maximum time until the caller receives the final answer. */
  timeoutMs: number
  /** Target for the time to the first byte of the answer. */
  targetLatencyMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Never empty. */
  services: WeightedService[]
  /** Maximum number of runners that a request is sent to. */
  maxAttempts: number
  /** A broken stream may be resumed at another runner after its last event. */
  resumable: boolean
  /** Maximum pause between events of a stream that counts as on time. */
  maxPauseMs: number
  /** Callers need no key. */
  isPublic: boolean
}

/** A model in the weight store. */
export type ModelSpec = {
  name: string
  sizeMb: number
  /** Duration of a load from the weight store. */
  loadMs: number
  /** Duration of a load from the runner's own disk. */
  diskLoadMs: number
  /** Names of its adapters. */
  adapters: string[]
  adapterSizeMb: number
}

/** Properties shared by all runners of a service that serves models. */
export type EngineSpec = {
  /** Requests that one runner executes concurrently. */
  slots: number
  /** Number of tokens that fit into a runner's memory. */
  memoryTokens: number
  /** Memory of one runner for weights and adapters. */
  weightsMb: number
  adapterSlots: number
  /** Maximum rate at which all runners together start loads from the weight store. */
  loadsPerS: number
  models: Map<string, ModelSpec>
}

export type Service = {
  name: string
  /** Maximum number of connections that one runner accepts from all hosts together. */
  maxConnections: number
  /** Absent for services that serve no models. */
  engine?: EngineSpec
}

/** Limits on the size and duration of callers' requests. */
export type CallerLimits = {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

export type GatewayConfig = {
  /** Increases with every change, not always by one. */
  version: number
  routes: Route[]
  services: Map<string, Service>
  limits: CallerLimits
  /** Customers by the digest of each of their keys; absent if the configuration has no customers, and callers need no keys. */
  customersByKey?: ReadonlyMap<string, Customer>
}
