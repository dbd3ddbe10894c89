import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { lookupHosts } from '../lookup/lookup.js'
import { addressOf as address, CONTACT_MS, HostNetwork, TIMING, type NetworkHost } from '../testing/host-network.js'
import { MemberTable } from './member-table.js'
import type { HostReport, HostSummary } from './types.js'

function report (host: string, changes: Partial<HostSummary> = {}): HostReport {
  const sender = { address: address(host), incarnation: host, ready: true, leaving: false, relay: true, holdsLease: false, hearsay: false, cutOff: false, ...changes }
  return {
    sender,
    number: 1,
    configVersion: 1,
    runnerUses: new Map(),
    demand: [],
    expectedLoads: [],
    lease: { heldBySender: false, fencingToken: 0 },
    sentAt: new Date(0),
    speaksForAll: false,
    limitReports: [],
    leavingReports: [],
    storeEra: 0
  }
}

t.test('hosts discover each other through seeds and other hosts', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = ['a', 'b', 'c', 'd'].map((host) => network.start(host, ['a']))
  await clock.advance(3_000)
  for (const host of hosts) t.equal(network.readyAt(host).length, 3)
})

t.test('hosts whose seeds are all down discover each other through the registry', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const first = network.start('a', ['gone'])
  const second = network.start('b', ['gone'])
  await clock.advance(8_000)
  t.same(network.readyAt(first), ['b'])
  t.same(network.readyAt(second), ['a'])
})

t.test('a host that stops answering is left out of lookups within the silence timeout, and returns when it answers', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const host = network.start('a', ['b'])
  network.start('b', ['a'])
  await clock.advance(2_000)
  network.down.add('b')
  await clock.advance(TIMING.silentMs + 500)
  t.same(network.readyAt(host), [])
  network.down.delete('b')
  await clock.advance(2_000)
  t.same(network.readyAt(host), ['b'])
})

t.test('a host that announces that it leaves is left out of lookups at once', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const host = network.start('a', ['b'])
  const leaving = network.start('b', ['a'])
  await clock.advance(2_000)
  leaving.state.leaving = true
  await leaving.exchanger.reportToRelays()
  t.same(network.readyAt(host), [])
})

t.test('a report that arrives out of order does not bring back a leaving host', async (t) => {
  const members = MemberTable.create('a', TIMING)
  const earlier = { ...report('b'), number: 4 }
  const later = { ...report('b', { leaving: true }), number: 5 }
  t.equal(members.applyReport(later, 1_000, true), true)
  t.equal(members.applyReport(earlier, 1_010, false), false)
  t.same(members.ready(1_100), [])
})

t.test('reports of a restarted host are accepted from its first one on', async (t) => {
  const members = MemberTable.create('a', TIMING)
  members.applyReport({ ...report('b', { leaving: true }), number: 50 }, 1_000, true)
  t.equal(members.applyReport({ ...report('b', { incarnation: 'next' }), number: 1 }, 1_500, true), true)
  t.equal(members.ready(1_600).length, 1)
})

t.test('of many hosts few are relays, and every host knows all others', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(40)
  await clock.advance(4_000)
  for (const host of hosts) t.equal(network.readyAt(host).length, 39)
  t.equal(network.relays().length, 7)
})

t.test('calls between hosts grow with their number, not with its square', async (t) => {
  const clock = ManualClock.create()
  const callsOf = async (count: number) => {
    const network = HostNetwork.create(clock)
    network.startMany(count)
    await clock.advance(5_000)
    const before = network.calls
    await clock.advance(10_000)
    return (network.calls - before) / count
  }
  const few = await callsOf(20)
  const many = await callsOf(80)
  t.ok(many < 2 * few, `${few} calls per host with 20 hosts, ${many} with 80`)
})

t.test('all hosts know within the relayed propagation time that a host leaves', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(30)
  await clock.advance(4_000)
  const leaving = hosts.find(({ exchanger }) => !exchanger.relay)
  if (leaving === undefined) throw new Error('all hosts are relays')
  leaving.state.leaving = true
  leaving.exchanger.reportToRelays()
  await clock.advance(TIMING.relayedPropagationMs)
  const name = network.nameOf(leaving)
  for (const host of hosts.filter((candidate) => candidate !== leaving)) t.notOk(network.readyAt(host).includes(name))
})

t.test('all hosts know within the relayed propagation time that a host is cut off from runners, and that it reaches them again', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(30)
  await clock.advance(4_000)
  const cut = hosts.find(({ exchanger }) => !exchanger.relay)
  if (cut === undefined) throw new Error('all hosts are relays')
  const others = hosts.filter((candidate) => candidate !== cut)
  const connectedAt = ({ members }: NetworkHost) => members.connected(clock.monotonicMs()).map(({ summary }) => summary.address.host)
  for (const cutOff of [true, false]) {
    cut.state.cutOff = cutOff
    cut.exchanger.reportToRelays()
    await clock.advance(TIMING.relayedPropagationMs)
    t.same(others.filter((host) => connectedAt(host).includes(network.nameOf(cut)) === cutOff), [])
    t.same(others.filter((host) => !network.readyAt(host).includes(network.nameOf(cut))), [])
  }
})

t.test('a dead host is left out of all lookups within the contact bound', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(30)
  await clock.advance(4_000)
  const dead = hosts.find(({ exchanger }) => !exchanger.relay)
  if (dead === undefined) throw new Error('all hosts are relays')
  network.kill(dead)
  await clock.advance(CONTACT_MS)
  const name = network.nameOf(dead)
  for (const host of hosts.filter((candidate) => candidate !== dead)) t.notOk(network.readyAt(host).includes(name))
})

