import t from 'tap'
import { okAsync } from 'neverthrow'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { HostListClient, type ListedHost } from '@figloom/clients'
import { allowedWork } from './allowed-work.js'
import { assignHosts, cellsOfHost, neighborsOf } from './assignment.js'
import { lookupHosts } from './lookup.js'
import { Membership, PeerExchange } from './membership.js'
import { applyHostList, applyPeerReport, createMembershipState, isDraining, viewAt } from './membership-state.js'
import { RunnerHealth } from './runner-health.js'
import { DEFAULT_MEMBERSHIP_TIMES as times, type PeerReport } from './types.js'

const zones = ['norte-a', 'norte-b', 'norte-c']

function reportOf (host: string, change: Partial<PeerReport> = {}): PeerReport {
  const availabilityZone = zones[(host.charCodeAt(host.length - 1)) % 3] as string
  const addresses = { url: `http://${host}`, innerUrl: `inner-${host}` }
  const own = { host, availabilityZone, ...addresses, incarnation: '1', leaving: false, configVersion: 0 }
  return { ...own, runners: [], drains: [], cells: [], release: 'r1', ...change }
}

function listedOf (host: string, state: ListedHost['state'] = 'live'): ListedHost {
  const { url, innerUrl, availabilityZone } = reportOf(host)
  return { name: host, url, innerUrl, availabilityZone, state }
}

class Network extends PeerExchange {
  readonly members = new Map<string, Membership>()
  readonly disconnected = new Set<string>()

  exchanges = 0

  override async exchange (innerUrl: string, report: PeerReport): Promise<PeerReport | undefined> {
    this.exchanges += 1
    const host = innerUrl.replace('inner-', '')
    if (this.disconnected.has(host) || this.disconnected.has(report.host)) return undefined
    if (this.disconnected.has(`${host}-${report.host}`) || this.disconnected.has(`${report.host}-${host}`)) return undefined
    return this.members.get(host)?.onExchange(report)
  }
}

class FixedList extends HostListClient {
  constructor (public hosts: ListedHost[]) { super() }
  reads = 0
  override list () {
    this.reads += 1
    return okAsync(this.hosts)
  }
}

function setUp (names = ['h1', 'h2', 'h3']) {
  const clock = ManualClock.create()
  const network = new Network()
  const hostList = new FixedList(names.map((name) => listedOf(name)))
  const start = (name: string) => {
    const member = Membership.create({ clock, logger: silentLogger, hostList, exchange: network, self: reportOf(name) })
    network.members.set(name, member)
    member.start()
    return member
  }
  const members = names.map(start)
  return { clock, network, hostList, members, first: members[0] as Membership, second: members[1] as Membership }
}

const livenessAt = (member: Membership, host: string) => member.view().hosts.find((view) => view.host === host)?.liveness

t.test('a host without reports becomes suspect, then dead, and live again with the next report', async (t) => {
  const { clock, network, first } = setUp()
  await clock.advance(3000)
  t.equal(livenessAt(first, 'h2'), 'live')
  network.disconnected.add('h2')
  await clock.advance(times.suspectAfterMs + times.heartbeatMs)
  t.equal(livenessAt(first, 'h2'), 'suspect')
  t.notOk(lookupHosts(first.view(), {}).some(({ host }) => host === 'h2'))
  await clock.advance(times.removeAfterMs)
  t.equal(livenessAt(first, 'h2'), 'dead')
  network.disconnected.delete('h2')
  await clock.advance(2000)
  t.equal(livenessAt(first, 'h2'), 'live')
})

t.test('each pair of hosts exchanges reports once in a heartbeat interval', async (t) => {
  const { clock, network } = setUp()
  await clock.advance(2500)
  const before = network.exchanges
  await clock.advance(10 * times.heartbeatMs)
  t.ok(network.exchanges - before <= 33, `${network.exchanges - before} exchanges of three pairs`)
})

t.test('neighbors are the hosts that share a cell', (t) => {
  const hosts = Array.from({ length: 240 }, (_, n) => ({ host: `host-${n}`, availabilityZone: `zone-${n % 3}` }))
  const [first] = assignHosts('cell-1', hosts)
  const neighbors = neighborsOf(first?.host ?? '', ['cell-1', 'cell-2'], hosts)
  t.equal(neighbors.length, 5)
  t.notOk(neighbors.includes(first?.host ?? ''))
  t.end()
})

