/** Pseudo-random numbers from 0 to 1; the same sequence for the same seed. */
export function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}
