/** Logs refusals by quota, at most one line a second for each customer, and calls without an answer, and counts what customers' requests got. */
import { Counter, type Clock, type Logger, type Registry } from '@figloom/runtime'
import type { QuotaTerms, TokenRefusal } from './types.js'

const LOG_INTERVAL_MS = 1_000
/** Customers with a metric of their own; the rest are counted together. */
const MAX_COUNTED_CUSTOMERS = 64
const OTHER_CUSTOMERS = 'others'

export type QuotaMetrics = {
  requests: Counter<'customer' | 'result'>
  calls: Counter<'result'>
}

export function createQuotaMetrics (registry: Registry): QuotaMetrics {
  const registers = [registry]
  return {
    requests: new Counter({ name: 'figloom_gateway_quota_requests_total', help: 'Requests of customers with a quota, by customer and whether the quota admitted them.', labelNames: ['customer', 'result'], registers }),
    calls: new Counter({ name: 'figloom_gateway_quota_calls_total', help: 'Requests for tokens to hosts that allocate them, by result.', labelNames: ['result'], registers })
  }
}

type LoggedCustomer = { loggedMs: number, refused: number }

export class QuotaLog {
  readonly #counted = new Set<string>()
  readonly #logged = new Map<string, LoggedCustomer>()
  #unansweredLoggedMs = -Infinity
  #unanswered = 0

  private constructor (private readonly clock: Clock, private readonly log: Logger, private readonly metrics: QuotaMetrics) {}

  static create (clock: Clock, log: Logger, metrics: QuotaMetrics): QuotaLog {
    return new QuotaLog(clock, log, metrics)
  }

  onAdmitted (customer: string): void {
    this.metrics.requests.inc({ customer: this.#label(customer), result: 'admitted' })
  }

  onRefused (customer: string, terms: QuotaTerms, tokens: number, refusal: TokenRefusal): void {
    this.metrics.requests.inc({ customer: this.#label(customer), result: 'refused' })
    const nowMs = this.clock.monotonicMs()
    const known = this.#logged.get(customer) ?? { loggedMs: -Infinity, refused: 0 }
    this.#logged.set(customer, known)
    known.refused += 1
    if (nowMs - known.loggedMs < LOG_INTERVAL_MS) return
    const { left, leftAgeMs, retryAfterMs, unreachableParts } = refusal
    this.log.warn('requests refused by the quota of their customer', {
      customer,
      limitPerS: terms.ratePerS,
      burst: terms.burst,
      configVersion: terms.version,
      tokens,
      left: rounded(left),
      leftAgeMs: rounded(leftAgeMs),
      retryAfterMs: rounded(retryAfterMs),
      unreachableParts,
      refused: known.refused
    })
    known.loggedMs = nowMs
    known.refused = 0
  }

  onCall (result: 'answered' | 'not the allocator' | 'failed'): void {
    this.metrics.calls.inc({ result })
  }

  onUnreachable (customer: string, allocator: string, error: Error): void {
    this.metrics.calls.inc({ result: 'failed' })
    this.#unanswered += 1
    const nowMs = this.clock.monotonicMs()
    if (nowMs - this.#unansweredLoggedMs < LOG_INTERVAL_MS) return
    this.log.warn('allocator of a quota gave no answer', { customer, allocator, reason: error.message, calls: this.#unanswered })
    this.#unansweredLoggedMs = nowMs
    this.#unanswered = 0
  }

  /** Forgets customers that aren't in use. */
  retain (isUsed: (customer: string) => boolean): void {
    for (const customer of this.#logged.keys()) {
      if (!isUsed(customer)) this.#logged.delete(customer)
    }
  }

  #label (customer: string): string {
    if (this.#counted.has(customer)) return customer
    if (this.#counted.size >= MAX_COUNTED_CUSTOMERS) return OTHER_CUSTOMERS
    this.#counted.add(customer)
    return customer
  }
}

function rounded (value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value)
}
