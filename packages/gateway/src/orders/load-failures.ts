/**
 * Holds back loads of a model whose load ends one runner after another. Load pattern: a model without a copy, which the planner
 * would otherwise order on each runner in turn. Pure state; times are monotonic milliseconds.
 */

/** Ends after which the model is held back; fewer may have other reasons. */
const MIN_ENDS = 3
/** Runners that end together have one cause. The list of runners shows ends at intervals of about this length. */
const SAME_CAUSE_MS = 1_000
/** Time for which a model is held back; doubles with each further end. */
const HOLD_MS = 10_000
const MAX_HOLD_MS = 600_000

type Failures = { ends: number, lastEndMs: number, heldUntilMs: number }

export class LoadFailures {
  readonly #failures = new Map<string, Failures>()

  private constructor () {}

  static create (): LoadFailures {
    return new LoadFailures()
  }

  /** A runner ended while it loaded the model. Returns for how long the model is held back; 0 if it isn't. */
  onEnd (model: string, nowMs: number): number {
    const known = this.#failures.get(model) ?? { ends: 0, lastEndMs: -Infinity, heldUntilMs: -Infinity }
    if (nowMs - known.lastEndMs < SAME_CAUSE_MS) return 0
    const ends = known.ends + 1
    const holdMs = ends < MIN_ENDS ? 0 : Math.min(MAX_HOLD_MS, HOLD_MS * 2 ** (ends - MIN_ENDS))
    this.#failures.set(model, { ends, lastEndMs: nowMs, heldUntilMs: nowMs + holdMs })
    return holdMs
  }

  /** A runner has loaded the model. */
  onLoaded (model: string): void {
    this.#failures.delete(model)
  }

  /**
   * Loads that may start now, of models whose loads have ended runners: none while a model is held back, otherwise one at a time.
   * @param loading models that runners load now
   */
  maxLoads (loading: ReadonlySet<string>, nowMs: number): Map<string, number> {
    return new Map([...this.#failures].map(([model, { heldUntilMs }]) => [model, loading.has(model) || nowMs < heldUntilMs ? 0 : 1]))
  }
}