t.test('a host that leaves is out of lookups within 5 s, even if the list still has it as live', async (t) => {
  const { clock, first, second } = setUp()
  await clock.advance(3000)
  second.leave()
  await clock.advance(5000)
  t.notOk(lookupHosts(first.view(), {}).some(({ host }) => host === 'h2'))
  t.notOk(allowedWork(second.view(), true).serve)
})

t.test('a host that is leaving only by the list is out of lookups', async (t) => {
  const { clock, hostList, first } = setUp()
  await clock.advance(3000)
  hostList.hosts = [listedOf('h1'), listedOf('h2', 'leaving'), listedOf('h3')]
  await clock.advance(5000)
  t.notOk(lookupHosts(first.view(), {}).some(({ host }) => host === 'h2'))
})

t.test('a list entry of the previous process keeps the new process out of lookups only until the list changes', async (t) => {
  const { clock, hostList, first, second } = setUp()
  await clock.advance(3000)
  hostList.hosts = [listedOf('h1'), listedOf('h2', 'leaving'), listedOf('h3')]
  await clock.advance(3000)
  second.update({ leaving: false })
  hostList.hosts = [listedOf('h1'), listedOf('h2'), listedOf('h3')]
  await clock.advance(3000)
  t.ok(lookupHosts(first.view(), {}).some(({ host }) => host === 'h2'))
})

t.test('a drain reaches every host within 5 s and outlives the host that received it from the operator', async (t) => {
  const { clock, network, members, first, second } = setUp()
  const health = RunnerHealth.create()
  await clock.advance(3000)
  network.disconnected.add('h1-h3')
  first.drainRunner('r1')
  await clock.advance(5000)
  for (const member of members) {
    health.recordAnswer('r1', clock.monotonicMs())
    t.equal(health.reasonUnavailable('r1', member.state(), clock.monotonicMs()), 'draining')
  }
  network.disconnected.add('h1')
  await clock.advance(2 * times.removeAfterMs)
  health.recordAnswer('r1', clock.monotonicMs())
  t.equal(health.reasonUnavailable('r1', second.state(), clock.monotonicMs()), 'draining')
  second.drainRunner('r1', false)
  network.disconnected.delete('h1')
  await clock.advance(5000)
  for (const member of members) {
    health.recordAnswer('r1', clock.monotonicMs())
    t.equal(health.reasonUnavailable('r1', member.state(), clock.monotonicMs()), undefined)
  }
})

t.test('a runner that is leaving, failing or silent gets no new work after 5 s at the latest', (t) => {
  const health = RunnerHealth.create()
  const state = createMembershipState(reportOf('h1'))
  for (const runner of ['leaving', 'failing', 'silent']) health.recordAnswer(runner, 0)
  health.recordAnswer('leaving', 100, true)
  health.recordAnswer('leaving', 200)
  for (const atMs of [100, 200, 300]) health.recordFailure('failing', atMs)
  health.recordAnswer('failing-once', 4000)
  health.recordFailure('failing-once', 4500)
  t.equal(health.reasonUnavailable('leaving', state, 300), 'leaving')
  t.equal(health.reasonUnavailable('failing', state, 300), 'failing')
  t.equal(health.reasonUnavailable('silent', state, 300), undefined)
  t.equal(health.reasonUnavailable('silent', state, 5000), 'silent')
  t.equal(health.reasonUnavailable('failing-once', state, 5000), undefined)
  t.equal(health.reasonUnavailable('never-answered', state, 5000), 'silent')
  t.end()
})

t.test('a delayed report of an older incarnation does not revive its process', (t) => {
  const state = createMembershipState(reportOf('h1'))
  t.ok(applyPeerReport(state, reportOf('h2', { incarnation: '2', leaving: true }), 0, times))
  t.notOk(applyPeerReport(state, reportOf('h2', { incarnation: '1' }), 10, times))
  t.ok(applyPeerReport(state, reportOf('h2', { incarnation: '2' }), 20, times))
  t.equal(state.hosts.get('h2')?.leaving, true)
  t.ok(applyPeerReport(state, reportOf('h2', { incarnation: '3' }), 30, times))
  t.equal(state.hosts.get('h2')?.leaving, false)
  t.ok(applyPeerReport(state, reportOf('h2', { incarnation: '1' }), 30 + times.suspectAfterMs, times))
  t.end()
})

