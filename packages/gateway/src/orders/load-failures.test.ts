// Guards against a model whose load ends its runner and is ordered on one runner after another.
import t from 'tap'
import { LoadFailures } from './load-failures.js'

const none = new Set<string>()

t.test('a model is held back after three ends, and for twice as long after each further one', async (t) => {
  const failures = LoadFailures.create()
  t.same([0, 2_000, 4_000].map((atMs) => failures.onEnd('m', atMs)), [0, 0, 10_000])
  t.equal(failures.maxLoads(none, 13_999).get('m'), 0)
  t.equal(failures.maxLoads(none, 14_000).get('m'), 1)
  t.equal(failures.maxLoads(none, 5_000).get('other'), undefined)
  t.equal(failures.onEnd('m', 20_000), 20_000)
})

t.test('runners that end together count once', async (t) => {
  const failures = LoadFailures.create()
  t.same([0, 100, 200, 300].map((atMs) => failures.onEnd('m', atMs)), [0, 0, 0, 0])
})

t.test('a completed load clears the model', async (t) => {
  const failures = LoadFailures.create()
  for (const atMs of [0, 2_000, 4_000]) failures.onEnd('m', atMs)
  failures.onLoaded('m')
  t.equal(failures.maxLoads(none, 5_000).size, 0)
  t.equal(failures.onEnd('m', 6_000), 0)
})

t.test('after a first end one runner at a time loads the model', async (t) => {
  const failures = LoadFailures.create()
  failures.onEnd('m', 0)
  t.equal(failures.maxLoads(new Set(['m']), 100).get('m'), 0)
  t.equal(failures.maxLoads(none, 100).get('m'), 1)
})
