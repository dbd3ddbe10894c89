import t from 'tap'
import { createHostList, createHostView } from './host-list.js'
import type { HostSummary } from './types.js'

function summary (host: string, changes: Partial<HostSummary> = {}): HostSummary {
  const address = { host, availabilityZone: 'z', callerAddress: `${host}:80`, peerAddress: `${host}:7380`, capacityCores: 1 }
  return { address, incarnation: host, ready: true, leaving: false, relay: false, holdsLease: false, hearsay: false, ...changes }
}

const names = (hosts: Iterable<HostSummary>) => [...hosts].map(({ address }) => address.host).sort()

t.test('only changes are sent to a receiver that follows', async (t) => {
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

t.test('hosts that left the list leave the view', async (t) => {
  const list = createHostList('list')
  const view = createHostView()
  list.update([summary('a'), summary('b')])
  view.apply(list.changesSince(view.seen))
  list.update([summary('a')])
  view.apply(list.changesSince(view.seen))
  t.same(names(view.items), ['a'])
})

t.test('an update that was overtaken is passed over', async (t) => {
  const list = createHostList('list')
  const view = createHostView()
  list.update([summary('a')])
  const early = list.changesSince(undefined)
  list.update([summary('a', { leaving: true })])
  view.apply(list.changesSince(undefined))
  view.apply(early)
  t.same([...view.items].map(({ leaving }) => leaving), [true])
})

t.test('a list of another life replaces the one before', async (t) => {
  const view = createHostView()
  const first = createHostList('life-1')
  first.update([summary('a'), summary('b')])
  view.apply(first.changesSince(view.seen))
  const second = createHostList('life-2')
  second.update([summary('c')])
  t.ok(second.changesSince(view.seen).complete)
  view.apply(second.changesSince(view.seen))
  t.same(names(view.items), ['c'])
})

t.test('changes of a list that is not known are passed over', async (t) => {
  const list = createHostList('list')
  list.update([summary('a')])
  const seen = list.changesSince(undefined).to
  list.update([summary('a'), summary('b')])
  const view = createHostView()
  view.apply(list.changesSince(seen))
  t.same(names(view.items), [])
})
