/** What serving a request needs of the rest of the gateway. */
import type { Clock, Logger } from '@figloom/runtime'
import type { RunnerClosures } from '../closures/runner-closures.js'
import type { ConfigState } from '../config/config-state.js'
import type { Route, Service } from '../config/types.js'
import type { CallerCheck } from '../front/caller-check.js'
import type { LoopLag } from '../front/loop-lag.js'
import type { RunnerConnections } from '../forward/runner-connections.js'
import type { CallerFacts, RawHeaders, RequestCodec } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { LimitControl } from '../limits/limit-control.js'
import type { SharedBudget } from '../retry/shared-budget.js'
import type { RunnerTable } from '../runners/runner-table.js'
import type { DemandMeter } from './demand-meter.js'
import type { RequestMetrics } from './metrics.js'

/** A request whose head and body are read and whose route is known. */
export type AcceptedRequest = {
  id: string
  method: string
  target: string
  headers: RawHeaders
  body: Buffer | undefined
  facts: CallerFacts
  route: Route
  service: Service
  arrivedMs: number
  /** Monotonic time by which the final answer is due. */
  dueMs: number
}

/** Makes adapters resident, through whichever host may give orders. */
export abstract class AdapterLoader {
  /** Resolves true when the runner holds the adapter, false when it can't be brought there in time. */
  abstract ensure (runnerId: string, model: string, adapter: string, timeoutMs: number): Promise<boolean>
}

/** What is known of loads under way. */
export abstract class LoadOutlook {
  /** Time until a model that is being loaded is expected to serve; undefined if no load of it is known. */
  abstract readyInMs (service: string, model: string): number | undefined
}

/** What a host knows of its own state and of the others. */
export type HostView = {
  availabilityZone: string
  /** Hosts that may use the runners, this one included. */
  hostCount: () => number
  /** This host's name where what it knows of the others' load came over relays and is old; undefined where it is fresh. */
  hostOfOldLoads: () => string | undefined
  /** Age of what this host knows of the list of runners. */
  runnersAgeMs: () => number
  /** This host is shutting down: callers should move to others. */
  isLeaving: () => boolean
  /** Too little is left until the end of this process for a stream that begins now. */
  isClosedToStreams: () => boolean
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
  closures: RunnerClosures
  connections: RunnerConnections
  budget: SharedBudget
  demand: DemandMeter
  adapters: AdapterLoader
  loads: LoadOutlook
  /** How far this host is behind. */
  lag: LoopLag
  callerCheck: CallerCheck
  host: HostView
  random: () => number
}
