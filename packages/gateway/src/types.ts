/** What the gateway needs from outside: its settings and the platform behind abstract classes. */
import type { RequestCodec } from './forward/types.js'
import type { LeaseLog } from './lease/types.js'
import type { HostAddress, HostRegistry } from './members/types.js'
import type { RunnerOrders } from './orders/types.js'
import type { BudgetLimits } from './retry/shared-budget.js'
import type { GatewayConfig } from './config/types.js'
import type { RunnerNews } from './runners/types.js'

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
  /** Time within which a host has to know that a runner drains. */
  drainNoticeMs: number
  /** Time to live of lookups that callers honour at the most. */
  maxLookupTtlMs: number
}

/** What the platform tells, and what it asks before it reads. */
export type PlatformEvents = {
  /** @param encoded the platform's own form, to be passed on to hosts that can't read it themselves */
  onConfig: (config: GatewayConfig, encoded: Uint8Array) => void
  onRunners: (news: RunnerNews) => void
  /** A read of the list of runners that began this long ago failed. */
  onRunnersUnread: (startedAgoMs: number) => void
  /** The platform's history of runners starts anew: positions told before mean nothing. */
  onRunnersAnew: () => void
  /**
   * Whether another host is in contact that reads the configuration often and would tell of a newer one, so that this
   * host may wait for one over a single call.
   */
  hearsOfConfig: () => boolean
  /** Others read the list of runners for this host, which knows a young one. */
  hearsOfRunners: () => boolean
  /** All records of runners before this position are known here, whoever read them; undefined where none are. */
  runnersPosition: () => number | undefined
}

/** Follows the platform's configuration and list of runners. */
export abstract class PlatformWatch {
  abstract start (events: PlatformEvents): void
  /** Reads the configuration at once: another host knows of a newer one. */
  abstract readConfig (): void
  /** Decodes a configuration that another host passed on; undefined where it can't be read. */
  abstract decodeConfig (encoded: Uint8Array): GatewayConfig | undefined
  /** Time since the configuration was last read; undefined before. */
  abstract configReadAgoMs (): number | undefined
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
