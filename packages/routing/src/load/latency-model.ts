/** Latency model of one runner, fitted to its answers. */

const DEFAULT_PREFILL_MS_PER_TOKEN = 0.1
const DEFAULT_STEP_MS = 20
/** Factor by which the weight of earlier samples decays with each new one. */
const PREFILL_DECAY = 0.97
const STEP_DECAY = 0.98
/** Weight of the default, in prompt tokens, against the samples. */
const PRIOR_TOKENS = 2_000

/** Estimates the processing time of a prompt token, and the time between output tokens as a linear function of the load. */
export class LatencyModel {
  #prefillTokens = PRIOR_TOKENS
  #prefillMs = PRIOR_TOKENS * DEFAULT_PREFILL_MS_PER_TOKEN
  #sampleWeight = 0
  #loadSum = 0
  #stepSum = 0
  #loadSquareSum = 0
  #loadStepSum = 0

  static create (): LatencyModel {
    return new LatencyModel()
  }

  get prefillMsPerToken (): number {
    return this.#prefillMs / this.#prefillTokens
  }

  /** Whether any answer with several tokens has been recorded. */
  get hasSamples (): boolean {
    return this.#sampleWeight > 0
  }

  /** Expected time between output tokens with `load` requests at the runner. */
  stepMs (load: number): number {
    if (this.#sampleWeight === 0) return DEFAULT_STEP_MS
    const meanLoad = this.#loadSum / this.#sampleWeight
    const meanStep = this.#stepSum / this.#sampleWeight
    const variance = this.#loadSquareSum / this.#sampleWeight - meanLoad ** 2
    const covariance = this.#loadStepSum / this.#sampleWeight - meanLoad * meanStep
    const slope = variance > 1 ? Math.max(0, covariance / variance) : 0
    return Math.max(meanStep / 4, meanStep + slope * (load - meanLoad))
  }

  /** Records the time to a first token without network time, and the prompt tokens processed in it: the request's own and those before it. */
  onFirstToken (elapsedMs: number, tokens: number): void {
    this.#prefillTokens = this.#prefillTokens * PREFILL_DECAY + Math.max(1, tokens)
    this.#prefillMs = this.#prefillMs * PREFILL_DECAY + Math.max(0, elapsedMs)
  }

  /** Records the mean time between the tokens of one answer, and the runner's load while it ran. */
  onStep (stepMs: number, load: number): void {
    this.#sampleWeight = this.#sampleWeight * STEP_DECAY + 1
    this.#loadSum = this.#loadSum * STEP_DECAY + load
    this.#stepSum = this.#stepSum * STEP_DECAY + stepMs
    this.#loadSquareSum = this.#loadSquareSum * STEP_DECAY + load * load
    this.#loadStepSum = this.#loadStepSum * STEP_DECAY + load * stepMs
  }
}
