import t from 'tap'
import { Priority } from '@figloom/tables'
import type { RouteRequest } from '../types.js'
import { FairQueue } from './fair-queue.js'

function requestOf (id: string, route: string, deadlineMs: number, priority: Priority = Priority.Interactive): RouteRequest {
  return { id, route, target: { model: 'm', version: '1' }, priority, deadlineMs, betweenTokensTargetMs: 43, promptTokens: 100, prefixHashes: [], idempotent: true }
}

/** Dispatches up to `count` requests and charges the work of each to its route. */
function take (queue: FairQueue, count: number): string[] {
  const taken: string[] = []
  queue.drain((request) => {
    if (taken.length === count) return false
    taken.push(request.id)
    queue.charge(request, 100)
    return true
  })
  return taken
}

t.test('a burst on one route does not starve another route', async (t) => {
  const queue = FairQueue.create()
  for (let n = 0; n < 50; n++) queue.push(requestOf(`burst-${n}`, 'burst', 10))
  for (let n = 0; n < 5; n++) queue.push(requestOf(`calm-${n}`, 'calm', 1_000))
  t.equal(take(queue, 10).filter((id) => id.startsWith('calm')).length, 5)
  t.equal(queue.size, 45)
})

t.test('interactive requests go before batch requests, earlier deadlines first', async (t) => {
  const queue = FairQueue.create()
  queue.push(requestOf('batch', 'menus', 1, Priority.Batch))
  queue.push(requestOf('later', 'allergens', 20))
  queue.push(requestOf('sooner', 'allergens', 10))
  t.same(take(queue, 3), ['sooner', 'later', 'batch'])
})

t.test('a canceled request is removed from the queue', async (t) => {
  const queue = FairQueue.create()
  queue.push(requestOf('a', 'r', 1))
  t.ok(queue.remove('a'))
  t.notOk(queue.remove('a'))
  t.equal(queue.size, 0)
})

t.test('batch requests and requests for other models are not counted ahead of an interactive request', async (t) => {
  const queue = FairQueue.create()
  const other = { ...requestOf('other', 'r', 1), target: { model: 'n', version: '1' } }
  for (const request of [requestOf('batch', 'menus', 1, Priority.Batch), requestOf('a', 'r', 1), other]) queue.push(request)
  t.equal(queue.countAhead(requestOf('new', 'r', 1)), 1)
  t.equal(queue.countAhead(requestOf('new', 'r', 1, Priority.Batch)), 2)
})
