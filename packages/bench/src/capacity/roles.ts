/** Extrapolates the cost of each role to the target size from the measured slopes. */
import { CLAIM_STREAM_COUNT } from '@figloom/control'
import { evaluateFit } from './fit.js'
import { ASSUMED, CELLS, CHANGES_PER_SECOND, HOSTS_PER_REGION, KEYED_PER_SECOND, SIZE } from './size.js'
import type { CellSlopes } from './slopes/cell.js'
import type { ConfigurationSlopes } from './slopes/configuration.js'
import type { DaemonSlopes } from './slopes/daemon.js'
import { CALL_OVERHEAD_BYTES, type MembershipSlopes } from './slopes/membership.js'

export type Slopes = {
  configuration: ConfigurationSlopes
  membership: MembershipSlopes
  cell: CellSlopes
  daemon: DaemonSlopes
  claims: { foldUs: number, bytesPerKey: number, bytesPerCall: number, appendsPerSecondOfStream: number }
}

/** Cost of one role to each host that performs it. */
export type Role = {
  name: string
  hosts: string
  state: string
  memoryMiB: number
  corePercent: number
  bytesPerSecond: number
  mechanism: string
}

const US_PER_CORE_PERCENT = 10_000
const LOG_POLL_S = 10
const REPORT_POLL_S = 2
const EXCHANGE_INTERVAL_S = 1
const REPORT_BYTES = 1500
const KEY_RETENTION_S = 1800
const GENERATIONS_KEPT = 2
const BYTES_PER_MIB = 1024 * 1024

/** Roles of the control plane. Every host performs the first four; only some hosts perform the others. */
export function controlRoles (slopes: Slopes): Role[] {
  return [followerRole(slopes), membershipRole(slopes), reportRole(slopes), lookupRole(slopes), holderRole(slopes), gatewayRole(slopes)]
}

/** Cost of control for an ordinary host and for hosts with additional roles. */
export function sumRoles (roles: readonly Role[]): { name: string, memoryMiB: number, corePercent: number, bytesPerSecond: number }[] {
  const everyHost = roles.slice(0, 4)
  const [, , , , holderOfCell, claimGateway] = roles
  return [
    sumRoleCosts('every host', everyHost),
    sumRoleCosts('host that holds a cell\'s lease', [...everyHost, ...(holderOfCell === undefined ? [] : [holderOfCell])]),
    sumRoleCosts('host that holds a lease and is a claim gateway', [...everyHost, ...[holderOfCell, claimGateway].flatMap((role) => role ?? [])])
  ]
}

/** Cost of the request path on one host; the limits of control don't apply to it. */
export function dataPath ({ daemon }: Slopes) {
  const requestsPerSecond = SIZE.requestsPerSecond / SIZE.hosts
  const tokensPerSecond = SIZE.tokensPerSecond / SIZE.hosts
  const tokensPerRequest = tokensPerSecond / requestsPerSecond
  const corePercent = (requestsPerSecond * daemon.requestUs.base + tokensPerSecond * daemon.requestUs.slope) / US_PER_CORE_PERCENT
  const streams = requestsPerSecond * tokensPerRequest * 0.043
  return { requestsPerSecond, tokensPerSecond, tokensPerRequest, corePercent, streams, memoryMiB: daemon.memoryMiB.slope * streams }
}

/** Appends per second to the log that all cells share. */
export function logAppends ({ cell, claims }: Slopes): { what: string, perSecond: number, mechanism: string }[] {
  const movesPerSecond = SIZE.runners * ASSUMED.movesPerRunnerHour / 3600
  return [
    { what: `leases of ${CELLS} cells`, perSecond: CELLS * cell.recordsPerS, mechanism: 'one renewal every 8 s of a lease of 15 s' },
    { what: `claims of ${KEYED_PER_SECOND} keyed calls a second`, perSecond: CLAIM_STREAM_COUNT * claims.appendsPerSecondOfStream, mechanism: `${CLAIM_STREAM_COUNT} streams, claims of many hosts batched for 25 ms by a gateway` },
    { what: 'orders', perSecond: movesPerSecond * 3, mechanism: 'intent, settlement and observation of each move' },
    { what: 'configuration', perSecond: CHANGES_PER_SECOND, mechanism: 'one record an edit' },
    { what: 'snapshots', perSecond: (CELLS + 1) / 1200 + CLAIM_STREAM_COUNT / 600, mechanism: 'each stream every 10 to 20 minutes, by one host in turn' }
  ]
}

function followerRole ({ configuration }: Slopes): Role {
  return {
    name: 'configuration follower',
    hosts: 'every host',
    state: 'all rows, edit ids, removed rows',
    memoryMiB: evaluateFit(configuration.stateMiB, SIZE.runners),
    corePercent: CHANGES_PER_SECOND * evaluateFit(configuration.editUs, SIZE.runners) / US_PER_CORE_PERCENT,
    bytesPerSecond: CHANGES_PER_SECOND * configuration.editBytes * 2 + 2 * CALL_OVERHEAD_BYTES / LOG_POLL_S,
    mechanism: 'long poll of one stream; pure fold; shards, so that an edit copies one pool'
  }
}

