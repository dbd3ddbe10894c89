import t from 'tap'
import { LoadRateLimiter } from './load-rate-limiter.js'

const PLANNING_INTERVAL_MS = 250

/** Loads started in ten seconds by a planner that starts as many as it may, after five seconds without any. */
function loadsIn10S (loadsPerS: number): number {
  const limiter = LoadRateLimiter.create(0)
  let loads = 0
  for (let nowMs = 5_000; nowMs < 15_000; nowMs += PLANNING_INTERVAL_MS) {
    for (let allowed = limiter.available(loadsPerS, nowMs); allowed > 0; allowed -= 1) {
      limiter.recordLoad()
      loads += 1
    }
  }
  return loads
}

t.test('at least 85% of the rate of the weight store is used, and not more than the rate and a burst', async (t) => {
  for (const loadsPerS of [1, 2.1, 13, 40]) {
    const loads = loadsIn10S(loadsPerS)
    t.ok(loads >= 8.5 * loadsPerS, `${loads} loads in 10 s at ${loadsPerS} per second`)
    t.ok(loads <= 10 * loadsPerS + 3, `${loads} loads in 10 s at ${loadsPerS} per second`)
  }
})
