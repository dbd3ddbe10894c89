import type { LogFields } from '@figloom/runtime'
import type { LimitControl } from './limit-control.js'
import type { RunnerProcess } from './types.js'

/** Log fields that describe a runner's limit; empty if it has none. */
export function limitFields (limits: LimitControl, runner: RunnerProcess): LogFields {
  const limit = limits.limitOf(runner)
  return limit === undefined ? {} : { limitPerS: limit.requestsPerS, limitFrom: limit.origin, limitHeardAgoMs: Math.round(limit.receivedAgoMs) }
}
