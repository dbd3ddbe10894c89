/**
 * This host's share of the budget of repeats that all hosts have together. A sliding window counts requests and
 * repeats; the share of the fixed part is divided by the number of hosts, so that no host needs to ask another.
 */

/** Limits that hold over all hosts together. */
export type BudgetLimits = {
  /** Repeats allowed for each request. */
  ratio: number
  /** Repeats allowed besides in one window. */
  slack: number
  windowMs: number
}

/** Part of the limit that this host uses: its window and that of whoever counts may be cut differently. */
const USED_SHARE = 0.6
const BUCKETS = 20

type Bucket = { index: number, requests: number, repeats: number }

/** Window of one service at one host. */
class ServiceWindow {
  #buckets: Bucket[] = []

  count (index: number, field: 'requests' | 'repeats'): void {
    let last = this.#buckets.at(-1)
    if (last === undefined || last.index !== index) {
      last = { index, requests: 0, repeats: 0 }
      this.#buckets.push(last)
    }
    last[field] += 1
  }

  total (index: number, field: 'requests' | 'repeats'): number {
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

  /** Puts other limits into force; what was counted stays counted. */
  setLimits (limits: BudgetLimits): void {
    this.limits = limits
  }

  onRequest (service: string, nowMs: number): void {
    this.#window(service).count(this.#index(nowMs), 'requests')
  }

  /** Takes one repeat; false if this host's share is used up. */
  take (service: string, hostCount: number, nowMs: number): boolean {
    if (!this.mayTake(service, hostCount, nowMs)) return false
    this.#window(service).count(this.#index(nowMs), 'repeats')
    return true
  }

  /** Whether a repeat would be granted now. */
  mayTake (service: string, hostCount: number, nowMs: number): boolean {
    const window = this.#window(service)
    const index = this.#index(nowMs)
    const allowed = USED_SHARE * (this.limits.ratio * window.total(index, 'requests') + this.limits.slack / Math.max(1, hostCount))
    return window.total(index, 'repeats') + 1 <= allowed
  }

  #index (nowMs: number): number {
    return Math.floor(nowMs / (this.limits.windowMs / BUCKETS))
  }

  #window (service: string): ServiceWindow {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const window = new ServiceWindow()
    this.#services.set(service, window)
    return window
  }
}
