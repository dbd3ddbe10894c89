/** Translates what hosts tell each other of leaving runners into messages of the inner protocol and back. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { LeavingReportSchema, LeavingReport as LeavingReportMessage } from '@figloom/protocol'
import type { LeavingReport } from '../closures/types.js'
import { toUnix, toUnixMessage } from './limit-messages.js'

export function toLeavingMessage (report: LeavingReport): MessageInitShape<typeof LeavingReportSchema> {
  return { ...report, startedUnixMs: toUnixMessage(report.startedUnixMs) }
}

export function toLeavingReport ({ runnerId, address, startedUnixMs, origin, heardAgoMs }: LeavingReportMessage): LeavingReport {
  return { runnerId, address, startedUnixMs: toUnix(startedUnixMs), origin, heardAgoMs }
}
