/** Counters and histograms of requests. */
import { Counter, Histogram, type Registry } from '@figloom/runtime'

export type RequestMetrics = {
  requests: Counter<'route' | 'result'>
  retries: Counter<'reason'>
  limitedAttempts: Counter
  passedOver: Counter
  /** Rejections by runners that fail at too many. */
  countedRejections: Counter
  takeUps: Counter<'outcome'>
  firstByteSeconds: Histogram<'route'>
  totalSeconds: Histogram<'route'>
}

const BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.5, 0.75, 1, 2, 4, 8, 16]

export function createRequestMetrics (registry: Registry): RequestMetrics {
  const registers = [registry]
  return {
    requests: new Counter({ name: 'figloom_gateway_requests_total', help: 'Requests that ended, by route and result type.', labelNames: ['route', 'result'], registers }),
    retries: new Counter({ name: 'figloom_gateway_repeats_total', help: 'Sendings of a request beyond its first, by outcome of the one before.', labelNames: ['reason'], registers }),
    limitedAttempts: new Counter({ name: 'figloom_gateway_limited_sendings_total', help: 'Requests sent to runners that name a limit.', registers }),
    passedOver: new Counter({ name: 'figloom_gateway_passed_over_for_limit_total', help: 'Choices of a runner that found no permit under its limit.', registers }),
    countedRejections: new Counter({ name: 'figloom_gateway_counted_rejections_total', help: 'Requests of this host that runners rejected which fail at too many rejections.', registers }),
    takeUps: new Counter({ name: 'figloom_gateway_continued_streams_total', help: 'Requests of callers that continue a stream, by whether it can go on at the version that began it.', labelNames: ['outcome'], registers }),
    firstByteSeconds: new Histogram({ name: 'figloom_gateway_first_byte_seconds', help: 'Time from the request to the first byte of its answer.', labelNames: ['route'], buckets: BUCKETS_S, registers }),
    totalSeconds: new Histogram({ name: 'figloom_gateway_total_seconds', help: 'Time from the request to the end of its answer.', labelNames: ['route'], buckets: BUCKETS_S, registers })
  }
}

/** Counts connections to runners that were closed because the runner sent more data than a valid answer contains. */
export function createOverlongCounter (registry: Registry): Counter {
  return new Counter({ name: 'figloom_gateway_overlong_answers_total', help: 'Connections to runners that were closed since the runner sent without end.', registers: [registry] })
}

export type UnexpectedCloses = Counter<'kind'>

/** Counts connections of callers that this host closed although their callers could still expect an answer or send a request. */
export function createUnexpectedCloseCounter (registry: Registry): UnexpectedCloses {
  const help = 'Connections of callers that this host closed with an answer unfinished, or sooner than their last answer stated.'
  return new Counter({ name: 'figloom_gateway_unexpected_closes_total', help, labelNames: ['kind'], registers: [registry] })
}

/** Counts connections of callers that were closed or not accepted so that the process has descriptors for runners and other hosts. */
export function createRoomCounter (registry: Registry): Counter<'event'> {
  const help = 'Connections of callers that were closed while idle, or not accepted, for lack of descriptors.'
  return new Counter({ name: 'figloom_gateway_connections_without_room_total', help, labelNames: ['event'], registers: [registry] })
}
