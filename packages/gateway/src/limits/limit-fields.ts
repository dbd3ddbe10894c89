import type { LogFields } from '@figloom/runtime'
import type { LimitControl } from './limit-control.js'
import type { RunnerProcess } from './types.js'

/** Log fields that describe a runner's limits; empty if it has none. */
export function limitFields (limits: LimitControl, runner: RunnerProcess): LogFields {
  const limit = limits.limitOf(runner)
  const rejectionsPerS = limits.rejectionLimitOf(runner)
  const fields = rejectionsPerS === undefined ? {} : { rejectionsPerS }
  return limit === undefined ? fields : { ...fields, limitPerS: limit.requestsPerS, limitFrom: limit.origin, limitHeardAgoMs: Math.round(limit.receivedAgoMs) }
}
