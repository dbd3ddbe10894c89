/** The protocol between hosts over connect-es: the client and the routes of the service. */
import { createContextKey, type ConnectRouter } from '@connectrpc/connect'
import { GatewayService, type PassOnPart, type PassOnRequest } from '@figloom/protocol'
import { Agent } from 'node:http'
import type { RunnerCheck } from '../crashes/types.js'
import type { PermitReply, PermitRequest } from '../limits/types.js'
import type { TokenReply, TokenRequest } from '../quota/types.js'
import { toCheck, toCheckMessage } from './check-messages.js'
import { toPermitMessage, toPermitReply, toPermitReplyMessage, toPermitRequest } from './limit-messages.js'
import { refusal } from '../pass-on/refusal.js'
import { RefusalReason } from '../pass-on/refusal-reason.js'
import { toTokenMessage, toTokenReplies, toTokenReplyMessage, toTokenRequests } from './quota-messages.js'
import { HostClients } from './host-clients.js'
import { fromMessage, toMessage } from './report-messages.js'
import { PeerClient, type AdapterReply, type AdapterRequest, type HostReport } from './types.js'

const ADAPTER_TIMEOUT_MS = 1_000
/** Large configurations take up to this long over the slowest links. */
const CONFIG_TIMEOUT_MS = 2_000
/** In the largest deployments the list of all runners takes a few megabytes. */
export const MAX_MESSAGE_BYTES = 16_777_216
/** Whether there was memory for the message of a call; if not, the message is empty. */
export const HAS_ROOM = createContextKey(true)
/** Keeps idle connections between hosts open over several exchanges. */
const KEEP_ALIVE_MS = 5_000

/** Handles the calls of other hosts. */
export abstract class PeerHandler {
  abstract onReport (report: HostReport): HostReport
  abstract onAdapterRequest (request: AdapterRequest): Promise<AdapterReply>
  abstract onPermitRequest (request: PermitRequest): PermitReply
  /** @returns one reply for each request, in order */
  abstract onTokenRequests (requests: readonly TokenRequest[]): TokenReply[]
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
    takeTokens: (message) => toTokenReplyMessage(handler.onTokenRequests(toTokenRequests(message))),
    readConfig: () => ({ encoded: handler.onConfigRequest() }),
    checkRunner: async ({ address }) => ({ check: toCheckMessage(await handler.onCheckRequest(address)) }),
    passOn: (message, { signal, values }) => values.get(HAS_ROOM) ? handler.onPassOn(message, signal) : refusal(RefusalReason.Full)
  })
}

export class ConnectPeerClient extends PeerClient {
  readonly #agent = new Agent({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_MS, timeout: KEEP_ALIVE_MS })
  readonly #clients = HostClients.create(this.#agent, MAX_MESSAGE_BYTES)

  static create (): ConnectPeerClient {
    return new ConnectPeerClient()
  }

  override async exchange (peerAddress: string, report: HostReport, timeoutMs: number): Promise<HostReport> {
    const answer = await this.#clients.at(peerAddress).exchange(toMessage(report), { timeoutMs })
    return fromMessage(answer)
  }

  override async ensureAdapter (peerAddress: string, request: AdapterRequest): Promise<AdapterReply> {
    const answer = await this.#clients.at(peerAddress).ensureAdapter(request, { timeoutMs: ADAPTER_TIMEOUT_MS })
    return { accepted: answer.accepted, readyInMs: answer.readyInMs }
  }

  override async takePermits (peerAddress: string, request: PermitRequest, timeoutMs: number): Promise<PermitReply> {
    return toPermitReply(await this.#clients.at(peerAddress).takePermits(toPermitMessage(request), { timeoutMs }))
  }

  override async takeTokens (peerAddress: string, requests: readonly TokenRequest[], timeoutMs: number): Promise<TokenReply[]> {
    return toTokenReplies(await this.#clients.at(peerAddress).takeTokens(toTokenMessage(requests), { timeoutMs }))
  }

  override async readConfig (peerAddress: string): Promise<Uint8Array> {
    const { encoded } = await this.#clients.at(peerAddress).readConfig({}, { timeoutMs: CONFIG_TIMEOUT_MS })
    return encoded
  }

  override async checkRunner (peerAddress: string, runnerAddress: string, timeoutMs: number): Promise<RunnerCheck> {
    const { check } = await this.#clients.at(peerAddress).checkRunner({ address: runnerAddress }, { timeoutMs })
    return toCheck(check)
  }
}
