import t from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { lookupHosts } from '../lookup/lookup.js'
import { Exchanger } from './exchanger.js'
import { MemberTable, SILENT_MS } from './member-table.js'
import { HostRegistry, PeerCalls, type AdapterReply, type HostAddress, type HostReport } from './types.js'

function address (host: string): HostAddress {
  return { host, availabilityZone: 'z', callerAddress: `${host}:80`, peerAddress: `${host}:7380` }
}

function report (host: string, changes: Partial<HostReport> = {}): HostReport {
  return {
    address: address(host),
    incarnation: host,
    ready: true,
    leaving: false,
    configVersion: 1,
    runnerUses: new Map(),
    demand: [],
    expectedLoads: [],
    lease: { heldBySender: false, fencingToken: 0 },
    knownHosts: [],
    sentAt: new Date(0),
    ...changes
  }
}

class Network extends PeerCalls {
  readonly hosts = new Map<string, Exchanger>()
  readonly tables = new Map<string, MemberTable>()
  readonly down = new Set<string>()
  readonly leaving = new Set<string>()
  readonly registered: HostAddress[] = []

  static create (): Network {
    return new Network()
  }

  override async exchange (peerAddress: string, sent: HostReport): Promise<HostReport> {
    const host = peerAddress.split(':')[0] ?? ''
    const exchanger = this.hosts.get(host)
    if (exchanger === undefined || this.down.has(host) || this.down.has(sent.address.host)) throw new Error('no answer')
    return exchanger.onIncoming(sent)
  }

  override async ensureAdapter (): Promise<AdapterReply> {
    return { accepted: false, readyInMs: 0 }
  }

  start (host: string, clock: ManualClock, seeds: string[]): MemberTable {
    const members = MemberTable.create(host)
    const exchanger = Exchanger.create({
      clock,
      log: silentLogger,
      members,
      calls: this,
      registry: new TestRegistry(this.registered),
      self: address(host),
      seedPeerAddresses: seeds.map((seed) => `${seed}:7380`),
      report: () => report(host, { leaving: this.leaving.has(host), knownHosts: members.live(clock.monotonicMs()).map((member) => member.address) }),
      onReport: () => {},
      onForgotten: () => {}
    })
    this.hosts.set(host, exchanger)
    this.tables.set(host, members)
    exchanger.start()
    return members
  }
}

class TestRegistry extends HostRegistry {
  constructor (private readonly registered: HostAddress[]) {
    super()
  }

  override async announce (entry: HostAddress): Promise<void> {
    this.registered.push(entry)
  }

  override async list (): Promise<HostAddress[]> {
    return this.registered
  }
}

function names (members: MemberTable, clock: ManualClock): string[] {
  return members.ready(clock.monotonicMs()).map((member) => member.address.host).sort()
}

t.test('hosts find each other over seeds and by word of others', async (t) => {
  const clock = ManualClock.create()
  const network = Network.create()
  const tables = ['a', 'b', 'c', 'd'].map((host) => network.start(host, clock, ['a']))
  await clock.advance(3_000)
  t.same(names(tables[3] ?? MemberTable.create(''), clock), ['a', 'b', 'c'])
})

t.test('hosts without a living seed find each other in the registry', async (t) => {
  const clock = ManualClock.create()
  const network = Network.create()
  const first = network.start('a', clock, ['gone'])
  const second = network.start('b', clock, ['gone'])
  await clock.advance(8_000)
  t.same(names(first, clock), ['b'])
  t.same(names(second, clock), ['a'])
})

t.test('a silent host leaves lookups in time, and comes back', async (t) => {
  const clock = ManualClock.create()
  const network = Network.create()
  const members = network.start('a', clock, ['b'])
  network.start('b', clock, ['a'])
  await clock.advance(2_000)
  network.down.add('b')
  await clock.advance(SILENT_MS + 500)
  t.same(names(members, clock), [])
  network.down.delete('b')
  await clock.advance(2_000)
  t.same(names(members, clock), ['b'])
})

t.test('a host that leaves is left out at once', async (t) => {
  const clock = ManualClock.create()
  const network = Network.create()
  const members = network.start('a', clock, ['b'])
  network.start('b', clock, ['a'])
  await clock.advance(2_000)
  network.leaving.add('b')
  await network.hosts.get('b')?.tellAll()
  t.same(names(members, clock), [])
})

t.test('a silent host keeps its part of what all share for a while', async (t) => {
  const members = MemberTable.create('a')
  members.hear(report('b'), 0)
  t.equal(members.sharingCount(5_000), 2)
  t.equal(members.sharingCount(60_000), 1)
})

t.test('a lookup names this host and the ready ones', async (t) => {
  const members = MemberTable.create('a')
  members.hear(report('b'), 0)
  members.hear(report('c', { ready: false }), 0)
  t.same(lookupHosts({ members, ownAddress: 'a:80', nowMs: 100 }), ['a:80', 'b:80'])
  t.same(lookupHosts({ members, ownAddress: undefined, nowMs: 100 }), ['b:80'])
  t.same(lookupHosts({ members, ownAddress: 'a:80', nowMs: SILENT_MS }), ['a:80'])
})

t.test('a host that restarted is told from the others for a while', async (t) => {
  const members = MemberTable.create('a')
  members.hear(report('b', { incarnation: 'b-1' }), 0)
  t.notOk(members.hasRestartedHost(10))
  members.hear(report('b', { incarnation: 'b-2' }), 1_000)
  t.ok(members.hasRestartedHost(1_100))
  members.hear(report('b', { incarnation: 'b-2', leaving: true }), 1_200)
  t.notOk(members.hasRestartedHost(1_300))
  members.hear(report('b', { incarnation: 'b-2' }), 90_000)
  t.notOk(members.hasRestartedHost(90_100))
})
