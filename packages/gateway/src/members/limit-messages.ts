/** Converts reports on runners' limits, and permit requests and replies, to and from messages of the protocol between hosts. */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import {
  LimitReportSchema, TakePermitsRequestSchema, TakePermitsResponseSchema,
  type LimitReport as LimitReportMessage, type TakePermitsRequest, type TakePermitsResponse
} from '@figloom/protocol'
import type { LimitReport, PermitReply, PermitRequest } from '../limits/types.js'

export function toLimitMessage (report: LimitReport): MessageInitShape<typeof LimitReportSchema> {
  return { ...report, number: BigInt(report.number), startedUnixMs: toUnixMessage(report.startedUnixMs) }
}

export function toLimitReport (message: LimitReportMessage): LimitReport {
  const { runnerId, startedUnixMs, origin, number, requestsPerS, askedAgoMs, heardAgoMs } = message
  return { runnerId, startedUnixMs: toUnix(startedUnixMs), origin, number: Number(number), requestsPerS, askedAgoMs, heardAgoMs }
}

/** Undefined if there are none, as from hosts of earlier releases. */
export function toRejectionLimitReports (messages: readonly LimitReportMessage[]): LimitReport[] | undefined {
  return messages.length === 0 ? undefined : messages.map(toLimitReport)
}

export function toPermitMessage ({ host, runner, wanted, unpermitted, limitReports, rejectionLimitReports, use }: PermitRequest): TakePermitsRequest {
  return create(TakePermitsRequestSchema, {
    host,
    runnerId: runner.id,
    startedUnixMs: toUnixMessage(runner.startedUnixMs),
    wanted,
    unpermitted,
    limitReports: limitReports.map(toLimitMessage),
    rejectionLimitReports: rejectionLimitReports?.map(toLimitMessage),
    ...(use && { ...use, number: BigInt(use.number) })
  })
}

export function toPermitRequest (message: TakePermitsRequest): PermitRequest {
  const { host, runnerId, startedUnixMs, wanted, unpermitted, limitReports, rejectionLimitReports, incarnation, number, inFlight, rejected } = message
  return {
    host,
    runner: { id: runnerId, startedUnixMs: toUnix(startedUnixMs) },
    wanted,
    unpermitted,
    limitReports: limitReports.map(toLimitReport),
    rejectionLimitReports: toRejectionLimitReports(rejectionLimitReports),
    use: incarnation === '' ? undefined : { incarnation, number: Number(number), inFlight, rejected }
  }
}

export function toPermitReplyMessage ({ granted, retryAfterMs, limitReports, rejectionLimitReports }: PermitReply): TakePermitsResponse {
  return create(TakePermitsResponseSchema, {
    granted,
    retryAfterMs,
    limitReports: limitReports.map(toLimitMessage),
    rejectionLimitReports: rejectionLimitReports?.map(toLimitMessage)
  })
}

export function toPermitReply ({ granted, retryAfterMs, limitReports, rejectionLimitReports }: TakePermitsResponse): PermitReply {
  return { granted, retryAfterMs, limitReports: limitReports.map(toLimitReport), rejectionLimitReports: toRejectionLimitReports(rejectionLimitReports) }
}

export function toUnixMessage (unixMs: number | undefined): bigint | undefined {
  return unixMs === undefined ? undefined : BigInt(unixMs)
}

export function toUnix (unixMs: bigint | undefined): number | undefined {
  return unixMs === undefined ? undefined : Number(unixMs)
}
