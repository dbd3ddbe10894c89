import t from 'tap'
import { Roster, RosterView } from './roster.js'
import type { HostSummary } from './types.js'

function summary (host: string, changes: Partial<HostSummary> = {}): HostSummary {
  const address = { host, availabilityZone: 'z', callerAddress: `${host}:80`, peerAddress: `${host}:7380`, capacityCores: 1 }
  return { address, incarnation: host, ready: true, leaving: false, relay: false, holdsLease: false, hearsay: false, ...changes }
}

const names = (hosts: Iterable<HostSummary>) => [...hosts].map(({ address }) => address.host).sort()

t.test('only changes are sent to a receiver that follows', async (t) => {
  const roster = Roster.create('list')
  const view = RosterView.create()
  roster.update([summary('a'), summary('b')])
  view.apply(roster.changesSince(view.seen))
  roster.update([summary('a'), summary('b'), summary('c')])
  const update = roster.changesSince(view.seen)
  t.same(names(update.hosts), ['c'])
  view.apply(update)
  t.same(names(view.hosts), ['a', 'b', 'c'])
  t.same(roster.changesSince(view.seen).hosts, [])
})

t.test('hosts that left the list leave the view', async (t) => {
  const roster = Roster.create('list')
  const view = RosterView.create()
  roster.update([summary('a'), summary('b')])
  view.apply(roster.changesSince(view.seen))
  roster.update([summary('a')])
  view.apply(roster.changesSince(view.seen))
  t.same(names(view.hosts), ['a'])
})

t.test('an update that was overtaken is passed over', async (t) => {
  const roster = Roster.create('list')
  const view = RosterView.create()
  roster.update([summary('a')])
  const early = roster.changesSince(undefined)
  roster.update([summary('a', { leaving: true })])
  view.apply(roster.changesSince(undefined))
  view.apply(early)
  t.same([...view.hosts].map(({ leaving }) => leaving), [true])
})

t.test('a list of another life replaces the one before', async (t) => {
  const view = RosterView.create()
  const first = Roster.create('life-1')
  first.update([summary('a'), summary('b')])
  view.apply(first.changesSince(view.seen))
  const second = Roster.create('life-2')
  second.update([summary('c')])
  t.ok(second.changesSince(view.seen).complete)
  view.apply(second.changesSince(view.seen))
  t.same(names(view.hosts), ['c'])
})

t.test('changes of a list that is not known are passed over', async (t) => {
  const roster = Roster.create('list')
  roster.update([summary('a')])
  const seen = roster.changesSince(undefined).to
  roster.update([summary('a'), summary('b')])
  const view = RosterView.create()
  view.apply(roster.changesSince(seen))
  t.same(names(view.hosts), [])
})