t.test('hosts whose relays all died switch to other relays and stay known', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(30)
  await clock.advance(4_000)
  const dead = network.relays()
  for (const relay of dead) network.kill(relay)
  await clock.advance(2 * CONTACT_MS)
  const survivors = hosts.filter((host) => !dead.includes(host))
  for (const host of survivors) t.equal(network.readyAt(host).length, survivors.length - 1)
})

t.test('two halves of a network partition discover each other again after it heals', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(24)
  await clock.advance(4_000)
  for (const host of hosts.slice(12)) network.partitionedHosts.add(network.nameOf(host))
  await clock.advance(10_000)
  for (const host of hosts) t.equal(network.readyAt(host).length, 11)
  network.partitionedHosts.clear()
  await clock.advance(2 * CONTACT_MS)
  for (const host of hosts) t.equal(network.readyAt(host).length, 23)
})

t.test('every host knows the requests in flight of all others, each host counted once', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(30)
  await clock.advance(6_000)
  for (const host of hosts) t.equal(host.usage.othersUses().get('runner'), 29)
})

t.test('the lease holder knows the demand of all others, even if it is no relay by rank', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const hosts = network.startMany(30)
  await clock.advance(4_000)
  const holder = hosts.find(({ exchanger }) => !exchanger.relay)
  if (holder === undefined) throw new Error('all hosts are relays')
  holder.state.lease = { heldBySender: true, fencingToken: 4 }
  await clock.advance(3_000)
  const rates = holder.usage.othersDemand().map(({ requestsPerS }) => requestsPerS)
  t.equal(rates.reduce((sum, rate) => sum + rate, 0), 29)
  const other = hosts.find((host) => host !== holder && !host.exchanger.relay)
  t.equal(other?.members.live(clock.monotonicMs()).find(({ summary }) => summary.holdsLease)?.summary.address.host, network.nameOf(holder))
})

t.test('a host that stopped reporting keeps its share of shared limits for a while', async (t) => {
  const members = MemberTable.create('a', TIMING)
  members.applyReport(report('b'), 0, false)
  t.equal(members.sharingHostCount(5_000), 2)
  t.equal(members.sharingHostCount(60_000), 1)
})

t.test('a lookup returns this host and the ready ones', async (t) => {
  const members = MemberTable.create('a', TIMING)
  members.applyReport(report('b'), 0, false)
  members.applyReport(report('c', { ready: false }), 0, false)
  t.same(lookupHosts({ members, self: 'a', ownAddress: 'a:80', isCutOff: false, nowMs: 100 }), ['a:80', 'b:80'])
  t.same(lookupHosts({ members, self: 'a', ownAddress: undefined, isCutOff: false, nowMs: 100 }), ['b:80'])
  t.same(lookupHosts({ members, self: 'a', ownAddress: 'a:80', isCutOff: false, nowMs: TIMING.silentMs }), ['a:80'])
})

t.test('a lookup leaves out hosts that are cut off from runners, unless all are', async (t) => {
  const members = MemberTable.create('a', TIMING)
  members.applyReport(report('b', { cutOff: true }), 0, false)
  members.applyReport(report('c'), 0, false)
  const lookup = (isCutOff: boolean, nowMs: number) => lookupHosts({ members, self: 'a', ownAddress: 'a:80', isCutOff, nowMs })
  t.same(lookup(false, 100), ['a:80', 'c:80'])
  t.same(lookup(true, 100), ['c:80'])
  members.applyReport({ ...report('c', { cutOff: true }), number: 2 }, 100, false)
  t.same(lookup(false, 200), ['a:80'])
  t.same(lookup(true, 200), ['a:80', 'b:80', 'c:80'])
  t.same(lookup(true, 60_000), ['a:80'])
})

t.test('lookups at different hosts return different subsets when there are too many hosts', async (t) => {
  const answers = ['a', 'b'].map((self) => {
    const members = MemberTable.create(self, TIMING)
    for (let index = 0; index < 80; index += 1) members.applyReport(report(`h${index}`), 0, false)
    return lookupHosts({ members, self, ownAddress: undefined, isCutOff: false, nowMs: 0 })
  })
  t.same(answers.map((addresses) => addresses.length), [64, 64])
  t.not(answers[0]?.sort().join(), answers[1]?.sort().join())
})

t.test('a host counts as restarted for a while, unless it is leaving', async (t) => {
  const members = MemberTable.create('a', TIMING)
  members.applyReport(report('b', { incarnation: 'b-1' }), 0, false)
  t.notOk(members.hasRestartedHost(10))
  members.applyReport(report('b', { incarnation: 'b-2' }), 1_000, false)
  t.ok(members.hasRestartedHost(1_100))
  members.applyReport(report('b', { incarnation: 'b-2', leaving: true }), 1_200, false)
  t.notOk(members.hasRestartedHost(1_300))
  members.applyReport(report('b', { incarnation: 'b-2' }), 90_000, false)
  t.notOk(members.hasRestartedHost(90_100))
})

t.test('a host that the registry may have lost is announced again, at a random time', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const host = network.start('a', [])
  await clock.advance(500)
  t.same(network.registered.map(({ host }) => host), ['a'])
  network.registered.length = 0
  host.exchanger.announceAgain(1_000, () => 0.5)
  await clock.advance(400)
  t.equal(network.registered.length, 0)
  await clock.advance(400)
  t.same(network.registered.map(({ host }) => host), ['a'])
})
