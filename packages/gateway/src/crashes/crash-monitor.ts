/** Records which requests of this host were at a runner when its process ended: in the log, and in counters. */
import type { Clock, Logger } from '@figloom/runtime'
import type { LocatedRunner } from '../gates/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { CrashMetrics } from './crash-metrics.js'
import { EndDetector } from './end-detector.js'
import type { ListenerProbe, ProcessEnd, SentRequest } from './types.js'

/** Most requests that the log names for one end. */
const MAX_LOGGED_REQUESTS = 12

export type CrashMonitorParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  metrics: CrashMetrics
  probe: ListenerProbe
}

export class CrashMonitor {
  readonly #ends: EndDetector

  private constructor (private readonly parts: CrashMonitorParts) {
    this.#ends = EndDetector.create({ ...parts, onEnd: (end) => this.#onProcessEnd(end) })
  }

  static create (parts: CrashMonitorParts): CrashMonitor {
    return new CrashMonitor(parts)
  }

  /** A request is written to a runner. */
  onSent (runner: LocatedRunner, request: SentRequest): void {
    this.#ends.onSent(runner, request)
  }

  /** A part of the answer to a request was received. */
  onBegun (runner: LocatedRunner, requestId: string): void {
    this.#ends.onBegun(runner, requestId)
  }

  /** A request is no longer at its runner. @param broken its connection broke before the answer was complete */
  onEnded (runner: LocatedRunner, requestId: string, broken: boolean): void {
    this.#ends.onEnded(runner, requestId, broken)
  }

  #onProcessEnd ({ runner, endedMs, requests }: ProcessEnd): void {
    const { instants, log, metrics } = this.parts
    const waiting = requests.filter(({ begun }) => !begun)
    metrics.ends.inc()
    metrics.requestsAtEnds.inc({ begun: 'yes' }, requests.length - waiting.length)
    for (const { attempt } of waiting) metrics.requestsAtEnds.inc({ begun: attempt > 1 ? 'no, sent again' : 'no' })
    log.warn('runner ended with unfinished requests', {
      runner: runner.id,
      address: runner.address,
      startedUnixMs: runner.startedUnixMs,
      endedAgoMs: Math.round(instants.nowMs() - endedMs),
      begun: requests.length - waiting.length,
      notBegun: waiting.length,
      requests: waiting.slice(0, MAX_LOGGED_REQUESTS).map(describe).join('; ')
    })
  }
}

function describe ({ requestId, partIds, attempt }: SentRequest): string {
  return `${requestId} sending ${attempt} parts ${partIds.join(',')}`
}
