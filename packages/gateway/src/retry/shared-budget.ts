/**
 * This host's share of the retry budget of all hosts. A sliding window counts the requests and retries of each service;
 * the fixed part of the budget is divided by the number of hosts, so that hosts need not coordinate.
 */

/** Limits for all hosts together. */
export type BudgetLimits = {
  /** Retries allowed per request. */
  ratio: number
  /** Retries allowed in one window in addition. */
  slack: number
  windowMs: number
}

/** Part of its share that this host uses: its windows start at other times than those by which the limit is checked. */
const USED_SHARE = 0.6
const BUCKETS = 20

type Bucket = { index: number, requests: number, retries: number }

/** Sliding window of one service on this host. */
class ServiceWindow {
  #buckets: Bucket[] = []

  count (index: number, field: 'requests' | 'retries'): void {
    let last = this.#buckets.at(-1)
    if (last === undefined || last.index !== index) {
      last = { index, requests: 0, retries: 0 }
      this.#buckets.push(last)
    }
    last[field] += 1
  }

  total (index: number, field: 'requests' | 'retries'): number {
    this.#buckets = this.#buckets.filter((bucket) => bucket.index > index - BUCKETS)
    return this.#buckets.reduce((sum, bucket) => sum + bucket[field], 0)
  }
}

export class SharedBudget {
  readonly #services = new Map<string, ServiceWindow>()

  private constructor (private limits: BudgetLimits) {}

  static create (limits: BudgetLimits): SharedBudget {
    return new SharedBudget(limits)
  }

  /** Changes the limits; the counts are kept. */
  setLimits (limits: BudgetLimits): void {
    this.limits = limits
  }

  onRequest (service: string, nowMs: number): void {
    this.#windowOf(service).count(this.#bucketIndex(nowMs), 'requests')
  }

  /** Takes one retry from the budget; false if this host's share is used up. */
  take (service: string, hostCount: number, nowMs: number): boolean {
    if (!this.mayTake(service, hostCount, nowMs)) return false
    this.#windowOf(service).count(this.#bucketIndex(nowMs), 'retries')
    return true
  }

  /** Whether a retry would be allowed now. */
  mayTake (service: string, hostCount: number, nowMs: number): boolean {
    const window = this.#windowOf(service)
    const index = this.#bucketIndex(nowMs)
    const allowed = USED_SHARE * (this.limits.ratio * window.total(index, 'requests') + this.limits.slack / Math.max(1, hostCount))
    return window.total(index, 'retries') + 1 <= allowed
  }

  #bucketIndex (nowMs: number): number {
    return Math.floor(nowMs / (this.limits.windowMs / BUCKETS))
  }

  #windowOf (service: string): ServiceWindow {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const window = new ServiceWindow()
    this.#services.set(service, window)
    return window
  }
}
