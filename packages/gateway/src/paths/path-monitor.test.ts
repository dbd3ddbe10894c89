/** Guards against hosts that lost their links to runners, try them again and again, and take the loss for the end of the runners. */
import t, { type Test } from 'tap'
import { Link, LinkedFleet, type FleetHost, type FleetRunner } from './testing/linked-fleet.js'
import { PathKind } from './types.js'

/** A cut has to be found within this time. */
const FOUND_MS = 1_500
const ZONES = { a: 2, b: 2, c: 2 }
const RUNNERS = { a: 4, b: 4, c: 4 }

async function startFleet (t: Test, hosts: Record<string, number> = ZONES, runners: Record<string, number> = RUNNERS): Promise<LinkedFleet> {
  const fleet = LinkedFleet.create(hosts, runners)
  t.teardown(() => fleet.stop())
  await fleet.clock.advance(3_000)
  fleet.resetCounts()
  return fleet
}

function cutHost (fleet: LinkedFleet, name: string, link: Link): void {
  fleet.cut((host) => host.name === name ? link : Link.Up)
}

function viaShare ({ direct, viaHosts }: FleetHost): number {
  return viaHosts.length / (direct + viaHosts.length)
}

for (const link of [Link.Silent, Link.Refused, Link.OldOnly]) {
  for (const keepsConnections of [true, false]) {
    t.test(`a host whose links are ${link} is cut off in time, ${keepsConnections ? 'with' : 'without'} kept connections`, async (t) => {
      const fleet = await startFleet(t)
      fleet.keepsConnections = keepsConnections
      const host = fleet.host('a-h0')
      cutHost(fleet, host.name, link)
      await fleet.clock.advance(FOUND_MS)
      const livesOn = link === Link.OldOnly && keepsConnections
      t.equal(host.monitor.isCutOff, !livesOn)
      fleet.resetCounts()
      await fleet.clock.advance(2_000)
      if (livesOn) t.equal(host.failedConnects, 0)
      else t.ok(viaShare(host) > 0.95, `${viaShare(host)}`)
      t.notOk(host.viaHosts.includes(host.name))
      t.ok(fleet.hosts.filter(({ monitor }) => monitor.isCutOff).length <= 1)
    })
  }
}

t.test('requests on old connections are told when new connections fail', async (t) => {
  const fleet = await startFleet(t)
  const host = fleet.host('a-h0')
  fleet.answerMs = 5_000
  await fleet.clock.advance(400)
  cutHost(fleet, host.name, Link.OldOnly)
  await fleet.clock.advance(FOUND_MS)
  t.ok(host.monitor.isCutOff)
  t.ok(host.listenerCalls > 0)
})

t.test('requests that hang on a silent cut are told', async (t) => {
  const fleet = await startFleet(t)
  const host = fleet.host('a-h0')
  cutHost(fleet, host.name, Link.Silent)
  await fleet.clock.advance(FOUND_MS)
  t.ok(host.listenerCalls > 5, `${host.listenerCalls}`)
})

t.test('a host that loses most runners reaches the others directly', async (t) => {
  const fleet = await startFleet(t)
  const host = fleet.host('a-h0')
  const isCut = (runner: FleetRunner) => runner.availabilityZone !== 'a'
  fleet.cut((other, runner) => other === host && isCut(runner) ? Link.Refused : Link.Up)
  await fleet.clock.advance(FOUND_MS)
  t.ok(host.monitor.isCutOff)
  for (const runner of fleet.runners) t.equal(fleet.pathOf(host, runner).kind, isCut(runner) ? PathKind.ViaHost : PathKind.Direct, runner.id)
})

t.test('a host that loses one small part of the runners is not cut off', async (t) => {
  const fleet = await startFleet(t)
  const host = fleet.host('a-h0')
  const isCut = ({ id }: FleetRunner) => id === 'b-r0' || id === 'b-r2'
  fleet.cut((other, runner) => other === host && isCut(runner) ? Link.Silent : Link.Up)
  await fleet.clock.advance(2_500)
  t.notOk(host.monitor.isCutOff)
  for (const runner of fleet.runners) t.equal(fleet.pathOf(host, runner).kind, isCut(runner) ? PathKind.ViaHost : PathKind.Direct, runner.id)
})

