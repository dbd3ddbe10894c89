import t from 'tap'
import { MissingCopies } from './missing-copies.js'

const asked = new Map([['a', { nowPlaces: 1, comingPlaces: 1 }]])
const holder = { id: 'r', models: ['a'], busy: false, usedMb: 1, localWeights: [], copyShare: 1 }

t.test('the time without a copy grows until one is there', async (t) => {
  const missing = MissingCopies.create()
  t.equal(missing.update('s', asked, [], 1_000).get('a'), 0)
  t.equal(missing.update('s', asked, [], 3_000).get('a'), 2_000)
  t.equal(missing.update('s', asked, [holder], 4_000).get('a'), undefined)
  t.equal(missing.update('s', asked, [], 5_000).get('a'), 0)
})

t.test('services are kept apart', async (t) => {
  const missing = MissingCopies.create()
  missing.update('s', asked, [], 1_000)
  t.equal(missing.update('other', asked, [], 3_000).get('a'), 0)
  t.equal(missing.update('s', asked, [], 3_000).get('a'), 2_000)
})
