/** Seeded random numbers for the replay. */
import prand from 'pure-rand'

/** Returns a generator of numbers in [0, 1); the same seed gives the same sequence. */
export function createRandom (seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed)
  return () => (generator.unsafeNext() >>> 0) / 0x1_0000_0000
}

/** Draws from a Poisson distribution; means above 50 use the normal approximation. */
export function poisson (mean: number, random: () => number): number {
  if (mean > 50) return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal(random)))
  const limit = Math.exp(-mean)
  let count = 0
  for (let product = random(); product > limit; product *= random()) count += 1
  return count
}

/** Draws from a log-normal distribution with the given mean and shape. */
export function logNormal (mean: number, sigma: number, random: () => number): number {
  return mean * Math.exp(sigma * normal(random) - sigma * sigma / 2)
}

function normal (random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
