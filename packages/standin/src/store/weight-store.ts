import type { Clock } from '@figloom/runtime'

/** Limits of the simulated weight store. */
export type WeightStoreConfig = {
  /** Number of model loads that may start per second; further ones wait. 0 disables the limit. */
  startsPerSecond: number
  /** Number of concurrent model loads that run at full speed. A load that starts above it takes proportionally longer. */
  fullSpeedLoads: number
  /** Number of concurrent adapter loads that run at full speed. One that starts above it takes proportionally longer. */
  fullSpeedAdapters: number
  /** Extra time for each transfer, in milliseconds. */
  delayMs: number
}

const MS_PER_SECOND = 1_000

/** A simulated weight store without its HTTP layer: limits the loads of all engines that share it. */
export class WeightStore {
  readonly config: WeightStoreConfig
  #nextStartMs = -Infinity
  #loads = 0
  #adapters = 0
  /** Statistics for measurements. */
  readonly stats = { loads: 0, adapters: 0, peakLoads: 0, peakAdapters: 0 }

  private constructor (private readonly clock: Clock, config: Partial<WeightStoreConfig>) {
    this.config = { startsPerSecond: 0, fullSpeedLoads: Infinity, fullSpeedAdapters: Infinity, delayMs: 0, ...config }
  }

  static create (options: { clock: Clock, config?: Partial<WeightStoreConfig> }): WeightStore {
    return new WeightStore(options.clock, options.config ?? {})
  }

  /** Transfers weights that take `durationMs` at full speed, then calls `done`. */
  load (durationMs: number, done: () => void): void {
    const waitMs = this.#reserveStart()
    if (waitMs <= 0) return this.#transferWeights(durationMs, done)
    this.clock.setTimer(waitMs, () => this.#transferWeights(durationMs, done))
  }

  /** Transfers an adapter that takes `durationMs` at full speed, then calls `done`. */
  loadAdapter (durationMs: number, done: () => void): void {
    this.#adapters += 1
    this.stats.adapters += 1
    this.stats.peakAdapters = Math.max(this.stats.peakAdapters, this.#adapters)
    const slowdown = Math.max(1, this.#adapters / this.config.fullSpeedAdapters)
    this.clock.setTimer(durationMs * slowdown + this.config.delayMs, () => {
      this.#adapters -= 1
      done()
    })
  }

  #transferWeights (durationMs: number, done: () => void): void {
    this.#loads += 1
    this.stats.loads += 1
    this.stats.peakLoads = Math.max(this.stats.peakLoads, this.#loads)
    const slowdown = Math.max(1, this.#loads / this.config.fullSpeedLoads)
    this.clock.setTimer(durationMs * slowdown + this.config.delayMs, () => {
      this.#loads -= 1
      done()
    })
  }

  /** Reserves the next time at which a load may start; returns the wait until then in milliseconds. */
  #reserveStart (): number {
    if (this.config.startsPerSecond === 0) return 0
    const nowMs = this.clock.monotonicMs()
    const startMs = Math.max(nowMs, this.#nextStartMs)
    this.#nextStartMs = startMs + MS_PER_SECOND / this.config.startsPerSecond
    return startMs - nowMs
  }
}
