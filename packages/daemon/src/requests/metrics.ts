import { Counter, Gauge, Histogram, type Registry } from '@figloom/runtime'

/** Metrics of the request path. */
export type RequestMetrics = {
  requests: Counter<'kind'>
  failures: Counter<'code'>
  retries: Counter<'kind'>
  foreignAnswers: Counter
  inFlight: Gauge
  firstTokenSeconds: Histogram<'route'>
  forwards: Counter
}

const FIRST_TOKEN_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.2, 0.3, 0.38, 0.5, 1, 2, 5, 15, 60]

/** Registers the metrics of the request path. */
export function createRequestMetrics (registry: Registry): RequestMetrics {
  const registers = [registry]
  return {
    requests: new Counter({ name: 'figloom_requests_total', help: 'Requests of callers by kind', labelNames: ['kind'], registers }),
    failures: new Counter({ name: 'figloom_failures_total', help: 'Requests that ended with a result code', labelNames: ['code'], registers }),
    retries: new Counter({ name: 'figloom_retries_total', help: 'Attempts after the first', labelNames: ['kind'], registers }),
    foreignAnswers: new Counter({ name: 'figloom_foreign_answers_total', help: 'Answers and events dropped because they belong to another attempt', registers }),
    inFlight: new Gauge({ name: 'figloom_requests_in_flight', help: 'Requests of callers and peers in flight', registers }),
    firstTokenSeconds: new Histogram({ name: 'figloom_first_token_seconds', help: 'Time from request to first token', labelNames: ['route'], buckets: FIRST_TOKEN_BUCKETS_SECONDS, registers }),
    forwards: new Counter({ name: 'figloom_forwards_total', help: 'Requests forwarded to a host of their cell', registers })
  }
}