t.test('an older version of a drain changes nothing, and of two with one version every host takes the same', (t) => {
  const drains = [
    { runner: 'r1', draining: true, version: 1, by: 'h2' },
    { runner: 'r1', draining: false, version: 2, by: 'h2' },
    { runner: 'r1', draining: true, version: 2, by: 'h3' }
  ]
  for (const order of [[0, 1], [1, 0], [1, 0, 1]]) {
    const state = createMembershipState(reportOf('h1'))
    for (const n of order) applyPeerReport(state, reportOf('h2', { drains: drains.slice(n, n + 1) }), 0, times)
    t.equal(isDraining(state, 'r1'), false)
    applyPeerReport(state, reportOf('h3', { drains: drains.slice(2) }), 0, times)
    applyPeerReport(state, reportOf('h2', { drains: drains.slice(1, 2) }), 0, times)
    t.equal(isDraining(state, 'r1'), true)
  }
  t.end()
})

t.test('a long host list is read less often', async (t) => {
  const { clock, hostList } = setUp(['h1'])
  hostList.hosts = Array.from({ length: 1200 }, (_, n) => listedOf(`h${n + 1}`))
  await clock.advance(2100)
  const before = hostList.reads
  await clock.advance(180_000)
  t.ok(hostList.reads - before <= 3, `${hostList.reads - before} reads`)
})

t.test('the work that a host may do without the log or its peers', async (t) => {
  const { clock, network, first } = setUp()
  first.recordLogAnswer()
  await clock.advance(3000)
  t.match(allowedWork(first.view(), true), { serve: true, forward: true, claim: true, order: true, missing: [] })
  network.disconnected.add('h1')
  await clock.advance(times.logUnreachableAfterMs + 5000)
  const alone = allowedWork(first.view(), true)
  t.match(alone, { serve: true, forward: false, claim: false, order: false, missing: ['log', 'peers'] })
  t.match(allowedWork(first.view(), false), { serve: false, claim: false })
})

t.test('lookup returns live hosts: the first in the caller\'s availability zone, the second in another', (t) => {
  const state = createMembershipState(reportOf('h1'))
  applyHostList(state, ['h2', 'h3', 'h4', 'h5', 'h6'].map((name) => listedOf(name)), 0)
  const view = viewAt(state, 100, times)
  for (const callerAvailabilityZone of zones) {
    const answer = lookupHosts(view, { cell: 'drafting', callerAvailabilityZone })
    t.equal(answer[0]?.availabilityZone, callerAvailabilityZone)
    t.not(answer[1]?.availabilityZone, callerAvailabilityZone)
    t.same(lookupHosts(view, { cell: 'drafting', callerAvailabilityZone }), answer)
  }
  const firsts = Array.from({ length: 600 }, (_, n) => lookupHosts(view, { callerKey: `10.0.0.${n}` })[0]?.host)
  const counts = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'].map((host) => firsts.filter((first) => first === host).length)
  t.ok(Math.min(...counts) >= 60, counts.join(' '))
  t.end()
})

t.test('assignment spreads a cell over zones, and few cells change when a host leaves', (t) => {
  const hosts = Array.from({ length: 240 }, (_, n) => ({ host: `host-${n}`, availabilityZone: `zone-${n % 3}` }))
  const cells = Array.from({ length: 80 }, (_, n) => `cell-${n}`)
  const assign = (among: typeof hosts) => new Map(cells.map((cell) => [cell, assignHosts(cell, among).map(({ host }) => host)]))
  const before = assign(hosts)
  for (const assigned of before.values()) t.equal(new Set(assigned.map((host) => hosts.find((h) => h.host === host)?.availabilityZone)).size, 3)
  let moved = 0
  for (const gone of hosts.filter((_, n) => n % 5 === 0)) {
    const after = assign(hosts.filter(({ host }) => host !== gone.host))
    for (const cell of cells) if (String(after.get(cell)) !== String(before.get(cell))) moved += 1
  }
  const share = moved / (hosts.length / 5 * cells.length)
  t.comment(`share of cells that change when one of ${hosts.length} hosts leaves: ${share}`)
  t.ok(share <= 3.5 / hosts.length)
  t.equal(cellsOfHost('host-1', cells, hosts.slice(0, 8)).length, cells.length)
  t.end()
})