t.test('after two runners of a service failed the others go by way of hosts without a failed try', async (t) => {
  const fleet = await startFleet(t, ZONES, { a: 12, b: 12, c: 12 })
  fleet.keepsConnections = false
  const host = fleet.host('a-h0')
  const isCut = ({ service }: FleetRunner) => service === 'odd'
  fleet.cut((other, runner) => other === host && isCut(runner) ? Link.Silent : Link.Up)
  await fleet.clock.advance(FOUND_MS)
  fleet.resetCounts()
  await fleet.clock.advance(1_500)
  t.equal(host.failedConnects, 0)
  t.ok(host.viaHosts.length > 0 && host.direct > 0)
})

t.test('the only host has no other way', async (t) => {
  const fleet = await startFleet(t, { a: 1 })
  const host = fleet.host('a-h0')
  cutHost(fleet, host.name, Link.Refused)
  await fleet.clock.advance(5_000)
  t.notOk(host.monitor.isCutOff)
  t.equal(host.viaHosts.length, 0)
})

for (const link of [Link.Silent, Link.Refused]) {
  t.test(`hosts that are all cut off (${link}) use direct paths`, async (t) => {
    const fleet = await startFleet(t)
    fleet.cut(() => link)
    await fleet.clock.advance(5_000)
    t.same(fleet.hosts.filter(({ monitor }) => monitor.isCutOff), [])
    t.same(fleet.hosts.flatMap(({ viaHosts }) => viaHosts), [])
  })

  t.test(`a zone that is cut off (${link}) passes requests on to the other zones`, async (t) => {
    const fleet = await startFleet(t)
    fleet.cut(({ zone }) => zone === 'a' ? link : Link.Up)
    await fleet.clock.advance(FOUND_MS)
    fleet.resetCounts()
    await fleet.clock.advance(2_000)
    for (const host of fleet.hosts.filter(({ zone }) => zone === 'a')) {
      t.ok(host.monitor.isCutOff)
      t.same(host.viaHosts.filter((name) => name.startsWith('a-')), [])
      t.ok(viaShare(host) > 0.95)
    }
    t.same(fleet.hosts.filter(({ zone, monitor }) => zone !== 'a' && monitor.isCutOff), [])
  })
}

t.test('most hosts of every zone are cut off: their requests spread over the rest', async (t) => {
  const fleet = await startFleet(t, { a: 5, b: 5, c: 5 })
  const isCut = ({ name }: FleetHost) => ['h0', 'h1', 'h2'].some((suffix) => name.endsWith(suffix))
  fleet.cut((host) => isCut(host) ? Link.Silent : Link.Up)
  await fleet.clock.advance(FOUND_MS)
  t.same(fleet.hosts.filter((host) => host.monitor.isCutOff !== isCut(host)).map(({ name }) => name), [])
  fleet.resetCounts()
  await fleet.clock.advance(4_000)
  const passed = fleet.hosts.flatMap(({ viaHosts }) => viaHosts)
  const counts = fleet.hosts.filter((host) => !isCut(host)).map(({ name }) => passed.filter((via) => via === name).length)
  t.ok(Math.max(...counts) < 2 * Math.min(...counts), counts.join())
})

t.test('a runner that is down is not taken for a cut', async (t) => {
  const fleet = await startFleet(t)
  fleet.down.add('b-r1')
  fleet.down.add('c-r1')
  await fleet.clock.advance(5_000)
  t.same(fleet.hosts.flatMap(({ viaHosts }) => viaHosts), [])
  t.same(fleet.hosts.filter(({ monitor }) => monitor.isCutOff), [])
})

t.test('calm days cost nothing', async (t) => {
  const fleet = await startFleet(t)
  await fleet.clock.advance(20_000)
  t.same(fleet.hosts.map(({ probes, checks }) => probes + checks), fleet.hosts.map(() => 0))
})

t.test('answers that take long cost few probes and change nothing', async (t) => {
  const fleet = await startFleet(t)
  fleet.answerMs = 4_000
  await fleet.clock.advance(5_000)
  fleet.resetCounts()
  await fleet.clock.advance(10_000)
  t.ok(Math.max(...fleet.hosts.map(({ probes }) => probes)) <= 6)
  t.same(fleet.hosts.map(({ checks }) => checks), fleet.hosts.map(() => 0))
  t.same(fleet.hosts.flatMap(({ viaHosts }) => viaHosts), [])
})

