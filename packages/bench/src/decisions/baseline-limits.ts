/** Earlier and other limits, kept for comparison. */
import { ConcurrencyLimit } from '@figloom/routing'

const DECREASE_INTERVAL_MS = 500

/** The first version: falls to nine tenths of the load of a late answer. */
export class FirstLimit extends ConcurrencyLimit {
  #limit = 16
  #slowStart = true
  #decreasedMs = -Infinity

  static create (): FirstLimit {
    return new FirstLimit()
  }

  override get value (): number {
    return Math.floor(this.#limit)
  }

  override onSample (metTarget: boolean, load: number, nowMs: number): void {
    if (metTarget) {
      if (load >= this.#limit / 2) this.#limit += this.#slowStart ? 0.5 : 1 / this.#limit
      return
    }
    if (nowMs - this.#decreasedMs < DECREASE_INTERVAL_MS) return
    this.#decreasedMs = nowMs
    this.#slowStart = false
    this.#limit = Math.max(2, Math.min(this.#limit, Math.max(load, 2)) * 0.9)
  }
}

/** A fixed number. */
export class FixedLimit extends ConcurrencyLimit {
  static create (): FixedLimit {
    return new FixedLimit()
  }

  override get value (): number {
    return 64
  }

  override onSample (): void {}
}
