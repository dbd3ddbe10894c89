/** Conversions between the messages of the inner protocol and the types of the control package. */
import { create } from '@bufbuild/protobuf'
import {
  ClaimKeyRequestSchema, ClaimKeyResponseSchema, EndAttemptRequestSchema, PeerStateSchema, PROTOCOL_VERSION,
  type ClaimKeyRequest, type ClaimKeyResponse, type EndAttemptRequest, type KeptAnswer as KeptAnswerMessage, type PeerState
} from '@figloom/protocol'
import { TakenReason, type AttemptEnd, type ClaimAnswer, type ClaimRequest, type KeptAnswer, type PeerReport } from '@figloom/control'
import type { DemandRate } from '../cells/demand-meter.js'

/** Converts this host's report and demand to the message that peers exchange. */
export function toPeerState (report: PeerReport, demand: readonly DemandRate[]): PeerState {
  return create(PeerStateSchema, {
    protocolVersion: PROTOCOL_VERSION,
    host: report.host,
    availabilityZone: report.availabilityZone,
    url: report.url,
    innerUrl: report.innerUrl,
    incarnation: report.incarnation,
    leaving: report.leaving,
    configVersion: BigInt(report.configVersion),
    cells: report.cells,
    release: report.release,
    drains: report.drains,
    demand: [...demand],
    runners: report.runners.map(({ reportAgeMs, ...load }) => ({
      ...load, ...(reportAgeMs === undefined ? {} : { reportAgeMs: Math.round(reportAgeMs) })
    }))
  })
}

/** Converts the request rates in a peer's message. */
export function toDemandRates ({ demand }: PeerState): DemandRate[] {
  return demand.map(({ pool, model, version, requestsPerS, runnerMsPerRequest, copyMsPerRequest }) => (
    { pool, model, version, requestsPerS, runnerMsPerRequest, copyMsPerRequest }))
}

/** Converts a peer's message to its report. */
export function toPeerReport (state: PeerState): PeerReport {
  const { host, availabilityZone, url, innerUrl, incarnation, leaving, cells, release } = state
  return {
    host,
    availabilityZone,
    url,
    innerUrl,
    incarnation,
    leaving,
    cells,
    release,
    configVersion: Number(state.configVersion),
    drains: state.drains.map(({ runner, draining, version, by }) => ({ runner, draining, version, by })),
    runners: state.runners.map(({ runner, running, queued, kvUsedMib, inFlightFromSender, reportAgeMs, healthy }) => ({
      runner, running, queued, kvUsedMib, inFlightFromSender, reportAgeMs, healthy
    }))
  }
}

/** Converts a claim to the message that is sent to a claim gateway. */
export function toClaimMessage (request: ClaimRequest): ClaimKeyRequest {
  return create(ClaimKeyRequestSchema, { protocolVersion: PROTOCOL_VERSION, ...request, timeoutMs: Math.max(0, Math.floor(request.timeoutMs)) })
}

/** Converts the message that a claim gateway receives to the claim. */
export function toClaimRequest (message: ClaimKeyRequest): ClaimRequest {
  const { key, fingerprint, attemptId, host, incarnation, timeoutMs } = message
  return { key, fingerprint, attemptId, host, incarnation, timeoutMs }
}

/** Converts a claim gateway's answer to its message. */
export function toClaimResponse (answer: ClaimAnswer): ClaimKeyResponse {
  switch (answer.kind) {
    case 'won': return create(ClaimKeyResponseSchema, { answer: { case: 'won', value: {} } })
    case 'replay': return create(ClaimKeyResponseSchema, { answer: { case: 'replay', value: toKeptMessage(answer.answer) } })
    case 'taken': return create(ClaimKeyResponseSchema, { answer: { case: 'taken', value: { reason: answer.reason } } })
    case 'unavailable': return create(ClaimKeyResponseSchema, { answer: { case: 'unavailable', value: { mayBeAppended: answer.mayBeAppended } } })
  }
}

/** Converts a claim gateway's message. An unknown answer counts as none: the log may or may not contain the claim. */
export function toClaimAnswer ({ answer }: ClaimKeyResponse): ClaimAnswer {
  switch (answer.case) {
    case 'won': return { kind: 'won' }
    case 'replay': return { kind: 'replay', answer: toKeptAnswer(answer.value) }
    case 'taken': return { kind: 'taken', reason: toReason(answer.value.reason) }
    case 'unavailable': return { kind: 'unavailable', mayBeAppended: answer.value.mayBeAppended }
    default: return { kind: 'unavailable', mayBeAppended: true }
  }
}

/** Converts the end of an attempt to the message that is sent to a claim gateway. */
export function toEndMessage (end: AttemptEnd): EndAttemptRequest {
  const answer = end.kind === 'outcome' ? end.answer : undefined
  return create(EndAttemptRequestSchema, {
    protocolVersion: PROTOCOL_VERSION,
    key: end.key,
    attemptId: end.attemptId,
    sent: end.kind === 'outcome',
    ...(answer === undefined ? {} : { answer: toKeptMessage(answer) })
  })
}

/** Converts the message that a claim gateway receives to the end of an attempt. */
export function toAttemptEnd ({ key, attemptId, sent, answer }: EndAttemptRequest): AttemptEnd {
  if (!sent) return { kind: 'void', key, attemptId }
  return answer === undefined ? { kind: 'outcome', key, attemptId } : { kind: 'outcome', key, attemptId, answer: toKeptAnswer(answer) }
}

function toKeptMessage ({ status, headers, bodyBase64 }: KeptAnswer) {
  return { status, headers: headers.map(([name, value]) => ({ name, value })), body: new Uint8Array(Buffer.from(bodyBase64, 'base64')) }
}

function toKeptAnswer ({ status, headers, body }: KeptAnswerMessage): KeptAnswer {
  return { status, headers: headers.map(({ name, value }) => [name, value]), bodyBase64: Buffer.from(body).toString('base64') }
}

/** A reason that this release does not know is treated as `OutcomeUnknown`, the most cautious one. */
function toReason (reason: string): TakenReason {
  return Object.values(TakenReason).find((known) => known === reason) ?? TakenReason.OutcomeUnknown
}
