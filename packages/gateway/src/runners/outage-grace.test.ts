import t from 'tap'
import { OutageGrace } from './outage-grace.js'

const PARTS = { freshMs: 1_200, contactMs: 4_000 }

t.test('entries that expired during an outage have time to return', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onReadFailed(4_500)
  grace.onUpdate(1_000, 5_000)
  t.equal(grace.remainingMs(5_100), 1_700)
  t.equal(grace.remainingMs(6_500), 300)
  t.equal(grace.remainingMs(9_000), 0)
})

t.test('a host that only lost its own connection keeps no runner beyond the bound for contact', async (t) => {
  const grace = OutageGrace.create({ freshMs: 1_200, contactMs: 3_000 })
  grace.onReadFailed(4_500)
  grace.onUpdate(1_000, 6_300)
  t.ok(6_300 + grace.remainingMs(6_300) + 200 <= 4_500 + 3_000)
})

t.test('a suspended or stalled host observes no outage', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onReadFailed(900)
  grace.onUpdate(1_000, 9_000)
  t.equal(grace.remainingMs(9_000), 0)
})

t.test('a time in which other hosts read the list for this one is no outage', async (t) => {
  const grace = OutageGrace.create({ freshMs: 3_600, contactMs: 4_000 })
  grace.onReadFailed(4_900)
  grace.onUpdate(1_000, 5_200)
  t.equal(grace.remainingMs(5_300), 0)
})

t.test('the first list does not count as the end of an outage', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onReadFailed(4_500)
  grace.onUpdate(-Infinity, 5_000)
  t.equal(grace.remainingMs(5_000), 0)
})

t.test('updates in close succession do not count as the end of an outage', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onReadFailed(1_800)
  grace.onUpdate(1_000, 2_400)
  t.equal(grace.remainingMs(2_500), 0)
})
