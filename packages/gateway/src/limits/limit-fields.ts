import type { LogFields } from '@figloom/runtime'
import type { LimitControl } from './limit-control.js'
import type { RunnerProcess } from './types.js'

/** Fields of log lines for what is known of a runner's limit; none where it names none. */
export function limitFields (limits: LimitControl, runner: RunnerProcess): LogFields {
  const limit = limits.limitOf(runner)
  return limit === undefined ? {} : { limitPerS: limit.requestsPerS, limitFrom: limit.origin, limitHeardAgoMs: Math.round(limit.heardAgoMs) }
}
