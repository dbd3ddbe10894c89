/** Target size of a deployment, and figures that follow from it without a measurement. */
export const SIZE = {
  hosts: 1200,
  runners: 12_000,
  accelerators: 24_000,
  requestsPerSecond: 36_000,
  tokensPerSecond: 13_000_000,
  models: 730,
  regions: 5,
  availabilityZones: 15,
  changesPerDay: 12_000,
  failedHostsPerDay: 71,
  replacedHostsPerDay: 910
} as const

/** Upper bounds of what control may use on one host, and of the appends to the log. */
export const CONTROL_LIMITS = { corePercent: 1.5, memoryMiB: 32, bytesPerSecond: 6 * 1024, inForceMs: 11_000, appendsPerSecond: 300 } as const

/** Assumptions where the users have stated no figure. */
export const ASSUMED = {
  runnersPerCell: 30,
  hostsPerCell: 3,
  /** Share of requests that are keyed calls to plain services. */
  keyedShare: 0.02,
  adaptersPerRunner: 8,
  modelsPerRunner: 4,
  /** Loads and unloads per runner and hour. */
  movesPerRunnerHour: 1,
  /** Time for which a caller caches the result of a lookup. */
  lookupTtlS: 5,
  callers: 20_000
} as const

const SECONDS_PER_DAY = 86_400

export const CELLS = SIZE.runners / ASSUMED.runnersPerCell
export const HOSTS_PER_REGION = SIZE.hosts / SIZE.regions
export const CHANGES_PER_SECOND = SIZE.changesPerDay / SECONDS_PER_DAY
export const KEYED_PER_SECOND = SIZE.requestsPerSecond * ASSUMED.keyedShare
export const CELLS_PER_HOST = CELLS * ASSUMED.hostsPerCell / SIZE.hosts
