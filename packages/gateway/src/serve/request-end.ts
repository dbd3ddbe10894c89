/** What is counted and written when a request ends. */
import type { RequestLog } from './request-log.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export const ANSWERED = 'answered'

export type RequestEnd = {
  /** `answered`, the type of a failure's code, or how the answer was broken off. */
  result: string
  /** Ordinary words for the log. */
  reason: string
  sendings: number
  /** Runners that may have run the request. */
  runs: number
  /** Monotonic time of the first byte; undefined where none came. */
  firstByteMs: number | undefined
}

export function reportEnd ({ clock, metrics }: ServeContext, { route, arrivedMs }: AcceptedRequest, log: RequestLog, end: RequestEnd): void {
  const { result, reason, sendings, runs, firstByteMs } = end
  const totalMs = clock.monotonicMs() - arrivedMs
  metrics.requests.inc({ route: route.name, result })
  metrics.totalSeconds.observe({ route: route.name }, totalMs / 1000)
  const answered = result === ANSWERED
  log.note(answered ? 'request answered' : 'request not answered', {
    route: route.name,
    result,
    reason,
    sendings,
    runs,
    totalMs: Math.round(totalMs),
    firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs - arrivedMs)
  })
  log.end(!answered)
}
