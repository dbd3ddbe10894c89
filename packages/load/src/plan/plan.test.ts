import t from 'tap'
import { loadSchema, type LoadInput } from '../settings/schema.js'
import { planLoad } from './plan.js'

function plan (input: Partial<LoadInput>) {
  return planLoad(loadSchema.parse({ entries: ['http://127.0.0.1:1'], durationMs: 10_000, route: [{ name: 'a', requestsPerSecond: 20 }], ...input }))
}

t.test('the same seed gives the same plan', async (t) => {
  t.same(plan({ seed: 7 }), plan({ seed: 7 }))
  t.notSame(plan({ seed: 7 }), plan({ seed: 8 }))
})

t.test('arrival rate, order, unique ids and limits', async (t) => {
  const planned = plan({})
  t.ok(planned.length > 150 && planned.length < 250, 'about 200 arrivals')
  t.same(planned.map(({ atMs }) => atMs), planned.map(({ atMs }) => atMs).sort((a, b) => a - b))
  t.equal(new Set(planned.map(({ id }) => id)).size, planned.length)
  t.equal(new Set(planned.map(({ prompt }) => prompt)).size, planned.length)
  t.ok(planned.every(({ prompt, atMs }) => prompt.length === 200 && atMs < 10_000))
  t.equal(plan({ maxRequests: 5, route: [{ name: 'a', requestsPerSecond: 9 }, { name: 'b', requestsPerSecond: 9 }] }).length, 5)
})

t.test('uniform and burst arrivals', async (t) => {
  const route = { name: 'a', requestsPerSecond: 10 }
  t.same(plan({ durationMs: 300, route: [{ ...route, arrivals: 'uniform' }] }).map(({ atMs }) => atMs), [0, 100, 200])
  t.equal(plan({ durationMs: 1_500, route: [{ ...route, arrivals: 'burst' }] }).filter(({ atMs }) => atMs === 1_000).length, 10)
})

t.test('only loopback addresses are accepted', async (t) => {
  for (const url of ['http://127.0.0.1:8', 'http://[::1]:8', 'http://localhost:8']) t.ok(loadSchema.safeParse({ entries: [url], route: [{ name: 'a' }] }).success, url)
  const remote = ['http://192.0.2.1:8', 'http://127.0.0.1.example.org', 'http://example.org', 'ftp://127.0.0.1', 'http://127.0.0.1@example.org', 'http://0.0.0.0:1']
  for (const url of remote) {
    t.notOk(loadSchema.safeParse({ entries: [url], route: [{ name: 'a' }] }).success, url)
    t.notOk(loadSchema.safeParse({ entries: [], route: [{ name: 'a', direct: { url, model: 'm' } }] }).success, url)
    t.notOk(loadSchema.safeParse({ entries: ['http://127.0.0.1:8'], engineStats: [url], route: [{ name: 'a' }] }).success, url)
  }
})
