/**
 * Measures requests per second for each model and adapter as two exponentially decaying averages, a fast and a slow one. Their
 * difference shows whether demand rises or falls. Also measures for how long requests hold a slot of a runner.
 */
import type { DemandRate } from '../members/types.js'

type Counted = { service: string, model: string, adapter?: string, softwareVersion?: string }

type Entry = Counted & { fast: number, slow: number, updatedMs: number }

/** Time constants: the counts decay to 1/e, about a third, in these times. */
export const FAST_MS = 1_000
export const SLOW_MS = 3_000
const FORGET_BELOW = 0.02
/** Averages over less time than this since the first request would be mostly noise. */
const MIN_AGE_MS = 500
/** Assumed time for which a request holds its slot, until one has completed. */
export const DEFAULT_HOLD_MS = 2_500
const HOLD_WEIGHT = 0.1
/** Models and versions of which take-ups are counted: more than a loss of some runners takes, and little in a report. */
const MAX_TAKE_UP_ENTRIES = 32

export class DemandMeter {
  readonly #entries = new Map<string, Entry>()
  readonly #holdMs = new Map<string, number>()
  #firstMs: number | undefined

  private constructor () {}

  static create (): DemandMeter {
    return new DemandMeter()
  }

  count (service: string, model: string, adapter: string | undefined, nowMs: number): void {
    this.#count({ service, model, adapter }, nowMs)
  }

  /** Counts a caller that continues a stream at whose version no runner holds the model. */
  countTakeUp (service: string, model: string, softwareVersion: string, nowMs: number): void {
    const isKnown = this.#entries.has(keyOf({ service, model, softwareVersion }))
    const count = [...this.#entries.values()].filter((entry) => entry.softwareVersion !== undefined).length
    if (isKnown || count < MAX_TAKE_UP_ENTRIES) this.#count({ service, model, softwareVersion }, nowMs)
  }

  #count (counted: Counted, nowMs: number): void {
    this.#firstMs ??= nowMs
    const key = keyOf(counted)
    const entry = this.#entries.get(key) ?? { ...counted, fast: 0, slow: 0, updatedMs: nowMs }
    decay(entry, nowMs)
    entry.fast += 1
    entry.slow += 1
    this.#entries.set(key, entry)
  }

  /** Records for how long an answered request held its slot. */
  observeHold (service: string, model: string, holdMs: number): void {
    const key = `${service}\n${model}`
    const previousMs = this.#holdMs.get(key) ?? DEFAULT_HOLD_MS
    this.#holdMs.set(key, previousMs + (holdMs - previousMs) * HOLD_WEIGHT)
  }

  /** For how long requests of a model hold their slot; undefined until one was answered. */
  holdMs (service: string, model: string): number | undefined {
    return this.#holdMs.get(`${service}\n${model}`)
  }

  rates (nowMs: number): DemandRate[] {
    const ageMs = Math.max(MIN_AGE_MS, nowMs - (this.#firstMs ?? nowMs))
    const rates: DemandRate[] = []
    for (const [key, entry] of this.#entries) {
      decay(entry, nowMs)
      if (entry.slow < FORGET_BELOW) {
        this.#entries.delete(key)
        continue
      }
      const { service, model, adapter, softwareVersion } = entry
      rates.push({
        service,
        model,
        adapter,
        softwareVersion,
        requestsPerS: averagePerS(entry.fast, FAST_MS, ageMs),
        slowRequestsPerS: averagePerS(entry.slow, SLOW_MS, ageMs),
        holdMs: this.#holdMs.get(`${service}\n${model}`) ?? DEFAULT_HOLD_MS
      })
    }
    return rates
  }
}

function keyOf ({ service, model, adapter, softwareVersion }: Counted): string {
  return [service, model, adapter ?? '', softwareVersion ?? ''].join('\n')
}

function decay (entry: Entry, nowMs: number): void {
  const elapsedMs = nowMs - entry.updatedMs
  entry.fast *= Math.exp(-elapsedMs / FAST_MS)
  entry.slow *= Math.exp(-elapsedMs / SLOW_MS)
  entry.updatedMs = nowMs
}

/** Corrects for the time before the first request, which would otherwise make steady demand look as if it was rising. */
function averagePerS (count: number, decayMs: number, ageMs: number): number {
  return count / (decayMs / 1000) / (1 - Math.exp(-ageMs / decayMs))
}
