/** Converts host reports to and from messages of the protocol between hosts. */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import {
  GatewayReportSchema, type GatewayAddress, type GatewayReport, type HostSummary as HostSummaryMessage, type ListedRunner,
  type ListVersion as ListVersionMessage, type RunnerListUpdate as RunnerUpdateMessage, type RunnerPace, type TargetDemand
} from '@figloom/protocol'
import { createPosition, eraOf, offsetOf, type Position } from '../eras/position.js'
import { isUsableEvidence, type PaceReport } from '../pace/pace-estimator.js'
import type { RunnerEntry, RunnerListUpdate } from '../runners/types.js'
import { toCrashMessage, toCrashUpdate } from './crash-messages.js'
import { toLeavingMessage, toLeavingReport } from './leaving-messages.js'
import { toLimitMessage, toLimitReport, toRejectionLimitReports } from './limit-messages.js'
import { toVersion, toVersionMessage } from './list-version-messages.js'
import type { ListUpdate } from './change-list.js'
import type { DemandRate, HostAddress, HostReport, HostSummary } from './types.js'

export function toMessage (report: HostReport): GatewayReport {
  const init: MessageInitShape<typeof GatewayReportSchema> = {
    sender: report.sender,
    number: BigInt(report.number),
    configVersion: BigInt(report.configVersion),
    configReadAgoMs: report.configReadAgoMs,
    runnerUses: [...report.runnerUses].map(([runnerId, inFlight]) => ({ runnerId, inFlight })),
    runnerPaces: report.paces,
    demand: report.demand.map((rate) => ({ ...rate, adapter: rate.adapter ?? '', softwareVersion: rate.softwareVersion ?? '' })),
    expectedLoads: report.expectedLoads,
    lease: { ...report.lease, fencingToken: BigInt(report.lease.fencingToken) },
    sentUnixMs: BigInt(report.sentAt.getTime()),
    speaksForAll: report.speaksForAll,
    hosts: report.hosts && { ...toListUpdateMessage(report.hosts), hosts: report.hosts.items },
    hostsSeen: toVersionMessage(report.hostsSeen),
    runners: report.runners && toRunnerUpdateMessage(report.runners),
    runnersPosition: toOffsetMessage(report.runnersPosition),
    runnersEra: eraOf(report.runnersPosition ?? 0),
    storeEra: report.storeEra,
    limitReports: report.limitReports.map(toLimitMessage),
    rejectionLimitReports: report.rejectionLimitReports?.map(toLimitMessage),
    leavingReports: report.leavingReports.map(toLeavingMessage),
    crashes: report.crashes && toCrashMessage(report.crashes),
    crashesSeen: toVersionMessage(report.crashesSeen)
  }
  return create(GatewayReportSchema, init)
}

export function fromMessage (message: GatewayReport): HostReport {
  const { hosts, runners } = message
  return {
    sender: toSummary(message.sender),
    number: Number(message.number),
    configVersion: Number(message.configVersion),
    configReadAgoMs: message.configReadAgoMs,
    runnerUses: new Map(message.runnerUses.map(({ runnerId, inFlight }) => [runnerId, inFlight])),
    paces: toPaceReports(message.runnerPaces),
    demand: message.demand.map(toDemandRate),
    expectedLoads: message.expectedLoads.map(({ service, model, softwareVersion, readyInMs }) => ({ service, model, softwareVersion: toOptional(softwareVersion), readyInMs })),
    lease: {
      fencingToken: Number(message.lease?.fencingToken ?? 0n),
      heldBySender: message.lease?.heldBySender ?? false,
      lastOrderAgoMs: message.lease?.lastOrderAgoMs
    },
    sentAt: new Date(Number(message.sentUnixMs)),
    speaksForAll: message.speaksForAll,
    hosts: hosts && toListUpdate(hosts, hosts.hosts.map(toSummary)),
    hostsSeen: toVersion(message.hostsSeen),
    runners: runners && toRunnerUpdate(runners),
    runnersPosition: toPosition(message.runnersEra, message.runnersPosition),
    storeEra: message.storeEra,
    limitReports: message.limitReports.map(toLimitReport),
    rejectionLimitReports: toRejectionLimitReports(message.rejectionLimitReports),
    leavingReports: message.leavingReports.map(toLeavingReport),
    crashes: message.crashes && toCrashUpdate(message.crashes),
    crashesSeen: toVersion(message.crashesSeen)
  }
}

