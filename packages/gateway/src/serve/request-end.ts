/** Updates metrics and writes the log when a request ends. */
import type { RequestLog } from './request-log.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export const ANSWERED = 'answered'
/** An answer that had begun could not be completed. */
export const BROKEN_OFF = 'broken_off'

export type RequestEnd = {
  /** `answered`, the type of a failure's code, or why the answer could not be completed. */
  result: string
  /** Description for the log. */
  reason: string
  /** Attempts made, including those in which nothing was sent. */
  attempts: number
  /** Attempts in which the request may have run. */
  runs: number
  /** Monotonic time of the answer's first byte; undefined if none was received. */
  firstByteMs: number | undefined
}

export function reportEnd ({ clock, config, durations, metrics }: ServeContext, { route, customer, arrivedMs }: AcceptedRequest, log: RequestLog, end: RequestEnd): void {
  const { result, reason, attempts, runs, firstByteMs } = end
  const nowMs = clock.monotonicMs()
  const totalMs = nowMs - arrivedMs
  if (runs > 0) durations.add(route.name, totalMs, nowMs)
  metrics.requests.inc({ route: route.name, result })
  metrics.totalSeconds.observe({ route: route.name }, totalMs / 1000)
  const answered = result === ANSWERED
  log.note(answered ? 'request answered' : 'request not answered', {
    route: route.name,
    customer: customer?.name,
    result,
    reason,
    sendings: attempts,
    configVersion: config.version,
    runs,
    totalMs: Math.round(totalMs),
    firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs - arrivedMs)
  })
  log.end(!answered)
}
