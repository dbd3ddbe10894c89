// Guards against sound requests that are refused after all hosts were restarted (issue 40).
import t from 'tap'
import type { CrashMonitor } from './crash-monitor.js'
import { MonitorFleet } from './testing/monitor-fleet.js'

const STORED_MS = 3_000

/** Ends with a part that sound prompts share, each followed by an answer with it; the other features of each end are its own. */
async function crashAndAnswer (fleet: MonitorFleet, monitors: readonly CrashMonitor[], ends: number): Promise<void> {
  for (let count = 0; count < ends; count += 1) {
    const monitor = monitors[count % monitors.length] as CrashMonitor
    await fleet.crash(monitor, ['popular', `session-${count}`])
    fleet.answer(monitor, ['popular', 'session-sound'])
  }
}

t.test('a part whose answers cleared it is not blocked after all hosts were restarted', async (t) => {
  const fleet = new MonitorFleet()
  const before = [fleet.add(), fleet.add(), fleet.add()]
  await crashAndAnswer(fleet, before, 11)
  await fleet.clock.advance(STORED_MS)
  for (const monitor of before) monitor.stop()
  const after = [fleet.restart(before[0]), fleet.restart(before[1])] as const
  await fleet.clock.advance(STORED_MS)
  t.same(after.map((monitor) => monitor.isBlocked(['popular'])), [false, false])
  await fleet.crash(after[0], ['popular', 'session-new'])
  t.notOk(after[0].isBlocked(['popular']))
})

t.test('a part that was cleared after its ends were stored is not blocked after a restart', async (t) => {
  const fleet = new MonitorFleet()
  const before = fleet.add()
  for (let count = 0; count < 2; count += 1) await fleet.crash(before, ['popular', `session-${count}`])
  await fleet.clock.advance(STORED_MS)
  t.match(JSON.stringify([...fleet.records.ends.values()]), /popular/)
  fleet.answer(before, ['popular', 'session-sound'])
  await fleet.clock.advance(STORED_MS)
  t.notMatch(JSON.stringify([...fleet.records.ends.values()]), /popular/)
})

t.test('records of ends alone block nothing, of whatever age and in whatever order they arrive', async (t) => {
  for (const order of [1, -1]) {
    const fleet = new MonitorFleet()
    for (let count = 0; count < 12; count += 1) {
      const endedAt = new Date(fleet.clock.now().getTime() - count * 20_000)
      const ends = [{ process: `p${count}`, endedAt, requests: [['popular', 'request-same']], running: [] }]
      fleet.records.ends.set(`host-${order * count}`, { host: `host-${order * count}`, ends })
    }
    const monitor = fleet.restart()
    await fleet.clock.advance(STORED_MS)
    t.notOk(monitor.isBlocked(['popular', 'request-same']))
  }
})

t.test('one restarted host learns from the others what was cleared', async (t) => {
  const fleet = new MonitorFleet()
  const [a, b] = [fleet.add(), fleet.add()]
  await crashAndAnswer(fleet, [a], 11)
  b.stop()
  const restarted = fleet.restart(b)
  fleet.exchange(a, restarted)
  await fleet.clock.advance(STORED_MS)
  t.notOk(restarted.isBlocked(['popular']))
})

t.test('a request that ended runners before and after the restart of all hosts is blocked at the fifth end', async (t) => {
  const fleet = new MonitorFleet()
  const before = [fleet.add(), fleet.add()]
  for (const monitor of before) {
    await fleet.crash(monitor, ['popular'], 'request-same')
    for (const to of before) if (to !== monitor) fleet.exchange(monitor, to)
  }
  await fleet.clock.advance(STORED_MS)
  for (const monitor of before) monitor.stop()
  const after = fleet.restart()
  for (let count = 0; count < 3; count += 1) {
    t.notOk(after.isBlocked(['request-same']))
    await fleet.crash(after, ['popular'], 'request-same')
  }
  t.ok(after.isBlocked(['request-same']))
  t.notOk(after.isBlocked(['popular']))
})

t.test('a host that is restarted alone and knows no other host keeps what it stored', async (t) => {
  const fleet = new MonitorFleet()
  const before = fleet.add()
  for (let count = 0; count < 2; count += 1) await fleet.crash(before, ['popular'], 'request-same')
  await fleet.clock.advance(STORED_MS)
  before.stop()
  const after = fleet.restart(before)
  await fleet.clock.advance(STORED_MS)
  for (let count = 0; count < 3; count += 1) await fleet.crash(after, ['popular'], 'request-same')
  t.ok(after.isBlocked(['request-same']))
})
