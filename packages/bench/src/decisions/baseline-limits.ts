/** Concurrency limits that the present one is compared with. */
import { ConcurrencyLimit } from '@figloom/routing'

const DECREASE_INTERVAL_MS = 500

/** The first implementation: after a response that missed its target, falls to nine tenths of the load at that moment. */
export class FirstLimit extends ConcurrencyLimit {
  #limit = 16
  #slowStart = true
  #lastDecreaseMs = -Infinity

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
    if (nowMs - this.#lastDecreaseMs < DECREASE_INTERVAL_MS) return
    this.#lastDecreaseMs = nowMs
    this.#slowStart = false
    this.#limit = Math.max(2, Math.min(this.#limit, Math.max(load, 2)) * 0.9)
  }
}

/** A limit that never adapts. */
export class FixedLimit extends ConcurrencyLimit {
  static create (): FixedLimit {
    return new FixedLimit()
  }

  override get value (): number {
    return 64
  }

  override onSample (): void {}
}