function toListUpdateMessage ({ to, complete, removed }: ListUpdate<unknown>) {
  return { to: toVersionMessage(to), complete, removed }
}

function toListUpdate<Item> (message: { to?: ListVersionMessage, complete: boolean, removed: string[] }, items: Item[]): ListUpdate<Item> {
  const { to, complete, removed } = message
  return { to: toVersion(to) ?? { listId: '', version: 0 }, complete, items, removed }
}

/** Hosts of earlier releases know offsets only, so these have fields of their own. All positions of an update are of one era. */
function toRunnerUpdateMessage ({ since, to, records, ageMs }: RunnerListUpdate) {
  return {
    since: toOffsetMessage(since),
    to: BigInt(offsetOf(to)),
    records: records.map(({ id, position, entry }) => ({ id, position: BigInt(offsetOf(position)), entry: entry && toRunnerMessage(entry) })),
    ageMs,
    era: eraOf(to)
  }
}

function toRunnerUpdate ({ since, to, records, ageMs, era }: RunnerUpdateMessage): RunnerListUpdate {
  return {
    since: toPosition(era, since),
    to: createPosition(era, Number(to)),
    records: records.map(({ id, position, entry }) => ({ id, position: createPosition(era, Number(position)), entry: entry && toEntry(entry) })),
    ageMs
  }
}

function toOffsetMessage (position: Position | undefined): bigint | undefined {
  return position === undefined ? undefined : BigInt(offsetOf(position))
}

function toPosition (era: number, offset: bigint | undefined): Position | undefined {
  return offset === undefined ? undefined : createPosition(era, Number(offset))
}

function toRunnerMessage (entry: RunnerEntry) {
  const models = entry.models.map((model) => ({ ...model, version: BigInt(model.version) }))
  const startedUnixMs = entry.startedUnixMs === undefined ? undefined : BigInt(entry.startedUnixMs)
  return { ...entry, models, startedUnixMs }
}

function toEntry (message: ListedRunner): RunnerEntry {
  const { id, service, address, availabilityZone, softwareVersion, slots, draining, remainingMs, localWeights } = message
  const models = message.models.map(({ name, version, adapters }) => ({ name, version: Number(version), adapters }))
  const startedUnixMs = message.startedUnixMs === undefined ? undefined : Number(message.startedUnixMs)
  return { id, service, address, availabilityZone, softwareVersion, slots, draining, startedUnixMs, remainingMs, models, localWeights }
}

function toSummary (message: HostSummaryMessage | undefined): HostSummary {
  return {
    address: toAddress(message?.address),
    incarnation: message?.incarnation ?? '',
    ready: message?.ready ?? false,
    leaving: message?.leaving ?? false,
    relay: message?.relay ?? false,
    holdsLease: message?.holdsLease ?? false,
    hearsay: message?.hearsay ?? false,
    cutOff: message?.cutOff ?? false
  }
}

/** Undefined if there are none, as in most reports and from hosts of earlier releases. */
function toPaceReports (messages: readonly RunnerPace[]): PaceReport[] | undefined {
  if (messages.length === 0) return undefined
  return messages.map(({ runnerId, logRatioSum, answers }) => ({ runnerId, logRatioSum, answers })).filter(isUsableEvidence)
}

function toDemandRate ({ service, model, adapter, softwareVersion, openStreams, requestsPerS, slowRequestsPerS, holdMs }: TargetDemand): DemandRate {
  return { service, model, adapter: toOptional(adapter), softwareVersion: toOptional(softwareVersion), openStreams: openStreams === 0 ? undefined : openStreams, requestsPerS, slowRequestsPerS, holdMs }
}

function toOptional (text: string): string | undefined {
  return text === '' ? undefined : text
}

function toAddress (message: GatewayAddress | undefined): HostAddress {
  return {
    host: message?.host ?? '',
    availabilityZone: message?.availabilityZone ?? '',
    callerAddress: message?.callerAddress ?? '',
    peerAddress: message?.peerAddress ?? '',
    capacityCores: message?.capacityCores ?? 0
  }
}
