/**
 * Features whose requests are not run. A block ends when an operator lifts it or when a request with the feature is answered
 * after all, which is tried now and then. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import { isRequestKey } from './request-key.js'
import type { FeatureBlock } from './types.js'

/** Time after which a single request is tried; doubles with each trial, as each may cost a runner. */
const TRIAL_MS = 60_000
/** A feature that ended a runner in each of its trials is left to operators: users bear three more sendings at most. */
const MAX_PART_TRIALS = 3
/** One fewer, as a request in use is blocked after more ends. */
const MAX_REQUEST_TRIALS = 2
/** The first trial comes sooner if the block has refused this many requests: one that refuses many may be wrong. */
const EARLY_TRIAL_MS = 3_000
const EARLY_TRIAL_REFUSALS = 10
/** Most blocks and lifted blocks that are kept. */
const MAX_BLOCKS = 512

export class FeatureBlocks {
  readonly #blocks = new Map<string, FeatureBlock>()

  private constructor () {}

  static create (): FeatureBlocks {
    return new FeatureBlocks()
  }

  /** Applies a record of this or another host; returns whether it changes what is in force. */
  apply (block: FeatureBlock): boolean {
    const known = this.#blocks.get(block.featureId)
    if (known !== undefined && !isNewer(block, known)) return false
    this.#blocks.set(block.featureId, block)
    if (this.#blocks.size > MAX_BLOCKS) this.#dropOne()
    return true
  }

  get (featureId: string): FeatureBlock | undefined {
    return this.#blocks.get(featureId)
  }

  isBlocked (featureId: string): boolean {
    return this.#blocks.get(featureId)?.blocked === true
  }

  all (): FeatureBlock[] {
    return [...this.#blocks.values()]
  }

  /** The next revision of a feature's record. */
  next (featureId: string, change: Pick<FeatureBlock, 'blocked' | 'sinceMs' | 'reason'> & { trials?: number }): FeatureBlock {
    const known = this.#blocks.get(featureId)
    return { featureId, revision: (known?.revision ?? 0) + 1, trials: known?.trials ?? 0, ...change }
  }

  /**
   * Whether a request with the feature may be tried in spite of its block.
   * @param refused requests that this host has refused since the block
   */
  isTrialDue (featureId: string, nowMs: number, refused: number): boolean {
    const block = this.#blocks.get(featureId)
    const maxTrials = isRequestKey(featureId) ? MAX_REQUEST_TRIALS : MAX_PART_TRIALS
    if (block === undefined || block.trials >= maxTrials) return false
    const isEarly = block.trials === 0 && refused >= EARLY_TRIAL_REFUSALS
    const delayMs = isEarly ? EARLY_TRIAL_MS : TRIAL_MS * 2 ** block.trials
    return nowMs - block.sinceMs >= delayMs
  }

  /** Lifted blocks are dropped first, then the oldest ones. */
  #dropOne (): void {
    const oldest = this.all().sort((a, b) => Number(a.blocked) - Number(b.blocked) || a.sinceMs - b.sinceMs)[0]
    if (oldest !== undefined) this.#blocks.delete(oldest.featureId)
  }
}

/** Of two records of the same revision, which hosts made independently, the one that blocks is in force. */
function isNewer (block: FeatureBlock, known: FeatureBlock): boolean {
  if (block.revision !== known.revision) return block.revision > known.revision
  return block.blocked && !known.blocked
}
