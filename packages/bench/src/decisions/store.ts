/** Fake weight store: full speed up to a number of loads at once, shared beyond it. */
import type { Deployment } from './deployments.js'
import type { Timeline } from './timeline.js'

const MIB_PER_MS = 2

export class Store {
  loading = 0
  adaptersInTransit = 0
  /** Factor by which loads take longer. */
  slowness = 1
  maxLoading = 0
  maxAdapters = 0
  maxStartsPerS = 0
  readonly #starts: number[] = []

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
    const crowding = Math.max(1, this.loading / this.deployment.storeAtOnce)
    this.timeline.after(weightsMiB / MIB_PER_MS * crowding * this.slowness, () => {
      this.loading -= 1
      onLoaded()
    })
  }

  loadAdapter (onLoaded: () => void): void {
    this.adaptersInTransit += 1
    this.maxAdapters = Math.max(this.maxAdapters, this.adaptersInTransit)
    const [low, high] = this.deployment.adapterMs
    const crowding = Math.max(1, this.adaptersInTransit / this.deployment.adaptersInTransit)
    this.timeline.after((low + (high - low) * this.random()) * crowding * this.slowness, () => {
      this.adaptersInTransit -= 1
      onLoaded()
    })
  }

  /** Loads that may start now within both limits. */
  get loadBudget (): number {
    this.#forgetStarts()
    return Math.max(0, Math.min(this.deployment.storeStartsPerS - this.#starts.length, this.deployment.storeAtOnce - this.loading))
  }

  get adapterBudget (): number {
    return Math.max(0, this.deployment.adaptersInTransit - this.adaptersInTransit)
  }

  #countStart (): void {
    this.#forgetStarts()
    this.#starts.push(this.timeline.nowMs)
    this.maxStartsPerS = Math.max(this.maxStartsPerS, this.#starts.length)
  }

  #forgetStarts (): void {
    while (this.#starts.length > 0 && (this.#starts[0] ?? 0) <= this.timeline.nowMs - 1000) this.#starts.shift()
  }
}
