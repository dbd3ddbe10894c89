/** The protocol between hosts over connect-es: the client and the routes of the service. */
import { createClient, type Client, type ConnectRouter } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { GatewayService, type PassOnPart, type PassOnRequest } from '@figloom/protocol'
import { Agent } from 'node:http'
import type { RunnerCheck } from '../crashes/types.js'
import type { PermitReply, PermitRequest } from '../limits/types.js'
import { toCheck, toCheckMessage } from './check-messages.js'
import { toPermitMessage, toPermitReply, toPermitReplyMessage, toPermitRequest } from './limit-messages.js'
import { fromMessage, toMessage } from './report-messages.js'
import { PeerClient, type AdapterReply, type AdapterRequest, type HostReport } from './types.js'

const ADAPTER_TIMEOUT_MS = 1_000
/** Large configurations take up to this long over the slowest links. */
const CONFIG_TIMEOUT_MS = 2_000
/** In the largest deployments the list of all runners takes a few megabytes. */
export const MAX_MESSAGE_BYTES = 16_777_216
/** Keeps idle connections between hosts open over several exchanges. */
const KEEP_ALIVE_MS = 5_000

/** Handles the calls of other hosts. */
export abstract class PeerHandler {
  abstract onReport (report: HostReport): HostReport
  abstract onAdapterRequest (request: AdapterRequest): Promise<AdapterReply>
  abstract onPermitRequest (request: PermitRequest): PermitReply
  /** Returns the configuration in force at this host, in the platform's encoding; empty if there is none. */
  abstract onConfigRequest (): Uint8Array
  /** Checks whether this host reaches a runner's address. */
  abstract onCheckRequest (runnerAddress: string): Promise<RunnerCheck>
  /** Sends a request to a runner for another host; `signal` aborts when that host no longer waits for the answer. */
  abstract onPassOn (request: PassOnRequest, signal: AbortSignal): AsyncIterable<PassOnPart>
}

export function registerPeerService (router: ConnectRouter, handler: PeerHandler): void {
  router.service(GatewayService, {
    exchange: (message) => toMessage(handler.onReport(fromMessage(message))),
    ensureAdapter: (message) => handler.onAdapterRequest(message),
    takePermits: (message) => toPermitReplyMessage(handler.onPermitRequest(toPermitRequest(message))),
    readConfig: () => ({ encoded: handler.onConfigRequest() }),
    checkRunner: async ({ address }) => ({ check: toCheckMessage(await handler.onCheckRequest(address)) }),
    passOn: (message, { signal }) => handler.onPassOn(message, signal)
  })
}

export class ConnectPeerClient extends PeerClient {
  readonly #clients = new Map<string, Client<typeof GatewayService>>()
  readonly #agent = new Agent({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_MS, timeout: KEEP_ALIVE_MS })

  static create (): ConnectPeerClient {
    return new ConnectPeerClient()
  }

  override async exchange (peerAddress: string, report: HostReport, timeoutMs: number): Promise<HostReport> {
    const answer = await this.#client(peerAddress).exchange(toMessage(report), { timeoutMs })
    return fromMessage(answer)
  }

  override async ensureAdapter (peerAddress: string, request: AdapterRequest): Promise<AdapterReply> {
    const answer = await this.#client(peerAddress).ensureAdapter(request, { timeoutMs: ADAPTER_TIMEOUT_MS })
    return { accepted: answer.accepted, readyInMs: answer.readyInMs }
  }

  override async takePermits (peerAddress: string, request: PermitRequest, timeoutMs: number): Promise<PermitReply> {
    return toPermitReply(await this.#client(peerAddress).takePermits(toPermitMessage(request), { timeoutMs }))
  }

  override async readConfig (peerAddress: string): Promise<Uint8Array> {
    const { encoded } = await this.#client(peerAddress).readConfig({}, { timeoutMs: CONFIG_TIMEOUT_MS })
    return encoded
  }

  override async checkRunner (peerAddress: string, runnerAddress: string, timeoutMs: number): Promise<RunnerCheck> {
    const { check } = await this.#client(peerAddress).checkRunner({ address: runnerAddress }, { timeoutMs })
    return toCheck(check)
  }

  #client (peerAddress: string): Client<typeof GatewayService> {
    const known = this.#clients.get(peerAddress)
    if (known !== undefined) return known
    const transport = createConnectTransport({
      baseUrl: `http://${peerAddress}`,
      httpVersion: '1.1',
      useBinaryFormat: true,
      acceptCompression: [],
      readMaxBytes: MAX_MESSAGE_BYTES,
      nodeOptions: { agent: this.#agent }
    })
    const client = createClient(GatewayService, transport)
    this.#clients.set(peerAddress, client)
    return client
  }
}
