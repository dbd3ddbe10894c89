/** Rates of one model version on this host; they tell how fast a queue drains. */

const DURATION_WEIGHT = 0.1
const DEFAULT_DURATION_MS = 1_000

export class TargetStats {
  #durationMs = DEFAULT_DURATION_MS

  static create (): TargetStats {
    return new TargetStats()
  }

  onDone (durationMs: number): void {
    this.#durationMs += DURATION_WEIGHT * (durationMs - this.#durationMs)
  }

  /** Expected wait behind `ahead` requests for `slots` places at the runners. */
  expectedWaitMs (ahead: number, slots: number): number {
    return (ahead + 1) * this.#durationMs / Math.max(1, slots)
  }
}
