/** Logs why runners that hold a request's model take no requests. */
import type { ClosedRunner } from '../choose/candidates.js'
import { ClosedBy } from '../gates/types.js'
import { limitFields } from '../limits/limit-fields.js'
import type { RequestLog } from './request-log.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** Most closed runners that the log names for one request, and most leaving ones. */
const MAX_LOGGED_RUNNERS = 3

export function logClosedRunners (context: ServeContext, request: AcceptedRequest, log: RequestLog, closed: readonly ClosedRunner[]): void {
  for (const { id, by, opensInMs } of closed.slice(0, MAX_LOGGED_RUNNERS)) {
    const runner = context.runners.get(id)
    if (runner !== undefined) log.note('runner is closed', { runner: id, by, opensInMs: Math.round(opensInMs), ...limitFields(context.limits, runner.entry) })
  }
  logLeaving(context, request, log)
}

/** Runners that hold the model and are leaving. */
function logLeaving ({ clock, runners }: ServeContext, { service, facts: { model } }: AcceptedRequest, log: RequestLog): void {
  const holders = runners.leaving(service.name).filter((state) => model === undefined || runners.holds(state, model, undefined, clock.monotonicMs()))
  for (const { entry } of holders.slice(0, MAX_LOGGED_RUNNERS)) log.note('runner is closed', { runner: entry.id, by: ClosedBy.Leaving })
}
