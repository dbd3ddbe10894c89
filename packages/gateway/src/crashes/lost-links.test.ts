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
