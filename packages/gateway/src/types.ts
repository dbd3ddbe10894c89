/** What the gateway needs from outside: its settings and the platform behind abstract classes. */
import type { RequestCodec } from './forward/types.js'
import type { LeaseLog } from './lease/types.js'
import type { HostAddress, HostRegistry } from './members/types.js'
import type { RunnerOrders } from './orders/types.js'
import type { BudgetLimits } from './retry/shared-budget.js'
import type { GatewayConfig } from './config/types.js'
import type { RunnerEntry } from './runners/types.js'

/** Settings of one host. */
export type GatewaySettings = {
  self: HostAddress
  /** IP:PORT of the listeners; a listener without an address isn't opened. */
  callerListener: string
  readinessListener: string | undefined
  lookupListener: string | undefined
  peerListener: string
  /** Peer addresses of hosts that may be up. */
  seedPeerAddresses: string[]
  budget: BudgetLimits
  /** Time between a request to stop and the end of the process. */
  graceMs: number
  /** Time that has to pass between orders of two holders. */
  orderGapMs: number
  /** Time within which hosts in contact have to know of changes. */
  contactMs: number
  /** Time to live of lookups that callers honour at the most. */
  maxLookupTtlMs: number
}

/** What the platform tells; calls come in the order of the platform's records. */
export type PlatformEvents = {
  onConfig: (config: GatewayConfig) => void
  onRunner: (entry: RunnerEntry) => void
  /** @param graceMs after an outage of the list, the time in which entries of living runners come back; else 0 */
  onRunnerGone: (id: string, graceMs: number) => void
  /**
   * Whether another host is in contact that reads the configuration often and would tell of a newer one, so that this
   * host may wait for one over a single call.
   */
  hearsOfConfig: () => boolean
  /** Age of what this host knows of the list of runners, by its own reads or by others that read it; it need not read a young list. */
  runnersAgeMs: () => number
  /** The list of runners was read, whether anything changed in it or not. */
  onRunnersRead: () => void
  /** The whole list was read anew: ids that aren't in it are gone. */
  onRunnerList: (ids: ReadonlySet<string>, graceMs: number) => void
}

/** Follows the platform's configuration and list of runners. */
export abstract class PlatformWatch {
  abstract start (events: PlatformEvents): void
  /** Reads the configuration at once: another host knows of a newer one. */
  abstract readConfig (): void
  /** Time since the configuration was last read; undefined before. */
  abstract configReadAgoMs (): number | undefined
  /** Time since the list of runners was last read; undefined before. */
  abstract runnersReadAgoMs (): number | undefined
  abstract stop (): void
}

/** How the platform asks a host for hosts and for its readiness. */
export type LookupWire = {
  lookupPath: string
  readinessPath: string
  formatLookup: (addresses: string[], ttlMs: number) => string
}

/** The platform behind its abstract classes. */
export type Platform = {
  codec: RequestCodec
  watch: PlatformWatch
  registry: HostRegistry
  leaseLog: LeaseLog
  orders: RunnerOrders
  lookupWire: LookupWire
}
