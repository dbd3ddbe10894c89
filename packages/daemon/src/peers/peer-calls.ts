/** Calls to peers for the control package: state exchange, snapshots and claims. */
import { ClaimPeers, PeerExchange, SnapshotSource, type AttemptEnd, type ClaimAnswer, type ClaimRequest, type PeerReport } from '@figloom/control'
import { PROTOCOL_VERSION } from '@figloom/protocol'
import type { DemandMeter } from '../cells/demand-meter.js'
import type { InnerClients } from './inner-clients.js'
import { toClaimAnswer, toClaimMessage, toDemandRates, toEndMessage, toPeerReport, toPeerState } from './messages.js'

const SNAPSHOT_PEERS = 3

/** Exchanges state over the inner protocol. */
export class InnerPeerExchange extends PeerExchange {
  private constructor (private readonly clients: InnerClients, private readonly demand: DemandMeter, private readonly timeoutMs: number) {
    super()
  }

  static create (clients: InnerClients, demand: DemandMeter, timeoutMs: number): InnerPeerExchange {
    return new InnerPeerExchange(clients, demand, timeoutMs)
  }

  override async exchange (innerUrl: string, report: PeerReport): Promise<PeerReport | undefined> {
    try {
      const state = await this.clients.get(innerUrl).exchangeState(toPeerState(report, this.demand.ownRates), { timeoutMs: this.timeoutMs })
      this.demand.setPeerRates(state.host, toDemandRates(state))
      return toPeerReport(state)
    } catch {
      return undefined
    }
  }
}

/** Fetches configuration snapshots from several peers. */
export class InnerSnapshotSource extends SnapshotSource {
  private constructor (private readonly clients: InnerClients, private readonly timeoutMs: number, private readonly peerUrls: () => Promise<string[]>) {
    super()
  }

  /** `peerUrls` returns the inner URLs of peers, in order of preference. */
  static create (clients: InnerClients, timeoutMs: number, peerUrls: () => Promise<string[]>): InnerSnapshotSource {
    return new InnerSnapshotSource(clients, timeoutMs, peerUrls)
  }

  override async fetch (newerThanOffset: number): Promise<unknown[]> {
    const urls = (await this.peerUrls()).slice(0, SNAPSHOT_PEERS)
    const found = await Promise.all(urls.map((url) => this.#fetchOne(url, newerThanOffset)))
    return found.filter((snapshot) => snapshot !== undefined)
  }

  async #fetchOne (url: string, newerThanOffset: number): Promise<unknown> {
    const request = { protocolVersion: PROTOCOL_VERSION, newerThanOffset: BigInt(newerThanOffset) }
    try {
      const { offset, snapshotJson } = await this.clients.get(url).getSnapshot(request, { timeoutMs: this.timeoutMs })
      return offset === 0n ? undefined : JSON.parse(Buffer.from(snapshotJson).toString('utf8'))
    } catch {
      return undefined
    }
  }
}

/** Calls claim gateways on other hosts. */
export class InnerClaimPeers extends ClaimPeers {
  private constructor (private readonly clients: InnerClients, private readonly innerUrlOf: (host: string) => string | undefined) {
    super()
  }

  static create (clients: InnerClients, innerUrlOf: (host: string) => string | undefined): InnerClaimPeers {
    return new InnerClaimPeers(clients, innerUrlOf)
  }

  override async claim (host: string, request: ClaimRequest): Promise<ClaimAnswer> {
    const url = this.innerUrlOf(host)
    if (url === undefined) return { kind: 'unavailable', mayBeAppended: false }
    return toClaimAnswer(await this.clients.get(url).claimKey(toClaimMessage(request), { timeoutMs: request.timeoutMs }))
  }

  override async end (host: string, end: AttemptEnd): Promise<boolean> {
    const url = this.innerUrlOf(host)
    if (url === undefined) return false
    const { takenOn } = await this.clients.get(url).endAttempt(toEndMessage(end), { timeoutMs: END_TIMEOUT_MS })
    return takenOn
  }
}

const END_TIMEOUT_MS = 2000
