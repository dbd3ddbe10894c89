import t from 'tap'
import { LoadPace } from './load-pace.js'

const PLAN_MS = 250

/** Loads started in ten seconds by a planner that starts all it may, after a pause in which none was asked for. */
function loadsIn10S (loadsPerS: number): number {
  const pace = LoadPace.create(0)
  let loads = 0
  for (let nowMs = 5_000; nowMs < 15_000; nowMs += PLAN_MS) {
    for (let free = pace.available(loadsPerS, nowMs); free > 0; free -= 1) {
      pace.onLoad()
      loads += 1
    }
  }
  return loads
}

t.test('most of the rate of the weight store is used, whatever it is', async (t) => {
  for (const loadsPerS of [1, 2.1, 13, 40]) {
    const loads = loadsIn10S(loadsPerS)
    t.ok(loads >= 8.5 * loadsPerS, `${loads} loads at ${loadsPerS} a second`)
    t.ok(loads <= 10 * loadsPerS + 3, `${loads} loads at ${loadsPerS} a second`)
  }
})