t.test('runners that are all silent for a second change nothing', async (t) => {
  const fleet = await startFleet(t)
  fleet.answerMs = 1_200
  await fleet.clock.advance(1_200)
  fleet.answerMs = 20
  await fleet.clock.advance(1_200)
  t.same(fleet.hosts.flatMap(({ viaHosts }) => viaHosts), [])
  t.ok(Math.max(...fleet.hosts.map(({ probes }) => probes)) <= 6)
})

t.test('after a cut the direct paths return one by one', async (t) => {
  const fleet = await startFleet(t, ZONES, { a: 30, b: 30, c: 30 })
  const host = fleet.host('a-h0')
  cutHost(fleet, host.name, Link.Silent)
  await fleet.clock.advance(10_000)
  t.ok(host.monitor.isCutOff)
  fleet.cut(() => Link.Up)
  const counts: number[] = []
  for (let step = 0; step < 8; step += 1) {
    await fleet.clock.advance(500)
    counts.push(fleet.runners.filter((runner) => fleet.pathOf(host, runner).kind === PathKind.Direct).length)
  }
  t.notOk(host.monitor.isCutOff)
  t.equal(counts.at(-1), 90)
  t.ok(counts.every((count, index) => count - (counts[index - 1] ?? 0) < 60), counts.join())
})

t.test('paths that have not returned yet are not taken for another cut', async (t) => {
  for (const link of [Link.Silent, Link.Refused]) {
    const fleet = await startFleet(t, ZONES, { a: 20, b: 20, c: 20 })
    const host = fleet.host('a-h0')
    for (let round = 0; round < 5; round += 1) {
      const changesBefore = host.cutOffChanges
      cutHost(fleet, host.name, link)
      await fleet.clock.advance(8_000)
      fleet.cut(() => Link.Up)
      await fleet.clock.advance(20_000)
      t.equal(host.cutOffChanges - changesBefore, 2)
    }
  }
})

t.test('probes of a host that is cut off are bounded', async (t) => {
  const fleet = await startFleet(t, ZONES, { a: 100, b: 100, c: 100 })
  const host = fleet.host('a-h0')
  cutHost(fleet, host.name, Link.Refused)
  await fleet.clock.advance(10_000)
  t.ok(host.probes <= 400, `${host.probes}`)
  t.ok(host.checks <= 400, `${host.checks}`)
})

t.test('links that come and go change the state of a host seldom', async (t) => {
  const fleet = await startFleet(t)
  const host = fleet.host('a-h0')
  for (let step = 0; step < 20; step += 1) {
    cutHost(fleet, host.name, step % 2 === 0 ? Link.Refused : Link.Up)
    await fleet.clock.advance(1_000)
  }
  t.ok(host.cutOffChanges >= 1 && host.cutOffChanges <= 8, `${host.cutOffChanges}`)
  fleet.cut(() => Link.Up)
  await fleet.clock.advance(8_000)
  t.notOk(host.monitor.isCutOff)
  t.equal(host.monitor.brokenCount, 0)
})

t.test('connections that a silent cut left half open are dropped with their path', async (t) => {
  const fleet = await startFleet(t)
  const host = fleet.host('a-h0')
  cutHost(fleet, host.name, Link.Silent)
  await fleet.clock.advance(4_000)
  t.equal(host.kept.size, 0)
  fleet.cut(() => Link.Up)
  await fleet.clock.advance(6_000)
  fleet.resetCounts()
  await fleet.clock.advance(1_000)
  t.equal(host.viaHosts.length, 0)
  t.equal(host.failedConnects, 0)
})

t.test('a host that could not pass a request on is left out for a moment', async (t) => {
  const fleet = await startFleet(t, { a: 1, b: 2 })
  const host = fleet.host('a-h0')
  cutHost(fleet, host.name, Link.Refused)
  await fleet.clock.advance(FOUND_MS)
  host.monitor.onHostFailed('b-h0')
  const [runner] = fleet.runners as [FleetRunner]
  const chosen = Array.from({ length: 20 }, () => fleet.pathOf(host, runner)).map((path) => path.kind === PathKind.ViaHost ? path.host : '')
  t.same([...new Set(chosen)], ['b-h1'])
})
