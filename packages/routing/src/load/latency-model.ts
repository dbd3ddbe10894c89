/** Latencies of one runner, learned from its answers. */

const DEFAULT_PREFILL_MS_PER_TOKEN = 0.1
const DEFAULT_STEP_MS = 20
/** Weight of the newest sample of prompt processing. */
const PREFILL_WEIGHT = 0.1
/** Weight that earlier samples of the time between tokens keep with each new one. */
const STEP_MEMORY = 0.98
const MIN_PREFILL_TOKENS = 16

/** Prompt time for each token, and time between tokens as a straight line of the load. */
export class LatencyModel {
  #prefillMsPerToken = DEFAULT_PREFILL_MS_PER_TOKEN
  #weight = 0
  #load = 0
  #step = 0
  #loadLoad = 0
  #loadStep = 0

  static create (): LatencyModel {
    return new LatencyModel()
  }

  get prefillMsPerToken (): number {
    return this.#prefillMsPerToken
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
    if (tokens < MIN_PREFILL_TOKENS) return
    const sample = Math.max(0, elapsedMs) / tokens
    this.#prefillMsPerToken += PREFILL_WEIGHT * (sample - this.#prefillMsPerToken)
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
