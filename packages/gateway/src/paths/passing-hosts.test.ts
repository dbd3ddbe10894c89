/** Guards against requests that are passed on to hosts that reach no runners, or that cross availability zones more often than needed. */
import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import type { HostAddress, HostSummary } from '../members/types.js'
import { createRandom } from '../testing/seeded-random.js'
import { PassingHosts } from './passing-hosts.js'

function summary (host: string, changes: Partial<HostSummary> = {}): HostSummary {
  return { address: address(host), incarnation: host, ready: true, leaving: false, relay: true, holdsLease: false, hearsay: false, cutOff: false, ...changes }
}

/** The zone is the first letter of the name. */
function address (host: string): HostAddress {
  return { host, availabilityZone: host.slice(0, 1), callerAddress: `${host}:80`, peerAddress: `${host}:7380`, capacityCores: 1 }
}

function createHosts (clock: ManualClock, live: HostSummary[]): PassingHosts {
  return PassingHosts.create({ clock, self: address('a0'), liveHosts: () => live, random: createRandom(3) })
}

function chosen (hosts: PassingHosts, zone: string): string[] {
  return [...new Set(Array.from({ length: 100 }, () => hosts.pick(zone)?.host ?? 'none'))].sort()
}

t.test('hosts of the runner\'s zone pass requests on, all of them', async (t) => {
  const hosts = createHosts(ManualClock.create(), ['a1', 'b1', 'b2', 'c1'].map((host) => summary(host)))
  t.same(chosen(hosts, 'b'), ['b1', 'b2'])
})

t.test('hosts of the own zone pass requests on after one of them reached a runner', async (t) => {
  const clock = ManualClock.create()
  const hosts = createHosts(clock, ['a1', 'a2', 'b1', 'c1'].map((host) => summary(host)))
  t.same(chosen(hosts, 'a'), ['b1', 'c1'])
  hosts.onProven(address('a1'))
  t.same(chosen(hosts, 'a'), ['a1', 'a2'])
  await clock.advance(6_000)
  t.same(chosen(hosts, 'a'), ['b1', 'c1'])
})

t.test('hosts of the own zone pass requests on where there are no others', async (t) => {
  const hosts = createHosts(ManualClock.create(), [summary('a1')])
  t.same(chosen(hosts, 'a'), ['a1'])
})

t.test('hosts that are cut off, leaving, not ready or only named are left out', async (t) => {
  const live = [summary('b1', { cutOff: true }), summary('b2', { leaving: true }), summary('b3', { ready: false }), summary('b4', { hearsay: true })]
  t.same(chosen(createHosts(ManualClock.create(), live), 'b'), ['none'])
  t.same(chosen(createHosts(ManualClock.create(), [...live, summary('c1')]), 'b'), ['c1'])
})

t.test('a host that failed is left out for a moment', async (t) => {
  const clock = ManualClock.create()
  const hosts = createHosts(clock, [summary('b1'), summary('b2')])
  hosts.onFailed('b1')
  t.same(chosen(hosts, 'b'), ['b2'])
  await clock.advance(1_000)
  t.same(chosen(hosts, 'b'), ['b1', 'b2'])
})

t.test('the hosts that are asked about a runner are of different zones', async (t) => {
  const live = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((host) => summary(host))
  const witnesses = createHosts(ManualClock.create(), live).witnesses('a').map(({ availabilityZone }) => availabilityZone)
  t.equal(witnesses[0], 'a')
  t.not(witnesses[1], 'a')
  t.equal(witnesses.length, 3)
})
