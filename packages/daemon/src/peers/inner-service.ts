/** Serves the inner protocol: peers' forwards, state exchange, snapshots, claims, and operators' questions. */
import { Code, ConnectError, type ConnectRouter, type HandlerContext } from '@connectrpc/connect'
import {
  InnerService, isSupportedVersion, PROTOCOL_VERSION,
  type DrainRequest, type ForwardRequest, type SnapshotRequest
} from '@figloom/protocol'
import { ResultCode, SpanKind, startHopSpan, type Clock } from '@figloom/runtime'
import { streamIndexOf, type ClaimStreams, type Membership } from '@figloom/control'
import type { DemandMeter } from '../cells/demand-meter.js'
import type { OperatorView } from '../operators/operator-view.js'
import type { RequestService } from '../requests/request-service.js'
import type { CallerRequest } from '../requests/types.js'
import { AnswerStream } from './answer-stream.js'
import { toAttemptEnd, toClaimRequest, toClaimResponse, toDemandRates, toPeerReport, toPeerState } from './messages.js'

export type InnerServiceOptions = {
  clock: Clock
  requests: RequestService
  membership: Membership
  claims: ClaimStreams
  demand: DemandMeter
  operators: OperatorView
  /** Canonical configuration snapshot, when it is newer. */
  snapshot: (newerThanOffset: number) => { offset: number, snapshot: unknown } | undefined
}

/** Registers the service on a connect router. */
export function registerInnerService (router: ConnectRouter, options: InnerServiceOptions): void {
  const { membership, claims, operators, demand } = options
  router.service(InnerService, {
    forward: (request, context) => forward(options, request, context),
    exchangeState: (request) => {
      requireVersion(request.protocolVersion)
      demand.takePeer(request.host, toDemandRates(request))
      return toPeerState(membership.onExchange(toPeerReport(request)), demand.own)
    },
    getSnapshot: (request) => getSnapshot(options, request),
    claimKey: async (request) => {
      requireVersion(request.protocolVersion)
      return toClaimResponse(await claims.get(streamIndexOf(request.key)).claim(toClaimRequest(request)))
    },
    endAttempt: async (request) => {
      requireVersion(request.protocolVersion)
      return { takenOn: await claims.get(streamIndexOf(request.key)).end(toAttemptEnd(request)) }
    },
    getStatus: () => operators.status(),
    explain: ({ route }) => ({ explanationJson: operators.explain(route) }),
    drain: (request: DrainRequest) => operators.drain(request.target)
  })
}

async function * forward (options: InnerServiceOptions, request: ForwardRequest, context: HandlerContext) {
  requireVersion(request.protocolVersion)
  const answer = AnswerStream.create()
  const served = toForwardedRequest(options.clock, request, context.signal)
  options.requests.serve(served.request, answer).then(() => served.end())
  yield * answer.chunks(context.signal)
}

function toForwardedRequest (clock: Clock, message: ForwardRequest, signal: AbortSignal): { request: CallerRequest, end: () => void } {
  const headers = Object.fromEntries(message.headers.map(({ name, value }) => [name, value]))
  const { span, context } = startHopSpan('forwarded', SpanKind.SERVER, headers)
  const receivedMs = clock.monotonicMs()
  const priority = headers['figloom-priority']
  const request: CallerRequest = {
    id: message.requestId,
    method: message.method,
    path: message.path,
    headers,
    body: Buffer.from(message.body),
    deadlineMs: message.deadlineMs === 0 ? undefined : receivedMs + message.deadlineMs,
    priority: priority === 'interactive' || priority === 'batch' ? priority : undefined,
    receivedMs,
    signal,
    trace: context,
    hops: message.hops
  }
  return { request, end: () => span.end() }
}

function getSnapshot ({ snapshot }: InnerServiceOptions, request: SnapshotRequest) {
  requireVersion(request.protocolVersion)
  const found = snapshot(Number(request.newerThanOffset))
  if (found === undefined) return { protocolVersion: PROTOCOL_VERSION, offset: 0n }
  return {
    protocolVersion: PROTOCOL_VERSION,
    offset: BigInt(found.offset),
    snapshotJson: new Uint8Array(Buffer.from(JSON.stringify(found.snapshot)))
  }
}

/** Answers a peer of a release that is too old with its own code, so that operators see why. */
function requireVersion (version: number): void {
  if (isSupportedVersion(version)) return
  const { code, type } = ResultCode.PeerVersion
  throw new ConnectError(`${code} ${type}: protocol version ${version} is not supported`, Code.FailedPrecondition)
}
