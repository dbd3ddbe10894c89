import t from 'tap'
import { OutageGrace } from './outage-grace.js'

const PARTS = { restMs: 1_200, contactMs: 4_000 }

t.test('entries that expired in an outage have time to come back', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onFailed(4_500)
  grace.onKnown(1_000, 5_000)
  t.equal(grace.leftMs(5_100), 1_700)
  t.equal(grace.leftMs(6_500), 300)
  t.equal(grace.leftMs(9_000), 0)
})

t.test('a host whose own path was cut keeps nobody beyond the bound for contact', async (t) => {
  const grace = OutageGrace.create({ restMs: 1_200, contactMs: 3_000 })
  grace.onFailed(4_500)
  grace.onKnown(1_000, 6_300)
  t.ok(6_300 + grace.leftMs(6_300) + 200 <= 4_500 + 3_000)
})

t.test('a host that was suspended or stalled saw no outage', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onFailed(900)
  grace.onKnown(1_000, 9_000)
  t.equal(grace.leftMs(9_000), 0)
})

t.test('a rest is no outage', async (t) => {
  const grace = OutageGrace.create({ restMs: 3_600, contactMs: 4_000 })
  grace.onFailed(4_900)
  grace.onKnown(1_000, 5_200)
  t.equal(grace.leftMs(5_300), 0)
})

t.test('the first list ends no outage', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onFailed(4_500)
  grace.onKnown(-Infinity, 5_000)
  t.equal(grace.leftMs(5_000), 0)
})

t.test('lists that follow each other end no outage', async (t) => {
  const grace = OutageGrace.create(PARTS)
  grace.onFailed(1_800)
  grace.onKnown(1_000, 2_400)
  t.equal(grace.leftMs(2_500), 0)
})
