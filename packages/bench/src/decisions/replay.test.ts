import t from 'tap'
import { ScenarioName } from './demand.js'
import { FRANCHISE, SMALL } from './deployments.js'
import { allPlacements } from './matrix.js'
import { replaceSection } from './page.js'
import { replay, type ReplayOptions } from './replay.js'
import { NAIVE, PRESENT, findVersion } from './versions.js'

const OPTIONS: ReplayOptions = { scenario: ScenarioName.Peak, seed: 7, sharedPrefixShare: 0.5, reportLagMs: 250 }

t.test('two replays with the same seed give the same result', async (t) => {
  t.same(replay(SMALL, PRESENT, OPTIONS), replay(SMALL, PRESENT, OPTIONS))
})

t.test('attainment is at least 90% of the best static placement', async (t) => {
  const staticVersion = findVersion('even static placement')
  const best = Math.max(...allPlacements().map((placement) => replay(SMALL, staticVersion, { ...OPTIONS, placement }).attainment))
  t.ok(replay(SMALL, PRESENT, OPTIONS).attainment >= 0.9 * best)
})

t.test('zone loss: every model stays reachable, memory and store limits hold, attainment is not below naive', async (t) => {
  const options = { ...OPTIONS, scenario: ScenarioName.ZoneLoss }
  const result = replay(FRANCHISE, PRESENT, options)
  t.equal(result.reachability, 1)
  t.equal(result.overcommits, 0)
  t.ok(result.limits.startsPerS <= FRANCHISE.storeLoadStartsPerS)
  t.ok(result.limits.loading <= FRANCHISE.storeConcurrentLoads)
  t.ok(result.limits.adapters <= FRANCHISE.maxAdaptersInTransit)
  t.ok(result.attainment >= replay(FRANCHISE, NAIVE, options).attainment)
})

t.test('replaceSection adds a missing section and replaces an existing one in place', async (t) => {
  const page = replaceSection('# Measurements\n', 'a', 'old')
  t.equal(replaceSection(`${page}after\n`, 'a', 'new'), '# Measurements\n\n<!-- bench:a -->\nnew\n<!-- /bench:a -->\nafter\n')
})
