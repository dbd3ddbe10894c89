// Guards against requests that a stopping host takes and can't finish, and against refusals of those that it could.
import t from 'tap'
import { RouteKind } from '../config/types.js'
import { endsInTime } from './rest-of-grace.js'
import { RouteDurations } from './route-durations.js'

const LEFT_MS = 4_000

t.test('a request whose time ends before the process does is taken, however long its route takes', async (t) => {
  t.ok(endsInTime({ kind: RouteKind.NonIdempotent, maxMs: 2_500, longestMs: undefined }, LEFT_MS))
  t.ok(endsInTime({ kind: RouteKind.Idempotent, maxMs: LEFT_MS, longestMs: 9_000 }, LEFT_MS))
})

t.test('a request that may last longer is taken where its route answers in half of what is left', async (t) => {
  for (const kind of [RouteKind.Idempotent, RouteKind.NonIdempotent]) {
    t.ok(endsInTime({ kind, maxMs: 12_000, longestMs: 2_000 }, LEFT_MS))
    t.notOk(endsInTime({ kind, maxMs: 12_000, longestMs: 2_001 }, LEFT_MS))
    t.notOk(endsInTime({ kind, maxMs: 12_000, longestMs: undefined }, LEFT_MS))
  }
})

t.test('nothing is taken by a process that is about to end', async (t) => {
  t.notOk(endsInTime({ kind: RouteKind.Idempotent, maxMs: 0, longestMs: 0 }, 0))
})

t.test('no stream is taken late', async (t) => {
  t.notOk(endsInTime({ kind: RouteKind.Stream, maxMs: 1_000, longestMs: 100 }, LEFT_MS))
})

t.test('the longest time of a route is forgotten after two windows', async (t) => {
  const durations = RouteDurations.create()
  t.equal(durations.longestMs('a', 0), undefined)
  durations.add('a', 5_000, 1_000)
  durations.add('a', 40, 2_000)
  t.equal(durations.longestMs('a', 29_000), 5_000)
  t.equal(durations.longestMs('b', 29_000), undefined)
  durations.add('a', 50, 31_000)
  t.equal(durations.longestMs('a', 59_000), 5_000)
  t.equal(durations.longestMs('a', 62_000), 50)
  t.equal(durations.longestMs('a', 200_000), undefined)
})
