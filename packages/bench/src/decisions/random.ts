/** Seeded random numbers for the replay. */
import prand from 'pure-rand'

/** Returns numbers in [0, 1) that repeat for a seed. */
export function createRandom (seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed)
  return () => (generator.unsafeNext() >>> 0) / 0x1_0000_0000
}

/** A number of events of a Poisson process with this mean. */
export function poisson (mean: number, random: () => number): number {
  if (mean > 50) return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal(random)))
  const limit = Math.exp(-mean)
  let count = 0
  for (let product = random(); product > limit; product *= random()) count += 1
  return count
}

/** A log-normal number with this mean and shape. */
export function logNormal (mean: number, sigma: number, random: () => number): number {
  return mean * Math.exp(sigma * normal(random) - sigma * sigma / 2)
}

function normal (random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
