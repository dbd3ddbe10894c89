import t from 'tap'
import { MissingCopies } from './missing-copies.js'

const demand = new Map([['a', { currentSlots: 1, forecastSlots: 1 }]])
const holder = { id: 'r', models: ['a'], busy: false, usedMb: 1, localWeights: [], copyShare: 1 }

t.test('the time without a copy grows until a runner holds one', async (t) => {
  const missing = MissingCopies.create()
  t.equal(missing.update('s', demand, [], 1_000).get('a'), 0)
  t.equal(missing.update('s', demand, [], 3_000).get('a'), 2_000)
  t.equal(missing.update('s', demand, [holder], 4_000).get('a'), undefined)
  t.equal(missing.update('s', demand, [], 5_000).get('a'), 0)
})

t.test('each service has its own missing models', async (t) => {
  const missing = MissingCopies.create()
  missing.update('s', demand, [], 1_000)
  t.equal(missing.update('other', demand, [], 3_000).get('a'), 0)
  t.equal(missing.update('s', demand, [], 3_000).get('a'), 2_000)
})
