/** State that a host keeps of one runner, of bounded size. */
import type { ConcurrencyLimit } from '../admission/concurrency-limit.js'
import { RunnerHealth, type HealthState } from '../health/runner-health.js'
import { LatencyModel } from '../load/latency-model.js'
import { RunnerLoad } from '../load/runner-load.js'
import { targetKey, type RunnerInfo, type Target } from '../types.js'

/** State of one runner as a host sees it. */
export type RunnerStatus = { runner: string, health: HealthState, load: number, limit: number, stepMs: number, prefillMsPerToken: number }

export class RunnerState {
  readonly load = RunnerLoad.create()
  readonly health = RunnerHealth.create()
  readonly latency = LatencyModel.create()
  readonly #copyLimits = new Map<string, ConcurrencyLimit>()
  #adapters = new Map<string, ReadonlySet<string>>()

  readonly limit: ConcurrencyLimit

  private constructor (public info: RunnerInfo, private readonly createLimit: () => ConcurrencyLimit) {
    this.limit = createLimit()
    this.update(info)
  }

  static create (info: RunnerInfo, createLimit: () => ConcurrencyLimit): RunnerState {
    return new RunnerState(info, createLimit)
  }

  update (info: RunnerInfo): void {
    this.info = info
    this.#adapters = new Map(info.copies.map((copy) => [targetKey(copy), new Set(copy.adapters)]))
    for (const key of this.#copyLimits.keys()) if (!this.#adapters.has(key)) this.#copyLimits.delete(key)
  }

  /** Concurrency limit of the requests for one model; kept as long as the runner holds the copy. */
  copyLimit (key: string): ConcurrencyLimit {
    const existing = this.#copyLimits.get(key)
    if (existing !== undefined) return existing
    const limit = this.createLimit()
    this.#copyLimits.set(key, limit)
    return limit
  }

  /** Whether the target's model and adapter are resident. */
  holds (target: Target): boolean {
    const adapters = this.#adapters.get(targetKey(target))
    return adapters !== undefined && (target.adapter === undefined || adapters.has(target.adapter))
  }

  status (nowMs: number): RunnerStatus {
    const load = this.load.total(nowMs)
    const { prefillMsPerToken } = this.latency
    return { runner: this.info.name, health: this.health.state(nowMs), load, limit: this.limit.value, stepMs: this.latency.stepMs(load), prefillMsPerToken }
  }
}
