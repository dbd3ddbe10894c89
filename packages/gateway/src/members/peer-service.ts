/** The hosts' protocol over connect-es: translation of reports, the client, and the service's routes. */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { createClient, type Client, type ConnectRouter } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import {
  GatewayReportSchema, GatewayService, type GatewayAddress, type GatewayReport, type HostSummary as HostSummaryMessage,
  type RosterUpdate as RosterUpdateMessage, type RosterVersion as RosterVersionMessage, type TargetDemand
} from '@figloom/protocol'
import { Agent } from 'node:http'
import {
  PeerCalls, type AdapterReply, type AdapterRequest, type DemandRate, type HostAddress, type HostReport, type HostSummary,
  type RosterUpdate, type RosterVersion
} from './types.js'

const ENSURE_TIMEOUT_MS = 1_000
/** Idle connections between hosts stay open over several exchanges. */
const KEEP_ALIVE_MS = 5_000

/** What a host does with the calls of others. */
export abstract class PeerHandler {
  abstract onReport (report: HostReport): HostReport
  abstract onAdapterRequest (request: AdapterRequest): Promise<AdapterReply>
}

export function registerPeerService (router: ConnectRouter, handler: PeerHandler): void {
  router.service(GatewayService, {
    exchange: (message) => toMessage(handler.onReport(fromMessage(message))),
    ensureAdapter: (message) => handler.onAdapterRequest(message)
  })
}

export class ConnectPeerCalls extends PeerCalls {
  readonly #clients = new Map<string, Client<typeof GatewayService>>()
  readonly #agent = new Agent({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_MS, timeout: KEEP_ALIVE_MS })

  static create (): ConnectPeerCalls {
    return new ConnectPeerCalls()
  }

  override async exchange (peerAddress: string, report: HostReport, timeoutMs: number): Promise<HostReport> {
    const answer = await this.#client(peerAddress).exchange(toMessage(report), { timeoutMs })
    return fromMessage(answer)
  }

  override async ensureAdapter (peerAddress: string, request: AdapterRequest): Promise<AdapterReply> {
    const answer = await this.#client(peerAddress).ensureAdapter(request, { timeoutMs: ENSURE_TIMEOUT_MS })
    return { accepted: answer.accepted, readyInMs: answer.readyInMs }
  }

  #client (peerAddress: string): Client<typeof GatewayService> {
    const known = this.#clients.get(peerAddress)
    if (known !== undefined) return known
    const transport = createConnectTransport({
      baseUrl: `http://${peerAddress}`,
      httpVersion: '1.1',
      useBinaryFormat: true,
      acceptCompression: [],
      nodeOptions: { agent: this.#agent }
    })
    const client = createClient(GatewayService, transport)
    this.#clients.set(peerAddress, client)
    return client
  }
}

function toMessage (report: HostReport): GatewayReport {
  const init: MessageInitShape<typeof GatewayReportSchema> = {
    sender: report.sender,
    configVersion: BigInt(report.configVersion),
    configReadAgoMs: report.configReadAgoMs,
    runnerUses: [...report.runnerUses].map(([runnerId, inFlight]) => ({ runnerId, inFlight })),
    demand: report.demand.map((rate) => ({ ...rate, adapter: rate.adapter ?? '' })),
    expectedLoads: report.expectedLoads,
    lease: { ...report.lease, fencingToken: BigInt(report.lease.fencingToken) },
    sentUnixMs: BigInt(report.sentAt.getTime()),
    speaksForAll: report.speaksForAll,
    roster: report.roster === undefined ? undefined : { ...report.roster, to: toVersionMessage(report.roster.to) },
    rosterSeen: report.rosterSeen === undefined ? undefined : toVersionMessage(report.rosterSeen)
  }
  return create(GatewayReportSchema, init)
}

function fromMessage (message: GatewayReport): HostReport {
  return {
    sender: toSummary(message.sender),
    configVersion: Number(message.configVersion),
    configReadAgoMs: message.configReadAgoMs,
    runnerUses: new Map(message.runnerUses.map(({ runnerId, inFlight }) => [runnerId, inFlight])),
    demand: message.demand.map(toDemandRate),
    expectedLoads: message.expectedLoads.map(({ service, model, readyInMs }) => ({ service, model, readyInMs })),
    lease: {
      fencingToken: Number(message.lease?.fencingToken ?? 0n),
      heldBySender: message.lease?.heldBySender ?? false,
      lastOrderAgoMs: message.lease?.lastOrderAgoMs
    },
    sentAt: new Date(Number(message.sentUnixMs)),
    speaksForAll: message.speaksForAll,
    roster: message.roster === undefined ? undefined : toRosterUpdate(message.roster),
    rosterSeen: toRosterVersion(message.rosterSeen)
  }
}

function toVersionMessage ({ rosterId, version }: RosterVersion) {
  return { rosterId, version: BigInt(version) }
}

function toRosterVersion (message: RosterVersionMessage | undefined): RosterVersion | undefined {
  return message === undefined ? undefined : { rosterId: message.rosterId, version: Number(message.version) }
}

function toRosterUpdate ({ to, complete, hosts, removed }: RosterUpdateMessage): RosterUpdate {
  return { to: toRosterVersion(to) ?? { rosterId: '', version: 0 }, complete, hosts: hosts.map(toSummary), removed }
}

function toSummary (message: HostSummaryMessage | undefined): HostSummary {
  return {
    address: toAddress(message?.address),
    incarnation: message?.incarnation ?? '',
    ready: message?.ready ?? false,
    leaving: message?.leaving ?? false,
    relay: message?.relay ?? false,
    holdsLease: message?.holdsLease ?? false,
    hearsay: message?.hearsay ?? false
  }
}

function toDemandRate ({ service, model, adapter, requestsPerS, slowRequestsPerS, holdMs }: TargetDemand): DemandRate {
  return { service, model, adapter: adapter === '' ? undefined : adapter, requestsPerS, slowRequestsPerS, holdMs }
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
