// Guards against a planner that serves less than none, and against streams that lose the only copy of their model at their version (issue 43).
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

/** Half of the runners are started again at a newer version, as demand stays with the same models. */
const RELEASE: ReplaySpec = {
  ...SHIFTING,
  shiftsMs: [],
  lengthMs: 50_000,
  release: { startMs: 2_000, runners: 7, intervalMs: 1_000, restartMs: 800, settleMs: 15_000 }
}

const withoutVersions: Planner = (input) => planModels({ ...input, isMixed: false })

t.test('beside a release, every model in demand keeps a holder at the version of its streams whichever runner is lost', async (t) => {
  for (const seed of SEEDS) {
    const { atRiskModels } = replayPlacement({ ...RELEASE, seed }, planModels)
    t.same([...atRiskModels], [], `seed ${seed}`)
  }
})

t.test('beside a release, second copies leave the seldom requested models served', async (t) => {
  const neverServed = mean(RELEASE, planModels, ({ neverServed }) => neverServed)
  t.ok(neverServed <= 1 + RELEASE.models * 0.1, `${neverServed}`)
  const served = (planner: Planner) => mean(RELEASE, planner, ({ servedShare }) => servedShare)
  t.ok(served(planModels) >= served(withoutVersions) - 0.02, `${served(planModels)}, without second copies ${served(withoutVersions)}`)
})

t.test('beside a release, fewer streams are at the only holder of their version while demand shifts', async (t) => {
  const spec = { ...RELEASE, shiftsMs: SHIFTING.shiftsMs }
  const atRisk = (planner: Planner) => mean(spec, planner, ({ atRiskShare }) => atRiskShare)
  t.ok(atRisk(planModels) < atRisk(withoutVersions) * 0.75, `${atRisk(planModels)}, without second copies ${atRisk(withoutVersions)}`)
})
