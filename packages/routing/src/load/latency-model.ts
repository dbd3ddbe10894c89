/** Latencies of one runner, learned from its answers. */

const DEFAULT_PREFILL_MS_PER_TOKEN = 0.1
const DEFAULT_STEP_MS = 20
/** Weight that earlier samples keep with each new one. */
const PREFILL_MEMORY = 0.97
const STEP_MEMORY = 0.98
/** Prompt tokens that stand for the default until samples outweigh it. */
const PRIOR_TOKENS = 2_000

/** Prompt time for each token, and time between tokens as a straight line of the load. */
export class LatencyModel {
  #prefillTokens = PRIOR_TOKENS
  #prefillMs = PRIOR_TOKENS * DEFAULT_PREFILL_MS_PER_TOKEN
  #weight = 0
  #load = 0
  #step = 0
  #loadLoad = 0
  #loadStep = 0

  static create (): LatencyModel {
    return new LatencyModel()
  }

  get prefillMsPerToken (): number {
    return this.#prefillMs / this.#prefillTokens
  }

  /** Whether the runner has answered anything yet. */
  get learned (): boolean {
    return this.#weight > 0
  }

  /** Expected time between tokens with `load` requests at the runner. */
  stepMs (load: number): number {
    if (this.#weight === 0) return DEFAULT_STEP_MS
    const meanLoad = this.#load / this.#weight
    const meanStep = this.#step / this.#weight
    const variance = this.#loadLoad / this.#weight - meanLoad ** 2
    const covariance = this.#loadStep / this.#weight - meanLoad * meanStep
    const slope = variance > 1 ? Math.max(0, covariance / variance) : 0
    return Math.max(meanStep / 4, meanStep + slope * (load - meanLoad))
  }

  /** Takes in the time to a first token, less network time, and the prompt tokens ahead of it and its own. */
  onFirstToken (elapsedMs: number, tokens: number): void {
    this.#prefillTokens = this.#prefillTokens * PREFILL_MEMORY + Math.max(1, tokens)
    this.#prefillMs = this.#prefillMs * PREFILL_MEMORY + Math.max(0, elapsedMs)
  }

  /** Takes in the mean time between the tokens of one answer and the load under which it ran. */
  onStep (stepMs: number, load: number): void {
    this.#weight = this.#weight * STEP_MEMORY + 1
    this.#load = this.#load * STEP_MEMORY + load
    this.#step = this.#step * STEP_MEMORY + stepMs
    this.#loadLoad = this.#loadLoad * STEP_MEMORY + load * load
    this.#loadStep = this.#loadStep * STEP_MEMORY + load * stepMs
  }
}
