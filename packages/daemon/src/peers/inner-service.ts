/** Serves the inner protocol: forwarded requests, state exchange, snapshots, claims, and operators' requests. */
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
  /** Canonical configuration snapshot, or undefined if it is not newer than the offset. */
  snapshot: (newerThanOffset: number) => { offset: number, snapshot: unknown } | undefined
}

/** Registers the service on a Connect router. */
export function registerInnerService (router: ConnectRouter, options: InnerServiceOptions): void {
  const { membership, claims, operators, demand } = options
  router.service(InnerService, {
    forward: (request, context) => forward(options, request, context),
    exchangeState: (request) => {
      requireVersion(request.protocolVersion)
      demand.setPeerRates(request.host, toDemandRates(request))
      return toPeerState(membership.onExchange(toPeerReport(request)), demand.ownRates)
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
  const forwarded = toForwardedRequest(options.clock, request, context.signal)
  options.requests.serve(forwarded.request, answer).then(() => forwarded.end())
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

/** Rejects an unsupported protocol version with a result code of its own, so that operators see the cause. */
function requireVersion (version: number): void {
  if (isSupportedVersion(version)) return
  const { code, type } = ResultCode.PeerVersion
  throw new ConnectError(`${code} ${type}: protocol version ${version} is not supported`, Code.FailedPrecondition)
}
