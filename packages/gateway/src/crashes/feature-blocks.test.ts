// Guards against blocks that an older record undoes, that never end, or that grow without bound.
import t from 'tap'
import { FeatureBlocks } from './feature-blocks.js'
import type { FeatureBlock } from './types.js'

function block (changes: Partial<FeatureBlock> = {}): FeatureBlock {
  return { featureId: 'part', revision: 1, blocked: true, sinceMs: 0, trials: 0, reason: '', ...changes }
}

t.test('the record with the highest revision is in force, whatever the order of arrival', async (t) => {
  const blocks = FeatureBlocks.create()
  t.ok(blocks.apply(block({ revision: 2, blocked: false })))
  t.notOk(blocks.apply(block({ revision: 1 })))
  t.notOk(blocks.isBlocked('part'))
  t.ok(blocks.apply(block({ revision: 3 })))
  t.ok(blocks.isBlocked('part'))
})

t.test('of two records of the same revision the one that blocks is in force', async (t) => {
  const blocks = FeatureBlocks.create()
  blocks.apply(block({ blocked: false }))
  t.ok(blocks.apply(block()))
  t.notOk(blocks.apply(block({ blocked: false })))
  t.ok(blocks.isBlocked('part'))
})

t.test('a trial is due after a minute, and after twice as long each time, three times in all', async (t) => {
  const blocks = FeatureBlocks.create()
  t.notOk(blocks.isTrialDue('part', 1e9, 0))
  blocks.apply(block())
  t.notOk(blocks.isTrialDue('part', 59_999, 0))
  t.ok(blocks.isTrialDue('part', 60_000, 0))
  blocks.apply(block({ revision: 2, sinceMs: 60_000, trials: 1 }))
  t.notOk(blocks.isTrialDue('part', 179_999, 0))
  t.ok(blocks.isTrialDue('part', 180_000, 0))
  blocks.apply(block({ revision: 3, sinceMs: 0, trials: 2 }))
  t.ok(blocks.isTrialDue('part', 240_000, 0))
  blocks.apply(block({ revision: 4, sinceMs: 0, trials: 3 }))
  t.notOk(blocks.isTrialDue('part', 1e9, 1_000))
})

t.test('the number of blocks is bounded; lifted ones are dropped first', async (t) => {
  const blocks = FeatureBlocks.create()
  blocks.apply(block({ featureId: 'lifted', blocked: false, sinceMs: 1_000 }))
  for (let count = 0; count < 512; count += 1) blocks.apply(block({ featureId: `part-${count}`, sinceMs: count }))
  t.equal(blocks.get('lifted'), undefined)
  t.equal(blocks.all().length, 512)
  blocks.apply(block({ featureId: 'newest', sinceMs: 600 }))
  t.equal(blocks.get('part-0'), undefined)
  t.equal(blocks.all().length, 512)
})

t.test('a block that refuses many requests is tried after three seconds, once', async (t) => {
  const blocks = FeatureBlocks.create()
  blocks.apply(block({}))
  t.notOk(blocks.isTrialDue('part', 59_999, 9))
  t.notOk(blocks.isTrialDue('part', 2_999, 10))
  t.ok(blocks.isTrialDue('part', 3_000, 10))
  blocks.apply(block({ revision: 2, trials: 1 }))
  t.notOk(blocks.isTrialDue('part', 60_000, 1_000))
})
