/** What the code that serves requests uses from the rest of the gateway. */
import type { Clock, Logger } from '@figloom/runtime'
import type { RunnerGates } from '../gates/runner-gates.js'
import type { CrashMonitor } from '../crashes/crash-monitor.js'
import type { ConfigState } from '../config/config-state.js'
import type { Customer, Route, Service } from '../config/types.js'
import type { CallerCheck } from '../front/caller-check.js'
import type { LoopLag } from '../front/loop-lag.js'
import type { RunnerConnections } from '../forward/runner-connections.js'
import type { CallerFacts, RawHeaders, RequestCodec } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { LimitControl } from '../limits/limit-control.js'
import type { MemoryBudgets } from '../memory/memory-budgets.js'
import type { PassOnClient } from '../pass-on/pass-on-client.js'
import type { QuotaControl } from '../quota/quota-control.js'
import type { QuotaUse } from '../quota/quota-use.js'
import type { RunnerPaths } from '../paths/types.js'
import type { SharedBudget } from '../retry/shared-budget.js'
import type { RunnerTable } from '../runners/runner-table.js'
import type { OpenStreams } from '../streams/open-streams.js'
import type { StreamOrigins } from '../streams/stream-origins.js'
import type { VersionHistory } from '../streams/version-history.js'
import type { Waiting } from '../waiting/waiting.js'
import type { DemandMeter } from './demand-meter.js'
import type { RequestMetrics } from './metrics.js'
import type { OpenRequests } from './open-requests.js'
import type { RouteDurations } from './route-durations.js'

/** A request whose headers and body have been read and whose route is known. */
export type AcceptedRequest = {
  id: string
  method: string
  target: string
  headers: RawHeaders
  body: Buffer | undefined
  facts: CallerFacts
  /** Features by which it is recognized when it ends its runner. */
  featureIds: readonly string[]
  route: Route
  service: Service
  /** Whose key the caller showed when the request arrived; absent where no key is needed. */
  customer?: Customer
  /** Tokens that it has of its customer's quota; absent where there is none. */
  quotaUse?: QuotaUse
  arrivedMs: number
  /** Monotonic time by which the final answer is due. */
  dueMs: number
}

/** Has adapters loaded, by way of the host that holds the lease for orders. */
export abstract class AdapterLoader {
  /** Resolves true when the adapter is resident on the runner, false when it can't be loaded in time. */
  abstract ensure (runnerId: string, model: string, adapter: string, timeoutMs: number): Promise<boolean>
}

/** Estimates of when the loads in progress will end. */
export abstract class LoadForecast {
  /** Time until a model that is being loaded, at this version if one is given, is expected to be ready; undefined if no load of it is known. */
  abstract readyInMs (service: string, model: string, softwareVersion?: string): number | undefined
  /** Time until the first of the runners of a version can start another load; 0 if one can now. */
  abstract freeInMs (service: string, softwareVersion: string, runners: number): number
}

/** This host's own state and what it knows of the other hosts. */
export type HostView = {
  availabilityZone: string
  /** Number of hosts that may use the runners, including this one. */
  hostCount: () => number
  /** This host's name if its data on the other hosts' load came through relays and is stale; undefined if the data is fresh. */
  hostWithStaleLoads: () => string | undefined
  /** Age of this host's list of runners. */
  runnersAgeMs: () => number
  /** Whether a newer configuration would be known here; if not, a read of it is started. */
  isConfigFresh: () => boolean
  /** This host is shutting down; callers should move to other hosts. */
  isLeaving: () => boolean
  /** Time until this process ends, once it takes only requests that end before; undefined until then. */
  endsInMs: () => number | undefined
}

export type ServeContext = {
  clock: Clock
  instants: InstantSource
  log: Logger
  metrics: RequestMetrics
  codec: RequestCodec
  config: ConfigState
  runners: RunnerTable
  limits: LimitControl
  quotas: QuotaControl
  closures: RunnerGates
  crashes: CrashMonitor
  versions: VersionHistory
  origins: StreamOrigins
  openStreams: OpenStreams
  connections: RunnerConnections
  paths: RunnerPaths
  passOn: PassOnClient
  budget: SharedBudget
  /** Limits on what is kept in memory for all requests together. */
  memory: MemoryBudgets
  demand: DemandMeter
  durations: RouteDurations
  openRequests: OpenRequests
  adapters: AdapterLoader
  loads: LoadForecast
  waiting: Waiting
  /** Delay of this process's event loop. */
  lag: LoopLag
  callerCheck: CallerCheck
  host: HostView
  random: () => number
}
