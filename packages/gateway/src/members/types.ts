/** Data that hosts of the gateway exchange about each other, directly or through relays. Times are monotonic milliseconds. */

import type { CrashUpdate, RunnerCheck } from '../crashes/types.js'
import type { Position } from '../eras/position.js'
import type { LeavingReport } from '../gates/types.js'
import type { LimitReport, PermitReply, PermitRequest } from '../limits/types.js'
import type { RunnerListUpdate } from '../runners/types.js'
import type { ListUpdate, ListVersion } from './change-list.js'

/** Where a host can be reached; addresses are IP:PORT. */
export type HostAddress = {
  host: string
  availabilityZone: string
  callerAddress: string
  peerAddress: string
  /** Capacity for work on behalf of other hosts, in cores; less than its cores where its network link is the bottleneck. */
  capacityCores: number
}

/** State of the lease on orders as one host reports it: whether the host holds the lease, and when it gave its last order. */
export type LeaseView = {
  heldBySender: boolean
  fencingToken: number
  /** Absent if the host has given no order since it started. */
  lastOrderAgoMs?: number
}

/** Demand for a model or adapter. */
export type DemandRate = {
  service: string
  model: string
  adapter?: string
  /** Counts only callers that continue a stream of this version where no runner of it holds the model; absent for all requests. */
  softwareVersion?: string
  /** Streams in progress that began at this version and can go on at it alone. The rates don't count them. */
  openStreams?: number
  /** Average over the last second or so. */
  requestsPerS: number
  /** Average over several seconds. */
  slowRequestsPerS: number
  /** How long a request occupies its slot at a runner, on average. */
  holdMs: number
}

/** A model load in progress, and the time until the model is expected to serve. */
export type ExpectedLoad = { service: string, model: string, softwareVersion?: string, readyInMs: number }

/** State of a host as relays pass it on to hosts that have no direct contact with it. */
export type HostSummary = {
  address: HostAddress
  /** Differs for every start of the host's process. */
  incarnation: string
  ready: boolean
  leaving: boolean
  /** Forwards the reports of other hosts. */
  relay: boolean
  holdsLease: boolean
  /** The sender knows the host's address, but not whether the host is up. */
  hearsay: boolean
  /** It doesn't reach the runners, though other hosts do. */
  cutOff: boolean
}

/** A host's report on itself and on the hosts that it reports for. */
export type HostReport = {
  sender: HostSummary
  /** Increases with each report of the sender's incarnation, so that receivers can drop reports that arrive out of order. */
  number: number
  configVersion: number
  /** Time since the sender last read the configuration from the platform; absent if it hasn't. */
  configReadAgoMs?: number
  /** Requests in flight by runner id, from the sender and the hosts that it reports for. */
  runnerUses: Map<string, number>
  /** Demand at the sender and the hosts that it reports for; empty if the receiver doesn't need it. */
  demand: DemandRate[]
  /** Loads in progress that the lease holder ordered, from its own report or forwarded by a relay. */
  expectedLoads: ExpectedLoad[]
  lease: LeaseView
  /** Time of day at the sender. */
  sentAt: Date
  /** The report covers all hosts except the receiver; otherwise the sender and the hosts that report to it. */
  speaksForAll: boolean
  /** Hosts that the sender reports as up, or only knows the address of; absent if the sender is no relay. */
  hosts?: ListUpdate<HostSummary>
  /** Version of the receiver's host list that the sender has. */
  hostsSeen?: ListVersion
  /** Runners according to the platform's records; sent only to hosts that report to the sender. */
  runners?: RunnerListUpdate
  /** The sender has all of the platform's runner records before this position; absent if it has none. */
  runnersPosition?: Position
  /** Highest era of the platform's history that the sender has heard of; 0 if it knows none. */
  storeEra: number
  /** Runners' limits that the sender knows, whichever host received them from the runner. */
  limitReports: LimitReport[]
  /** The same for runners that bear only few rejected requests; absent if there are none. */
  rejectionLimitReports?: LimitReport[]
  /** Runners that recently announced that they leave. */
  leavingReports: LeavingReport[]
  /** Ends of runners and blocked prompt parts; absent if the receiver lacks none that the sender knows. */
  crashes?: CrashUpdate
  /** Version of the receiver's records of ends and blocks that the sender has. */
  crashesSeen?: ListVersion
}

/** Client for calls to other hosts. */
export abstract class PeerClient {
  /** Sends a report to the host at `peerAddress` and returns the report that it answers with. */
  abstract exchange (peerAddress: string, report: HostReport, timeoutMs: number): Promise<HostReport>
  abstract ensureAdapter (peerAddress: string, request: AdapterRequest): Promise<AdapterReply>
  /** Requests permits from the host that allocates a runner's limit. */
  abstract takePermits (peerAddress: string, request: PermitRequest, timeoutMs: number): Promise<PermitReply>
  /** Returns the configuration in force at a host, in the platform's encoding; empty if the host has none. */
  abstract readConfig (peerAddress: string): Promise<Uint8Array>
  /** Asks a host whether it reaches a runner's address. */
  abstract checkRunner (peerAddress: string, runnerAddress: string, timeoutMs: number): Promise<RunnerCheck>
}

/** Request to load an adapter on a runner, sent to the lease holder, which alone may order it. */
export type AdapterRequest = { runnerId: string, model: string, adapter: string }

export type AdapterReply = { accepted: boolean, readyInMs: number }

/** Registry through which hosts discover each other when none of their seed addresses answers. */
export abstract class HostRegistry {
  abstract announce (address: HostAddress): Promise<void>
  abstract list (): Promise<HostAddress[]>
}
