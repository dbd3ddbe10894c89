/** Simulated weight store: full speed up to a number of concurrent loads; beyond it each load slows down in proportion. */
import type { Deployment } from './deployments.js'
import type { Timeline } from './timeline.js'

const LOAD_MIB_PER_MS = 2

export class Store {
  loading = 0
  adaptersInTransit = 0
  /** Factor by which loads take longer. */
  slowdownFactor = 1
  maxLoading = 0
  maxAdapters = 0
  maxStartsPerS = 0
  readonly #recentStartsMs: number[] = []

  private constructor (
    private readonly deployment: Deployment,
    private readonly timeline: Timeline,
    private readonly random: () => number
  ) {}

  static create (deployment: Deployment, timeline: Timeline, random: () => number): Store {
    return new Store(deployment, timeline, random)
  }

  load (weightsMiB: number, onLoaded: () => void): void {
    this.loading += 1
    this.maxLoading = Math.max(this.maxLoading, this.loading)
    this.#countStart()
    const contention = Math.max(1, this.loading / this.deployment.storeConcurrentLoads)
    this.timeline.runAfter(weightsMiB / LOAD_MIB_PER_MS * contention * this.slowdownFactor, () => {
      this.loading -= 1
      onLoaded()
    })
  }

  loadAdapter (onLoaded: () => void): void {
    this.adaptersInTransit += 1
    this.maxAdapters = Math.max(this.maxAdapters, this.adaptersInTransit)
    const [low, high] = this.deployment.adapterLoadMs
    const contention = Math.max(1, this.adaptersInTransit / this.deployment.maxAdaptersInTransit)
    this.timeline.runAfter((low + (high - low) * this.random()) * contention * this.slowdownFactor, () => {
      this.adaptersInTransit -= 1
      onLoaded()
    })
  }

  /** Loads that may start now within both limits: starts per second and concurrent loads. */
  get loadBudget (): number {
    this.#dropOldStarts()
    return Math.max(0, Math.min(this.deployment.storeLoadStartsPerS - this.#recentStartsMs.length, this.deployment.storeConcurrentLoads - this.loading))
  }

  get adapterBudget (): number {
    return Math.max(0, this.deployment.maxAdaptersInTransit - this.adaptersInTransit)
  }

  #countStart (): void {
    this.#dropOldStarts()
    this.#recentStartsMs.push(this.timeline.nowMs)
    this.maxStartsPerS = Math.max(this.maxStartsPerS, this.#recentStartsMs.length)
  }

  #dropOldStarts (): void {
    while (this.#recentStartsMs.length > 0 && (this.#recentStartsMs[0] ?? 0) <= this.timeline.nowMs - 1000) this.#recentStartsMs.shift()
  }
}
