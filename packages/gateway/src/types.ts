/** What the gateway requires: its settings, and abstract classes that each platform implements. */
import type { CrashLog } from './crashes/types.js'
import type { EraTracker } from './eras/era-tracker.js'
import type { Position } from './eras/position.js'
import type { RequestCodec } from './forward/types.js'
import type { LeaseLog } from './lease/types.js'
import type { HostAddress, HostRegistry } from './members/types.js'
import type { PlatformCalls } from './platform-calls.js'
import type { RunnerOrders } from './orders/types.js'
import type { QuotaBound } from './quota/types.js'
import type { BudgetLimits } from './retry/shared-budget.js'
import type { GatewayConfig } from './config/types.js'
import type { RunnerListUpdate } from './runners/types.js'
import type { StreamLog } from './streams/types.js'

/** Settings of one host. */
export type GatewaySettings = {
  self: HostAddress
  /** IP:PORT of the listeners; a listener without an address isn't opened. */
  callerListener: string
  readinessListener: string | undefined
  lookupListener: string | undefined
  peerListener: string
  /** Peer addresses of hosts that may be running, used to discover the others. */
  seedPeerAddresses: string[]
  budget: BudgetLimits
  /** What customers with quotas may use at worst. */
  quotaBound: QuotaBound
  /** Time between a request to stop and the exit of the process. */
  graceMs: number
  /** Shortest time between the last order of one lease holder and the first order of the next. */
  orderGapMs: number
  /** Time within which hosts in contact have to know of changes. */
  contactMs: number
  /** Time within which a host has to know that a runner drains. */
  drainNoticeMs: number
  /** Longest time to live of a lookup that callers accept. */
  maxLookupTtlMs: number
  /** Memory above which the platform ends the process, in megabytes. */
  memoryMb: number
  /** Descriptors that the process may have open. */
  maxDescriptors: number
}

/** Callbacks through which a platform reports changes, and checks what this host already knows before it reads. */
export type PlatformEvents = {
  /** @param encoded the platform's own encoding, to be forwarded to hosts that can't read it themselves */
  onConfig: (config: GatewayConfig, encoded: Uint8Array) => void
  onRunnerUpdate: (update: RunnerListUpdate) => void
  /** A read of the list of runners that started this long ago failed. */
  onRunnerReadFailed: (startedAgoMs: number) => void
  /** The platform's history of runners restarted from the beginning: earlier positions are invalid. */
  onRunnerHistoryReset: () => void
  /**
   * Whether this host is in contact with another one that reads the configuration often and would report a newer one, so that
   * this host may wait for a newer configuration in one long call.
   */
  receivesConfigFromPeers: () => boolean
  /** Whether this host need not read the list of runners: other hosts do, and the list here is fresh. */
  receivesRunnersFromPeers: () => boolean
  /** All records of runners before this position are known here, whichever host read them; undefined if none are. */
  runnersPosition: () => Position | undefined
}

/** Follows the platform's configuration and list of runners. */
export abstract class PlatformWatch {
  abstract start (events: PlatformEvents): void
  /** Reads the configuration at once, since another host reported a newer one. */
  abstract readConfig (): void
  /** Decodes a configuration that another host forwarded; undefined if it can't be decoded. */
  abstract decodeConfig (encoded: Uint8Array): GatewayConfig | undefined
  /** Time since the configuration was last read; undefined before the first read. */
  abstract configReadAgoMs (): number | undefined
  abstract stop (): void
}

/** Paths and format of the platform's requests for a host's readiness and for the list of hosts. */
export type LookupWire = {
  lookupPath: string
  readinessPath: string
  formatLookup: (addresses: string[], ttlMs: number) => string
}

/** A platform's implementations of the abstract classes. */
export type Platform = {
  codec: RequestCodec
  /** The era of the platform's history, which the platform's clients keep up to date. */
  eras: EraTracker
  /** Calls that the platform's clients have made. */
  calls: PlatformCalls
  watch: PlatformWatch
  registry: HostRegistry
  leaseLog: LeaseLog
  orders: RunnerOrders
  crashLog: CrashLog
  streamLog: StreamLog
  lookupWire: LookupWire
}
