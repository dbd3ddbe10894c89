import t from 'tap'
import { OutageGrace } from './outage-grace.js'

t.test('entries that expired in an outage have time to come back', async (t) => {
  const grace = OutageGrace.create(1_200)
  grace.onKnown(1_000, 5_000, 5_100)
  t.equal(grace.leftMs(5_100), 2_300)
  t.equal(grace.leftMs(7_000), 400)
  t.equal(grace.leftMs(9_000), 0)
})

t.test('a rest is no outage', async (t) => {
  const grace = OutageGrace.create(3_600)
  grace.onKnown(1_000, 5_200, 5_300)
  t.equal(grace.leftMs(5_300), 0)
})

t.test('the first list ends no outage', async (t) => {
  const grace = OutageGrace.create(1_200)
  grace.onKnown(-Infinity, 5_000, 5_000)
  t.equal(grace.leftMs(5_000), 0)
})

t.test('lists that follow each other end no outage', async (t) => {
  const grace = OutageGrace.create(1_200)
  grace.onKnown(1_000, 2_400, 2_500)
  t.equal(grace.leftMs(2_500), 0)
})
