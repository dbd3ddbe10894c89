/** Guards against sound paths that are taken for broken: slow links, requests whose bytes arrive, addresses that another runner uses now. */
import { createRegistry, ManualClock, silentLogger } from '@figloom/runtime'
import t, { type Test } from 'tap'
import { ListenerProbe, ProbeResult, RunnerCheck } from '../crashes/types.js'
import type { LocatedRunner } from '../gates/types.js'
import type { HostSummary } from '../members/types.js'
import { createRandom } from '../testing/seeded-random.js'
import { PassingHosts } from './passing-hosts.js'
import { createPathMetrics } from './path-metrics.js'
import { PathMonitor } from './path-monitor.js'
import { Link, LinkedFleet } from './testing/linked-fleet.js'

const RUNNERS: LocatedRunner[] = Array.from({ length: 12 }, (_, index) => ({ id: `runner-${index}`, address: `runner-${index}:1` }))

type Links = {
  /** Round trip of this host, to runners and to hosts. */
  roundTripMs: number
  /** What this host's probes of a runner find. */
  probe: (address: string) => ProbeResult
}

class SlowProbe extends ListenerProbe {
  constructor (private readonly clock: ManualClock, private readonly links: Links) {
    super()
  }

  override async probe (address: string, timeoutMs: number): Promise<ProbeResult> {
    const { roundTripMs, probe } = this.links
    await this.clock.sleep(Math.min(roundTripMs, timeoutMs))
    return roundTripMs > timeoutMs ? ProbeResult.Silent : probe(address)
  }
}

function createSummary (host: string): HostSummary {
  const address = { host, availabilityZone: 'zone', callerAddress: `${host}:80`, peerAddress: host, capacityCores: 1 }
  return { address, incarnation: host, ready: true, leaving: false, relay: true, holdsLease: false, hearsay: false, cutOff: false }
}

type Scene = { clock: ManualClock, monitor: PathMonitor, links: Links, dropped: string[] }

/** One host whose other hosts reach all runners. */
function createScene (t: Test): Scene {
  const clock = ManualClock.create()
  const links: Links = { roundTripMs: 1, probe: () => ProbeResult.Accepted }
  const dropped: string[] = []
  const random = createRandom(3)
  const monitor = PathMonitor.create({
    clock,
    log: silentLogger,
    metrics: createPathMetrics(createRegistry({ host: 'self', availabilityZone: 'zone' })),
    probe: new SlowProbe(clock, links),
    calls: {
      checkRunner: async (_host, _runner, timeoutMs) => {
        await clock.sleep(Math.min(links.roundTripMs, timeoutMs))
        if (links.roundTripMs > timeoutMs) throw new Error('timeout')
        return RunnerCheck.Accepted
      }
    },
    hosts: PassingHosts.create({ clock, self: createSummary('self').address, liveHosts: () => [createSummary('other-1'), createSummary('other-2')], random }),
    placeOf: () => ({ service: 'service', availabilityZone: 'zone' }),
    random,
    onCutOffChanged: () => {},
    onBroken: ({ id }) => { dropped.push(id) }
  })
  monitor.start()
  t.teardown(() => monitor.stop())
  return { clock, monitor, links, dropped }
}

/** Sends a request to each runner in turn; each is answered after a round trip and 20 ms. */
async function sendFor ({ clock, monitor, links }: Scene, durationMs: number): Promise<void> {
  for (let atMs = 0; atMs < durationMs; atMs += 20) {
    const runner = RUNNERS[atMs / 20 % RUNNERS.length] as LocatedRunner
    if (monitor.pathTo(runner).kind === 'direct') {
      const leave = monitor.onSent(runner, () => {})
      clock.setTimer(links.roundTripMs + 20, () => {
        monitor.onReached(runner)
        leave()
      })
    }
    await clock.advance(20)
  }
}