function membershipRole ({ membership: slopes }: Slopes): Role {
  const neighbors = ASSUMED.hostsPerCell - 1
  const message = evaluateFit(slopes.messageBytes, ASSUMED.runnersPerCell)
  const views = 2 * neighbors / EXCHANGE_INTERVAL_S
  const listS = Math.max(2, SIZE.hosts * 0.075)
  return {
    name: 'membership',
    hosts: 'every host',
    state: 'all hosts by the list, loads of the own cell',
    memoryMiB: Math.max(0, evaluateFit(slopes.stateKiB, SIZE.hosts)) / 1024,
    corePercent: (neighbors * evaluateFit(slopes.exchangeUs, ASSUMED.runnersPerCell) + views * evaluateFit(slopes.viewUs, SIZE.hosts)) / US_PER_CORE_PERCENT,
    bytesPerSecond: neighbors * (2 * message + CALL_OVERHEAD_BYTES) / EXCHANGE_INTERVAL_S + evaluateFit(slopes.listBytes, SIZE.hosts) / listS,
    mechanism: 'one exchange a second with each host of the cell, once a pair; the list is read every 75 ms for each host listed'
  }
}

function reportRole ({ cell }: Slopes): Role {
  const polled = ASSUMED.runnersPerCell / ASSUMED.hostsPerCell
  const perS = polled / REPORT_POLL_S
  return {
    name: 'reports of runners',
    hosts: 'every host',
    state: 'last report of each runner of the cell',
    memoryMiB: ASSUMED.runnersPerCell * REPORT_BYTES * 4 / BYTES_PER_MIB,
    corePercent: Math.max(0, cell.followerUsPerS.base + cell.followerUsPerS.slope * ASSUMED.runnersPerCell) / US_PER_CORE_PERCENT,
    bytesPerSecond: perS * (REPORT_BYTES + CALL_OVERHEAD_BYTES),
    mechanism: 'each runner is read by one host of its cell every 2 s; the others learn it from the exchange'
  }
}

function lookupRole ({ membership: slopes }: Slopes): Role {
  const perS = ASSUMED.callers / ASSUMED.lookupTtlS / SIZE.hosts
  return {
    name: 'lookup',
    hosts: 'every host',
    state: 'none of its own',
    memoryMiB: 0,
    corePercent: perS * evaluateFit(slopes.lookupUs, SIZE.hosts) / US_PER_CORE_PERCENT,
    bytesPerSecond: perS * 900,
    mechanism: `${ASSUMED.callers} callers ask every ${ASSUMED.lookupTtlS} s; rendezvous hashing among ${HOSTS_PER_REGION} hosts of the region`
  }
}

function holderRole ({ cell }: Slopes): Role {
  return {
    name: 'cell holder',
    hosts: `${CELLS}, one a cell`,
    state: 'copies, intents and reports of its runners',
    memoryMiB: ASSUMED.runnersPerCell * REPORT_BYTES * 8 / BYTES_PER_MIB,
    corePercent: evaluateFit(cell.holderUsPerS, ASSUMED.runnersPerCell) / US_PER_CORE_PERCENT,
    bytesPerSecond: evaluateFit(cell.reportBytesPerS, ASSUMED.runnersPerCell) + 2 * evaluateFit(cell.logBytesPerS, ASSUMED.runnersPerCell) + 2 * CALL_OVERHEAD_BYTES * cell.recordsPerS,
    mechanism: 'lease, intents and ledger in one stream a cell; plans of one cell only'
  }
}

function gatewayRole ({ claims }: Slopes): Role {
  const perStream = KEYED_PER_SECOND / CLAIM_STREAM_COUNT
  const keys = perStream * KEY_RETENTION_S * GENERATIONS_KEPT
  return {
    name: 'claim gateway',
    hosts: `${CLAIM_STREAM_COUNT * 2}, two a stream`,
    state: `${Math.round(keys).toLocaleString('en')} keys of a stream`,
    memoryMiB: keys * claims.bytesPerKey / BYTES_PER_MIB,
    corePercent: perStream * claims.foldUs / US_PER_CORE_PERCENT,
    bytesPerSecond: perStream * claims.bytesPerCall * 2,
    mechanism: 'claims of many hosts in one append; packed table of hashes, two generations of 30 minutes'
  }
}

function sumRoleCosts (name: string, roles: readonly Role[]) {
  const sum = (pick: (role: Role) => number) => roles.reduce((total, role) => total + pick(role), 0)
  return { name, memoryMiB: sum(({ memoryMiB }) => memoryMiB), corePercent: sum(({ corePercent }) => corePercent), bytesPerSecond: sum(({ bytesPerSecond }) => bytesPerSecond) }
}
