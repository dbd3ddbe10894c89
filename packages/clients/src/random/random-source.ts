import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { randomInt } from 'node:crypto'

const SEED_LIMIT = 0x7fffffff

/** Source of random numbers; tests pass one with a fixed seed. */
export abstract class RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  abstract nextFraction (): number
}

/** Pseudo-random numbers from a seed, which is itself random by default. */
export class SeededRandomSource extends RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  private constructor (seed: number) {
    super()
    this.#generator = xoroshiro128plus(seed)
  }

  static create (seed: number = randomInt(SEED_LIMIT)): SeededRandomSource {
    return new SeededRandomSource(seed)
  }

  override nextFraction (): number {
    return uniformFloat64(this.#generator)
  }
}
