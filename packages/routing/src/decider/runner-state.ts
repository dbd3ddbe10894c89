/** All that a host knows of one runner; bounded. */
import { ConcurrencyLimit } from '../admission/concurrency-limit.js'
import { RunnerHealth } from '../health/runner-health.js'
import { LatencyModel } from '../load/latency-model.js'
import { RunnerLoad } from '../load/runner-load.js'
import { targetKey, type RunnerInfo, type Target } from '../types.js'

export class RunnerState {
  readonly load = RunnerLoad.create()
  readonly health = RunnerHealth.create()
  readonly latency = LatencyModel.create()
  readonly limit = ConcurrencyLimit.create()
  #adapters = new Map<string, ReadonlySet<string>>()

  private constructor (public info: RunnerInfo) {
    this.update(info)
  }

  static create (info: RunnerInfo): RunnerState {
    return new RunnerState(info)
  }

  update (info: RunnerInfo): void {
    this.info = info
    this.#adapters = new Map(info.copies.map((copy) => [targetKey(copy), new Set(copy.adapters)]))
  }

  /** Whether the target's model and adapter are resident. */
  holds (target: Target): boolean {
    const adapters = this.#adapters.get(targetKey(target))
    return adapters !== undefined && (target.adapter === undefined || adapters.has(target.adapter))
  }
}
