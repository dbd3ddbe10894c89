// Guards against records that a host is sent with every report, or never.
import t from 'tap'
import { CrashFacts } from './crash-facts.js'
import type { BegunRecord, EndRecord, FeatureBlock } from './types.js'

const END: EndRecord = { process: 'p', endedMs: 1_000, running: [], inherited: false, requests: [['part']] }
const BLOCK: FeatureBlock = { featureId: 'part', revision: 1, blocked: true, sinceMs: 2_000, trials: 0, reason: 'why' }
const BEGUN: BegunRecord = { featureId: 'other', begunMs: 1_500 }

t.test('a host that knows nothing is sent everything, with ages', async (t) => {
  const facts = CrashFacts.create('list')
  t.same(facts.changesSince(undefined, { ends: [END], begun: [BEGUN], blocks: [BLOCK] }, 3_000), {
    to: { listId: 'list', version: 3 },
    ends: [{ process: 'p', running: [], inherited: false, requests: [['part']], endedAgoMs: 2_000 }],
    begun: [{ featureId: 'other', begunAgoMs: 1_500 }],
    blocks: [{ featureId: 'part', revision: 1, blocked: true, trials: 0, reason: 'why', sinceAgoMs: 1_000 }]
  })
})

t.test('a host that knows everything is sent nothing; then only what changed', async (t) => {
  const facts = CrashFacts.create('list')
  const known = { ends: [END], begun: [], blocks: [BLOCK] }
  const seen = facts.changesSince(undefined, known, 0)?.to
  t.equal(facts.changesSince(seen, known, 0), undefined)
  const changed = { ...known, ends: [{ ...END, running: [], inherited: false, requests: [['part'], ['more']] }] }
  t.match(facts.changesSince(seen, changed, 0), { ends: [{ process: 'p' }], blocks: [] })
})

t.test('a host that knows the records of an earlier incarnation is sent everything', async (t) => {
  const facts = CrashFacts.create('second')
  const update = facts.changesSince({ listId: 'first', version: 9 }, { ends: [END], begun: [], blocks: [BLOCK] }, 0)
  t.equal(update?.ends.length, 1)
  t.equal(update?.blocks.length, 1)
})
