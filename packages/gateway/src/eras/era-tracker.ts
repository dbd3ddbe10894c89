/**
 * The highest era of the platform's history that this host has heard of, from the platform's answers or from other hosts. It
 * never falls: whatever belongs to a lower era is out of date.
 */
import type { Logger } from '@figloom/runtime'

/** An era that rises by more than this at once is taken for damaged data. */
const MAX_RISE = 1_000
/** Keeps positions exact; see position.ts. */
const MAX_ERA = 100_000

export type EraListener = (era: number, before: number) => void

export class EraTracker {
  readonly #listeners: EraListener[] = []
  #current: number | undefined
  #rises = 0
  #lastRejected: number | undefined

  private constructor (private readonly log: Logger) {}

  static create (log: Logger): EraTracker {
    return new EraTracker(log)
  }

  /** 0 until an era is known: a platform that never rewinds may name none. */
  get current (): number {
    return this.#current ?? 0
  }

  /** How often the era has risen while this process ran. */
  get rises (): number {
    return this.#rises
  }

  /** Calls the listener after each rise, but not for the first era that this host hears of. */
  onRise (listener: EraListener): void {
    this.#listeners.push(listener)
  }

  /** Records an era that an answer or another host names; returns whether it is the highest one known. */
  observe (era: number, from: string): boolean {
    const before = this.#current
    if (before === era) return true
    if (!this.#isPlausible(era)) return this.#reject(era, from)
    if (before !== undefined && era < before) return false
    this.#current = era
    if (before === undefined) return true
    this.#rises += 1
    this.log.warn('the store came back from an older copy', { era, before, from })
    for (const listener of this.#listeners) listener(era, before)
    return true
  }

  #isPlausible (era: number): boolean {
    const isValid = Number.isInteger(era) && era >= 0 && era <= MAX_ERA
    return isValid && (this.#current === undefined || era - this.#current <= MAX_RISE)
  }

  #reject (era: number, from: string): boolean {
    if (this.#lastRejected !== era) this.log.warn('era of the store is implausible and ignored', { era, known: this.#current, from })
    this.#lastRejected = era
    return false
  }
}
