/** Requests a second for each model and adapter, from exponentially decaying counts. */

export type TargetRate = { service: string, model: string, adapter?: string, requestsPerS: number }

type Entry = { service: string, model: string, adapter?: string, count: number, updatedMs: number }

/** Time in which a count decays to about a third. */
const DECAY_MS = 4_000
const FORGET_BELOW = 0.02

export class DemandMeter {
  readonly #entries = new Map<string, Entry>()

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

  rates (nowMs: number): TargetRate[] {
    const rates: TargetRate[] = []
    for (const [key, entry] of this.#entries) {
      const count = decayed(entry, nowMs)
      if (count < FORGET_BELOW) {
        this.#entries.delete(key)
        continue
      }
      const { service, model, adapter } = entry
      rates.push({ service, model, adapter, requestsPerS: count / (DECAY_MS / 1000) })
    }
    return rates
  }
}

function decayed (entry: Entry, nowMs: number): number {
  return entry.count * Math.exp(-(nowMs - entry.updatedMs) / DECAY_MS)
}
