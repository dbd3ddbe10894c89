/** Requests a second for each model and adapter, from exponentially decaying counts, and how long they hold a place. */
import type { DemandRate } from '../members/types.js'

type Entry = { service: string, model: string, adapter?: string, count: number, updatedMs: number }

/** Time in which a count decays to about a third. */
const DECAY_MS = 4_000
const FORGET_BELOW = 0.02
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
    const entry = this.#entries.get(key) ?? { service, model, adapter, count: 0, updatedMs: nowMs }
    entry.count = decayed(entry, nowMs) + 1
    entry.updatedMs = nowMs
    this.#entries.set(key, entry)
  }

  /** Notes how long an answered request held its place. */
  observeHold (service: string, model: string, holdMs: number): void {
    const key = `${service}\n${model}`
    const before = this.#holdMs.get(key) ?? DEFAULT_HOLD_MS
    this.#holdMs.set(key, before + (holdMs - before) * HOLD_WEIGHT)
  }

  rates (nowMs: number): DemandRate[] {
    const rates: DemandRate[] = []
    for (const [key, entry] of this.#entries) {
      const count = decayed(entry, nowMs)
      if (count < FORGET_BELOW) {
        this.#entries.delete(key)
        continue
      }
      const { service, model, adapter } = entry
      rates.push({ service, model, adapter, requestsPerS: count / (DECAY_MS / 1000), holdMs: this.#holdMs.get(`${service}\n${model}`) ?? DEFAULT_HOLD_MS })
    }
    return rates
  }
}

function decayed (entry: Entry, nowMs: number): number {
  return entry.count * Math.exp(-(nowMs - entry.updatedMs) / DECAY_MS)
}
