import t from 'tap'
import { ScenarioName } from './demand.js'
import { FRANCHISE, SMALL } from './deployments.js'
import { everyPlacement } from './matrix.js'
import { replaceSection } from './page.js'
import { replay, type ReplayOptions } from './replay.js'
import { NAIVE, PRESENT, versionNamed } from './versions.js'

const OPTIONS: ReplayOptions = { scenario: ScenarioName.Peak, seed: 7, sharedPrefixShare: 0.5, reportLagMs: 250 }

t.test('a replay repeats for its seed', async (t) => {
  t.same(replay(SMALL, PRESENT, OPTIONS), replay(SMALL, PRESENT, OPTIONS))
})

t.test('within a tenth of the best static placement', async (t) => {
  const offline = versionNamed('even static placement')
  const best = Math.max(...everyPlacement().map((placement) => replay(SMALL, offline, { ...OPTIONS, placement }).attainment))
  t.ok(replay(SMALL, PRESENT, OPTIONS).attainment >= 0.9 * best)
})

t.test('a lost zone: every model reachable, memory and limits kept, above naive', async (t) => {
  const options = { ...OPTIONS, scenario: ScenarioName.ZoneLoss }
  const ours = replay(FRANCHISE, PRESENT, options)
  t.equal(ours.reachability, 1)
  t.equal(ours.overcommits, 0)
  t.ok(ours.limits.startsPerS <= FRANCHISE.storeStartsPerS)
  t.ok(ours.limits.loading <= FRANCHISE.storeAtOnce)
  t.ok(ours.limits.adapters <= FRANCHISE.adaptersInTransit)
  t.ok(ours.attainment >= replay(FRANCHISE, NAIVE, options).attainment)
})

t.test('a section of the page is replaced in place', async (t) => {
  const page = replaceSection('# Measurements\n', 'a', 'old')
  t.equal(replaceSection(`${page}after\n`, 'a', 'new'), '# Measurements\n\n<!-- bench:a -->\nnew\n<!-- /bench:a -->\nafter\n')
})
