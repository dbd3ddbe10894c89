/** Hosts of the gateway as they know each other by direct contact. Times are monotonic milliseconds. */

/** Where a host can be reached; addresses are IP:PORT. */
export type HostAddress = {
  host: string
  availabilityZone: string
  callerAddress: string
  peerAddress: string
}

/** A host's word on the lease on orders: whether it holds it, and when it gave its last order. */
export type LeaseView = {
  heldBySender: boolean
  fencingToken: number
  /** Absent if it gave none since its start. */
  lastOrderAgoMs?: number
}

/** Demand for a model or adapter at one host. */
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

/** What a host says of itself. */
export type HostReport = {
  address: HostAddress
  /** New with every start of its process. */
  incarnation: string
  ready: boolean
  leaving: boolean
  configVersion: number
  /** Requests in flight by runner id. */
  runnerUses: Map<string, number>
  demand: DemandRate[]
  /** Loads that this host ordered as the holder of the lease. */
  expectedLoads: ExpectedLoad[]
  lease: LeaseView
  knownHosts: HostAddress[]
  /** Time of day at the sender. */
  sentAt: Date
}

/** Hands reports to other hosts and takes theirs. */
export abstract class PeerCalls {
  /** Sends a report to the host at `peerAddress` and returns its own. */
  abstract exchange (peerAddress: string, report: HostReport): Promise<HostReport>
  abstract ensureAdapter (peerAddress: string, request: AdapterRequest): Promise<AdapterReply>
}

/** Wish for an adapter on a runner, sent to whoever may order it. */
export type AdapterRequest = { runnerId: string, model: string, adapter: string }

export type AdapterReply = { accepted: boolean, readyInMs: number }

/** Where hosts find each other that share no running neighbour. */
export abstract class HostRegistry {
  abstract announce (address: HostAddress): Promise<void>
  abstract list (): Promise<HostAddress[]>
}
