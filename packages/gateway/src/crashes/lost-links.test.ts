// Guards against hosts that take one host's lost links to runners for the ends of these runners, and refuse sound ones.
import t from 'tap'
import { MonitorFleet } from './testing/monitor-fleet.js'

const RUNNERS = Array.from({ length: 8 }, (_, index) => ({ id: `sound-${index}`, address: `10.0.2.${index}:80`, startedUnixMs: 1 }))

t.test('when one host loses its links by reset and refusal, no host believes that the runners ended', async (t) => {
  const fleet = new MonitorFleet()
  const [cut, other, third] = [fleet.add(), fleet.add(), fleet.add()]
  for (const runner of RUNNERS) await fleet.loseLinks(cut, [runner])
  for (const monitor of [other, third]) fleet.exchange(cut, monitor)
  await fleet.clock.advance(2_000)
  for (const monitor of [cut, other, third]) {
    t.same(RUNNERS.filter((runner) => monitor.hasEnded(runner)), [])
    t.notOk(monitor.isBlocked(['shared', 'deadly']))
  }
  t.same(fleet.urgent, [])
  t.equal(fleet.records.writes, 0)
})

t.test('a real end that one host observes is known to all hosts within 0.1 s', async (t) => {
  const fleet = new MonitorFleet()
  const [a, b, c] = [fleet.add(), fleet.add(), fleet.add()]
  const [runner] = RUNNERS as [typeof RUNNERS[number]]
  fleet.end(a, runner)
  await fleet.clock.advance(60)
  t.same(fleet.urgent, [0])
  for (const monitor of [b, c]) {
    fleet.exchange(a, monitor)
    t.ok(monitor.hasEnded(runner))
  }
})

t.test('hosts that lost their links together confirm nothing to each other, whether or not a third one reaches the runners', async (t) => {
  for (const sound of [0, 1]) {
    const fleet = new MonitorFleet()
    const [first, second] = [fleet.add(), fleet.add()]
    if (sound > 0) fleet.add()
    fleet.links.cutHosts.add(0).add(1)
    for (const monitor of [first, second]) await fleet.loseLinks(monitor, RUNNERS)
    t.same(RUNNERS.filter((runner) => first.hasEnded(runner) || second.hasEnded(runner)), [])
    t.equal(fleet.brokenPaths.length, sound * 2 * RUNNERS.length)
  }
})

t.test('a real end is confirmed while a third host has lost its links', async (t) => {
  const fleet = new MonitorFleet()
  const [a] = [fleet.add(), fleet.add(), fleet.add()] as const
  fleet.links.cutHosts.add(2)
  const [runner] = RUNNERS as [typeof RUNNERS[number]]
  fleet.end(a, runner)
  await fleet.clock.advance(60)
  t.ok(a.hasEnded(runner))
})
