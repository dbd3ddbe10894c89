/** Hosts of the gateway as they know each other, by direct contact or by a relay's word. Times are monotonic milliseconds. */

import type { LeavingReport } from '../closures/types.js'
import type { LimitReport, PermitReply, PermitRequest } from '../limits/types.js'
import type { RunnerNews } from '../runners/types.js'
import type { ListUpdate, ListVersion } from './change-list.js'

/** Where a host can be reached; addresses are IP:PORT. */
export type HostAddress = {
  host: string
  availabilityZone: string
  callerAddress: string
  peerAddress: string
  /** What it can do for other hosts: cores, or less where its link is the narrower. */
  capacityCores: number
}

/** A host's word on the lease on orders: whether it holds it, and when it gave its last order. */
export type LeaseView = {
  heldBySender: boolean
  fencingToken: number
  /** Absent if it gave none since its start. */
  lastOrderAgoMs?: number
}

/** Demand for a model or adapter. */
export type DemandRate = {
  service: string
  model: string
  adapter?: string
  /** Average over the last second or so. */
  requestsPerS: number
  /** Average over some seconds. */
  slowRequestsPerS: number
  /** How long a request holds its place at a runner, on average. */
  holdMs: number
}

/** A load under way, and when its model is expected to serve. */
export type ExpectedLoad = { service: string, model: string, readyInMs: number }

/** What is said of a host to others that don't hear it themselves. */
export type HostSummary = {
  address: HostAddress
  /** New with every start of its process. */
  incarnation: string
  ready: boolean
  leaving: boolean
  /** Passes on what other hosts say. */
  relay: boolean
  holdsLease: boolean
  /** The sender knows of this host but doesn't vouch for its being up. */
  hearsay: boolean
}

/** What a host says of itself and of the hosts that it speaks for. */
export type HostReport = {
  sender: HostSummary
  /** Grows with each report that the sender's incarnation writes: a report with a lower number was overtaken. */
  number: number
  configVersion: number
  /** Time since the sender last read the configuration from the platform; absent if it hasn't. */
  configReadAgoMs?: number
  /** Requests in flight by runner id, at the sender and at the hosts that it speaks for. */
  runnerUses: Map<string, number>
  /** Demand at the sender and at the hosts that it speaks for; empty to hosts that don't need it. */
  demand: DemandRate[]
  /** Loads that the holder of the lease has under way, by its own word or passed on. */
  expectedLoads: ExpectedLoad[]
  lease: LeaseView
  /** Time of day at the sender. */
  sentAt: Date
  /** The sender speaks for all hosts but the receiver; otherwise for those that report to it. */
  speaksForAll: boolean
  /** Hosts that the sender vouches for or knows of; absent from hosts that aren't relays. */
  hosts?: ListUpdate<HostSummary>
  /** What the sender has of the receiver's list of hosts. */
  hostsSeen?: ListVersion
  /** Runners by the platform's records; only to hosts that report to the sender. */
  runners?: RunnerNews
  /** The sender knows all records of runners before this position; absent where it knows none. */
  runnersPosition?: number
  /** What the sender knows of runners' limits, by whomever. */
  limitReports: LimitReport[]
  /** Runners that said of late that they leave. */
  leavingReports: LeavingReport[]
}

/** Hands reports to other hosts and takes theirs. */
export abstract class PeerCalls {
  /** Sends a report to the host at `peerAddress` and returns its own. */
  abstract exchange (peerAddress: string, report: HostReport, timeoutMs: number): Promise<HostReport>
  abstract ensureAdapter (peerAddress: string, request: AdapterRequest): Promise<AdapterReply>
  /** Asks the host that shares out a runner's limit. */
  abstract takePermits (peerAddress: string, request: PermitRequest, timeoutMs: number): Promise<PermitReply>
  /** The configuration in force at a host, in the platform's form; empty where it knows none. */
  abstract readConfig (peerAddress: string): Promise<Uint8Array>
}

/** Wish for an adapter on a runner, sent to whoever may order it. */
export type AdapterRequest = { runnerId: string, model: string, adapter: string }

export type AdapterReply = { accepted: boolean, readyInMs: number }

/** Where hosts find each other that share no running neighbour. */
export abstract class HostRegistry {
  abstract announce (address: HostAddress): Promise<void>
  abstract list (): Promise<HostAddress[]>
}
