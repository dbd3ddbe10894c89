import { build, type Histogram } from 'hdr-histogram-js'
import type { RequestOutcome } from '../caller/types.js'
import type { LoadRoute } from '../settings/schema.js'
import type { Quantiles, RouteReport } from './types.js'

const MICROSECONDS_PER_MS = 1_000
const SIGNIFICANT_DIGITS = 3

/** Counts the outcomes of the requests of one route or of all routes. */
export class RouteTally {
  #sent = 0
  #answered = 0
  #withinTarget = 0
  #partial = 0
  #foreign = 0
  #failedOver = 0
  #replayed = 0
  readonly #refusals: Record<string, number> = {}
  readonly #failures: Record<string, number> = {}
  readonly #firstToken = createHistogram()
  readonly #betweenTokens = createHistogram()
  readonly #answer = createHistogram()

  private constructor (private readonly name: string) {}

  static create (name: string): RouteTally {
    return new RouteTally(name)
  }

  /** Counts a request that was planned for `arrivedAtMs` on the clock. */
  add (route: LoadRoute, arrivedAtMs: number, outcome: RequestOutcome): void {
    const { ending } = outcome
    this.#sent += 1
    if (outcome.failedOver) this.#failedOver += 1
    if (ending.kind === 'answered') this.#addAnswer(route, arrivedAtMs, outcome, ending.replayed)
    if (ending.kind === 'partial') this.#partial += 1
    if (ending.kind === 'foreign') this.#foreign += 1
    if (ending.kind === 'refused') count(this.#refusals, `${ending.code} ${ending.type} ran=${ending.ran}`)
    if (ending.kind === 'failed') count(this.#failures, ending.reason)
    if (ending.kind === 'unreachable') count(this.#failures, 'connection refused')
  }

  report (): RouteReport {
    return {
      name: this.name,
      sent: this.#sent,
      answered: this.#answered,
      withinTarget: this.#withinTarget,
      attainmentRatio: this.#sent === 0 ? 0 : this.#withinTarget / this.#sent,
      refusals: this.#refusals,
      failures: this.#failures,
      partial: this.#partial,
      foreign: this.#foreign,
      movedOn: this.#failedOver,
      replayed: this.#replayed,
      firstToken: toQuantiles(this.#firstToken),
      betweenTokens: toQuantiles(this.#betweenTokens),
      answer: toQuantiles(this.#answer)
    }
  }

  #addAnswer (route: LoadRoute, arrivedAtMs: number, { times }: RequestOutcome, replayed: boolean): void {
    this.#answered += 1
    if (replayed) this.#replayed += 1
    const answerMs = times.endedAtMs - arrivedAtMs
    record(this.#answer, answerMs)
    if (times.firstTokenAtMs === undefined) {
      if (answerMs <= completeAnswerTargetMs(route)) this.#withinTarget += 1
      return
    }
    const firstTokenMs = times.firstTokenAtMs - arrivedAtMs
    const betweenTokensMs = times.tokens < 2 ? 0 : (times.endedAtMs - times.firstTokenAtMs) / (times.tokens - 1)
    record(this.#firstToken, firstTokenMs)
    if (times.tokens >= 2) record(this.#betweenTokens, betweenTokensMs)
    if (firstTokenMs <= route.firstTokenTargetMs && betweenTokensMs <= route.betweenTokensTargetMs) this.#withinTarget += 1
  }
}

/** Latency target of an answer that is not streamed: the answer target of a service, or the sum of the token targets. */
function completeAnswerTargetMs (route: LoadRoute): number {
  if (route.kind === 'service') return route.answerTargetMs
  return route.firstTokenTargetMs + (route.maxTokens - 1) * route.betweenTokensTargetMs
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 'packed', numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

function record (histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(0, Math.round(durationMs * MICROSECONDS_PER_MS)))
}

function toQuantiles (histogram: Histogram): Quantiles {
  const at = (percentile: number) => histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
  return { count: histogram.totalCount, p50Ms: at(50), p95Ms: at(95), p99Ms: at(99), maxMs: at(100) }
}

function count (counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1
}
