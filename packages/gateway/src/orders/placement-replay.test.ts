import t from 'tap'
import { planModels } from './plan-models.js'
import { replayPlacement, type Planner, type ReplayResult, type ReplaySpec } from './testing/placement-replay.js'

const SEEDS = [1, 2, 3, 4, 5, 6]

/** Demand that shifts between models within seconds; a load takes longer than a shift. */
const SHIFTING: ReplaySpec = {
  seed: 1,
  models: 34,
  runners: 13,
  resident: 3,
  slots: 32,
  loadMs: 9_000,
  diskLoadMs: 2_400,
  loadsPerS: 2.1,
  busyPerS: 85,
  rarePerS: 4,
  holdMs: 2_200,
  lengthMs: 34_000,
  shiftsMs: [1_000, 14_000, 24_000],
  shiftLengthMs: 6_000
}

const idle: Planner = () => []

function mean (spec: ReplaySpec, planner: Planner, read: (result: ReplayResult) => number): number {
  const results = SEEDS.map((seed) => read(replayPlacement({ ...spec, seed }, planner)))
  return results.reduce((sum, value) => sum + value, 0) / results.length
}

t.test('shifting demand: more requests find a free slot than without any orders', async (t) => {
  const served = (planner: Planner) => mean(SHIFTING, planner, ({ servedShare }) => servedShare)
  t.ok(served(planModels) > served(idle))
})

t.test('shifting demand: at most a tenth of the models, plus one, are never served', async (t) => {
  const neverServed = mean(SHIFTING, planModels, ({ neverServed }) => neverServed)
  t.ok(neverServed <= 1 + SHIFTING.models * 0.1, `${neverServed}`)
})

t.test('few models with many slots: nearly every request finds a free slot', async (t) => {
  const spec = { ...SHIFTING, models: 21, slots: 48, loadMs: 7_000, busyPerS: 75 }
  t.ok(mean(spec, planModels, ({ servedShare }) => servedShare) > 0.97)
})

t.test('loads from the weight store stay within its rate', async (t) => {
  const loads = replayPlacement(SHIFTING, planModels).loads
  t.ok(loads <= (SHIFTING.lengthMs + 6_000) / 1000 * SHIFTING.loadsPerS)
})
