import t from 'tap'
import { createHostList, createHostView } from './host-list.js'
import type { HostSummary } from './types.js'

function summary (host: string, changes: Partial<HostSummary> = {}): HostSummary {
  const address = { host, availabilityZone: 'z', callerAddress: `${host}:80`, peerAddress: `${host}:7380`, capacityCores: 1 }
  return { address, incarnation: host, ready: true, leaving: false, relay: false, holdsLease: false, hearsay: false, cutOff: false, ...changes }
}

const names = (hosts: Iterable<HostSummary>) => [...hosts].map(({ address }) => address.host).sort()

t.test('a receiver that has an earlier version is sent only the changes', async (t) => {
  const list = createHostList('list')
  const view = createHostView()
  list.update([summary('a'), summary('b')])
  view.apply(list.changesSince(view.seen))
  list.update([summary('a'), summary('b'), summary('c')])
  const update = list.changesSince(view.seen)
  t.same(names(update.items), ['c'])
  view.apply(update)
  t.same(names(view.items), ['a', 'b', 'c'])
  t.same(list.changesSince(view.seen).items, [])
})

t.test('hosts that are removed from the list are removed from the view', async (t) => {
  const list = createHostList('list')
  const view = createHostView()
  list.update([summary('a'), summary('b')])
  view.apply(list.changesSince(view.seen))
  list.update([summary('a')])
  view.apply(list.changesSince(view.seen))
  t.same(names(view.items), ['a'])
})

t.test('an update that arrives after a later one is ignored', async (t) => {
  const list = createHostList('list')
  const view = createHostView()
  list.update([summary('a')])
  const earlier = list.changesSince(undefined)
  list.update([summary('a', { leaving: true })])
  view.apply(list.changesSince(undefined))
  view.apply(earlier)
  t.same([...view.items].map(({ leaving }) => leaving), [true])
})

t.test('the list of a new incarnation replaces the earlier list', async (t) => {
  const view = createHostView()
  const first = createHostList('incarnation-1')
  first.update([summary('a'), summary('b')])
  view.apply(first.changesSince(view.seen))
  const second = createHostList('incarnation-2')
  second.update([summary('c')])
  t.ok(second.changesSince(view.seen).complete)
  view.apply(second.changesSince(view.seen))
  t.same(names(view.items), ['c'])
})

t.test('changes to an unknown list are ignored', async (t) => {
  const list = createHostList('list')
  list.update([summary('a')])
  const seen = list.changesSince(undefined).to
  list.update([summary('a'), summary('b')])
  const view = createHostView()
  view.apply(list.changesSince(seen))
  t.same(names(view.items), [])
})
