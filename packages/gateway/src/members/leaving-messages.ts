/** Converts reports on leaving runners to and from messages of the protocol between hosts. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { LeavingReportSchema, LeavingReport as LeavingReportMessage } from '@figloom/protocol'
import type { LeavingReport } from '../gates/types.js'
import { toUnix, toUnixMessage } from './limit-messages.js'

export function toLeavingMessage (report: LeavingReport): MessageInitShape<typeof LeavingReportSchema> {
  return { ...report, startedUnixMs: toUnixMessage(report.startedUnixMs) }
}

export function toLeavingReport ({ runnerId, address, startedUnixMs, origin, heardAgoMs }: LeavingReportMessage): LeavingReport {
  return { runnerId, address, startedUnixMs: toUnix(startedUnixMs), origin, heardAgoMs }
}