t.test('a host whose own link is slow is not cut off: answers and the other hosts\' statements are as late as its probes', async (t) => {
  const scene = createScene(t)
  await sendFor(scene, 2_000)
  scene.links.roundTripMs = 450
  await sendFor(scene, 6_000)
  t.notOk(scene.monitor.isCutOff)
  t.equal(scene.monitor.brokenCount, 0)
})

t.test('a request whose answer arrives is not told that its path is broken', async (t) => {
  const { clock, monitor, links } = createScene(t)
  const [streaming, other] = RUNNERS as [LocatedRunner, LocatedRunner]
  let told = 0
  monitor.onReached(streaming)
  const leave = monitor.onSent(streaming, () => { told += 1 })
  links.probe = () => ProbeResult.Refused
  monitor.onConnectFailed(other, 'refused')
  monitor.onConnectFailed(streaming, 'refused')
  for (let atMs = 0; atMs < 1_000; atMs += 20) {
    monitor.onReached(streaming)
    await clock.advance(20)
  }
  leave()
  t.ok(monitor.brokenCount > 0)
  t.equal(told, 0)
})

t.test('an address that another runner uses now stands for that runner', async (t) => {
  const { clock, monitor, links, dropped } = createScene(t)
  monitor.onReached({ id: 'old', address: '10.0.0.1:1' })
  monitor.retain(new Set(['10.0.0.1:1']))
  links.probe = () => ProbeResult.Refused
  monitor.onConnectFailed({ id: 'new', address: '10.0.0.1:1' }, 'refused')
  await clock.advance(500)
  t.same(dropped, ['new'])
})

t.test('one runner that a host does not reach costs few probes', async (t) => {
  const fleet = LinkedFleet.create({ a: 2, b: 2, c: 2 }, { a: 30, b: 30, c: 30 })
  t.teardown(() => fleet.stop())
  const host = fleet.host('a-h0')
  await fleet.clock.advance(3_000)
  fleet.cut((other, { id }) => other === host && id === 'b-r0' ? Link.Silent : Link.Up)
  await fleet.clock.advance(8_000)
  fleet.resetCounts()
  await fleet.clock.advance(10_000)
  t.equal(host.monitor.brokenCount, 1)
  t.ok(host.probes <= 60, `${host.probes} probes in 10 s, of which about 20 are due at the runner itself`)
})

for (const zones of ['abc', 'abcd']) {
  t.test(`hosts that lose the runners of one of ${zones.length} zones are not cut off from runners`, async (t) => {
    const counts = (each: number) => Object.fromEntries([...zones].map((zone) => [zone, each]))
    const fleet = LinkedFleet.create(counts(2), counts(20))
    t.teardown(() => fleet.stop())
    await fleet.clock.advance(3_000)
    fleet.resetCounts()
    fleet.cut(({ zone }, { availabilityZone }) => `${zone}${availabilityZone}` === 'ac' ? Link.Refused : Link.Up)
    await fleet.clock.advance(30_000)
    t.same(fleet.hosts.filter(({ monitor }) => monitor.isCutOff).map(({ name }) => name), [])
    t.same(fleet.hosts.filter(({ cutOffChanges }) => cutOffChanges > 0).map(({ name, cutOffChanges }) => `${name}: ${cutOffChanges} changes`), [])
  })
}

t.test('zones that reach their own runners alone pass requests on for each other', async (t) => {
  const fleet = LinkedFleet.create({ a: 2, b: 2, c: 2 }, { a: 20, b: 20, c: 20 })
  t.teardown(() => fleet.stop())
  await fleet.clock.advance(3_000)
  fleet.cut(({ zone }, { availabilityZone }) => zone === availabilityZone ? Link.Up : Link.Silent)
  await fleet.clock.advance(10_000)
  const host = fleet.host('a-h0')
  const kinds = fleet.runners.map((runner) => `${runner.availabilityZone} ${fleet.pathOf(host, runner).kind}`)
  t.same([...new Set(kinds)], ['a direct', 'b via-host', 'c via-host'])
})
