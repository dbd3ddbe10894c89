import t from 'tap'
import fc from 'fast-check'
import { interleavingArbitrary, runInterleaving } from './testing/cell-faults.js'

const SEED = 20_261
const RUNS = 400

t.test('memory and last copies hold in generated interleavings', async (t) => {
  await fc.assert(fc.asyncProperty(interleavingArbitrary, async (interleaving) => {
    const broken = await runInterleaving(interleaving)
    if (broken.length > 0) throw new Error(broken.join('\n'))
  }), { seed: SEED, numRuns: RUNS })
  t.pass(`${RUNS} interleavings`)
})
