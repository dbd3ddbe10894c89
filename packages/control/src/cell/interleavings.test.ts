import t from 'tap'
import fc from 'fast-check'
import { interleavingArbitrary, runInterleaving } from './testing/cell-faults.js'

const SEED = 20_261
const RUNS = 400

t.test('no interleaving overcommits memory or unloads the last copy of a routed model', async (t) => {
  await fc.assert(fc.asyncProperty(interleavingArbitrary, async (interleaving) => {
    const violations = await runInterleaving(interleaving)
    if (violations.length > 0) throw new Error(violations.join('\n'))
  }), { seed: SEED, numRuns: RUNS })
  t.pass(`${RUNS} interleavings`)
})
