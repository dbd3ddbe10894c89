/**
 * Requests a second for each model and adapter, and how long they hold a place. Two decaying counts, a fast and a slow
 * one, show where demand is rising, so that loads start before a plain average would show the need.
 */
import type { DemandRate } from '../members/types.js'

type Entry = { service: string, model: string, adapter?: string, fast: number, slow: number, updatedMs: number }

/** Times in which the counts decay to about a third. */
const FAST_MS = 2_000
const SLOW_MS = 6_000
const FORGET_BELOW = 0.02
/** Makes up for the lag of the counts while demand rises: the slow one lags twice as far behind the fast one as that does. */
const TREND_FACTOR = 1
/** Fewer requests than this show no trend. */
const MIN_TREND_COUNT = 3
/** How long a request holds its place while none has been seen to its end. */
const DEFAULT_HOLD_MS = 2_500
const HOLD_WEIGHT = 0.1

export class DemandMeter {
  readonly #entries = new Map<string, Entry>()
  readonly #holdMs = new Map<string, number>()

  private constructor () {}

  static create (): DemandMeter {
    return new DemandMeter()
  }

  count (service: string, model: string, adapter: string | undefined, nowMs: number): void {
    const key = `${service}\n${model}\n${adapter ?? ''}`
    const entry = this.#entries.get(key) ?? { service, model, adapter, fast: 0, slow: 0, updatedMs: nowMs }
    decay(entry, nowMs)
    entry.fast += 1
    entry.slow += 1
    this.#entries.set(key, entry)
  }

  /** Notes how long an answered request held its place. */
  observeHold (service: string, model: string, holdMs: number): void {
    const key = `${service}\n${model}`
    const before = this.#holdMs.get(key) ?? DEFAULT_HOLD_MS
    this.#holdMs.set(key, before + (holdMs - before) * HOLD_WEIGHT)
  }

  /** Demand at this moment; while it rises, without the lag of the counts. */
  rates (nowMs: number): DemandRate[] {
    const rates: DemandRate[] = []
    for (const [key, entry] of this.#entries) {
      decay(entry, nowMs)
      if (entry.slow < FORGET_BELOW) {
        this.#entries.delete(key)
        continue
      }
      const { service, model, adapter } = entry
      rates.push({ service, model, adapter, requestsPerS: currentPerS(entry), holdMs: this.#holdMs.get(`${service}\n${model}`) ?? DEFAULT_HOLD_MS })
    }
    return rates
  }
}

function decay (entry: Entry, nowMs: number): void {
  const elapsedMs = nowMs - entry.updatedMs
  entry.fast *= Math.exp(-elapsedMs / FAST_MS)
  entry.slow *= Math.exp(-elapsedMs / SLOW_MS)
  entry.updatedMs = nowMs
}

function currentPerS (entry: Entry): number {
  const fastPerS = entry.fast / (FAST_MS / 1000)
  const slowPerS = entry.slow / (SLOW_MS / 1000)
  const rises = entry.fast >= MIN_TREND_COUNT && fastPerS > slowPerS
  return rises ? fastPerS + (fastPerS - slowPerS) * TREND_FACTOR : Math.max(fastPerS, slowPerS)
}
