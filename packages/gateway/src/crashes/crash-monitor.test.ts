// Guards against hosts that don't learn of a block, and against blocks that are written by all hosts or never end.
import t from 'tap'
import type { CrashMonitor } from './crash-monitor.js'
import { MonitorFleet } from './testing/monitor-fleet.js'
import { Departure } from './types.js'

const PROMPT = ['shared', 'deadly']
const MINUTE_MS = 60_000

const isBlocked = (monitor: CrashMonitor) => monitor.isBlocked(['deadly'])

t.test('ends that three hosts observed block a part on all of them, after exchanges in any direction', async (t) => {
  const fleet = new MonitorFleet()
  fleet.records.down = true
  const [a, b, c] = [fleet.add(), fleet.add(), fleet.add()]
  for (const monitor of [a, b, c]) await fleet.crash(monitor)
  t.notOk(isBlocked(a))
  fleet.exchange(a, b)
  fleet.exchange(b, c)
  await fleet.clock.advance(100)
  t.ok(isBlocked(c))
  fleet.exchange(c, a)
  t.ok(isBlocked(a))
  t.notOk(a.isBlocked(['shared']))
})

t.test('an end with requests that had not begun is reported to other hosts at once', async (t) => {
  const fleet = new MonitorFleet()
  const a = fleet.add()
  await fleet.crash(a)
  t.same(fleet.urgent, [0])
})

t.test('hosts that reach the platform but not each other block the same part', async (t) => {
  const fleet = new MonitorFleet()
  fleet.livePeers = false
  const [a, b, c] = [fleet.add(), fleet.add(), fleet.add()]
  for (const monitor of [a, b, c]) await fleet.crash(monitor)
  await fleet.clock.advance(2_000)
  t.same([a, b, c].map(isBlocked), [true, true, true])
})

t.test('groups of hosts that reach the platform but not each other block the same part one end later at most', async (t) => {
  const fleet = new MonitorFleet()
  const groups = [0, 1, 2].map(() => [fleet.add(), fleet.add()] as const)
  for (let count = 0; count < 4; count += 1) {
    const [a, b] = groups[count % groups.length] as readonly [CrashMonitor, CrashMonitor]
    await fleet.crash(a)
    fleet.exchange(a, b)
  }
  await fleet.clock.advance(2_000)
  t.ok(fleet.monitors.every(isBlocked))
})

t.test('a host that starts reads the blocks, also when all hosts were restarted', async (t) => {
  const fleet = new MonitorFleet()
  const a = fleet.add()
  for (let count = 0; count < 3; count += 1) await fleet.crash(a)
  await fleet.clock.advance(1_000)
  a.stop()
  t.ok(isBlocked(fleet.add()))
})

t.test('a host that starts learns of blocks from another one while the platform is down', async (t) => {
  const fleet = new MonitorFleet()
  fleet.records.down = true
  const a = fleet.add()
  for (let count = 0; count < 3; count += 1) await fleet.crash(a)
  const b = fleet.add()
  t.notOk(isBlocked(b))
  fleet.exchange(a, b)
  t.ok(isBlocked(b))
})

t.test('a block that could not be written is written when the platform is back', async (t) => {
  const fleet = new MonitorFleet()
  fleet.records.down = true
  const a = fleet.add()
  for (let count = 0; count < 3; count += 1) await fleet.crash(a)
  await fleet.clock.advance(3_000)
  fleet.records.down = false
  await fleet.clock.advance(2_000)
  t.ok(fleet.records.blocks.get('deadly')?.blocked)
})

t.test('a block that several hosts decide is written once', async (t) => {
  const fleet = new MonitorFleet()
  const monitors = [fleet.add(), fleet.add(), fleet.add()]
  const [a] = monitors as [CrashMonitor]
  for (let count = 0; count < 3; count += 1) {
    await fleet.crash(a)
    for (const monitor of monitors) fleet.exchange(a, monitor)
  }
  await fleet.clock.advance(500)
  t.equal(fleet.records.blockWrites, 1)
})

t.test('blocks that the platform lost with an older copy are there again within two seconds, written once', async (t) => {
  const fleet = new MonitorFleet()
  const monitors = [fleet.add(), fleet.add(), fleet.add()]
  const [a] = monitors as [CrashMonitor]
  for (let count = 0; count < 3; count += 1) await fleet.crash(a)
  await fleet.clock.advance(1_000)
  fleet.records.blocks.clear()
  fleet.records.blockWrites = 0
  for (const monitor of monitors) monitor.onNewEra()
  await fleet.clock.advance(2_000)
  t.ok(fleet.records.blocks.get('deadly')?.blocked)
  t.equal(fleet.records.blockWrites, 1)
})

t.test('ends whose requests were all answered elsewhere are not written', async (t) => {
  const fleet = new MonitorFleet()
  const a = fleet.add()
  fleet.answer(a, ['shared', 'session'], 'before', 'request-same')
  await fleet.crash(a, ['shared', 'session'], 'request-same')
  await fleet.clock.advance(2_000)
  t.equal(fleet.records.writes, 0)
})

t.test('an answer at one host clears the parts at another one', async (t) => {
  const fleet = new MonitorFleet()
  fleet.records.down = true
  const [a, b] = [fleet.add(), fleet.add()]
  await fleet.crash(a, ['session'])
  await fleet.crash(a, ['session'])
  fleet.exchange(a, b)
  fleet.answer(b, ['session'])
  fleet.exchange(b, a)
  await fleet.crash(a, ['session'])
  t.notOk(a.isBlocked(['session']))
})

t.test('one host tries one request a minute after the block; if it begins, the block is lifted everywhere', async (t) => {
  const fleet = new MonitorFleet()
  const [a, holder] = [fleet.add(), fleet.add(true)]
  for (let count = 0; count < 3; count += 1) await fleet.crash(a)
  await fleet.clock.advance(1_000)
  t.ok(holder.blockOf('early', PROMPT))
  await fleet.clock.advance(MINUTE_MS)
  t.ok(a.blockOf('not-the-holder', PROMPT))
  t.equal(holder.blockOf('trial', PROMPT), undefined)
  t.ok(holder.mayWrite('trial', PROMPT))
  t.ok(holder.blockOf('second', PROMPT))
  fleet.answer(holder, PROMPT, 'trial')
  await fleet.clock.advance(1_000)
  t.notOk(isBlocked(holder))
  t.notOk(isBlocked(a))
})

t.test('a block that an operator lifts does not come back with an end that has nothing to do with it', async (t) => {
  const fleet = new MonitorFleet()
  const a = fleet.add()
  for (let count = 0; count < 3; count += 1) await fleet.crash(a)
  await fleet.clock.advance(1_000)
  for (const { onBlock } of fleet.records.readers) onBlock({ featureId: 'deadly', revision: 2, blocked: false, sinceAt: fleet.clock.now(), trials: 0, reason: 'an operator' })
  t.notOk(isBlocked(a))
  await fleet.crash(a, ['another'])
  t.notOk(isBlocked(a))
})

t.test('a trial that ends its runner is not sent again, and the next one waits twice as long', async (t) => {
  const fleet = new MonitorFleet()
  const holder = fleet.add(true)
  for (let count = 0; count < 3; count += 1) await fleet.crash(holder)
  await fleet.clock.advance(MINUTE_MS)
  t.equal(holder.blockOf('trial', PROMPT), undefined)
  holder.onSent({ id: 'x', address: '10.0.2.1:80' }, { requestId: 'trial', featureIds: [...PROMPT, 'request-trial'], attempt: 1, begun: false })
  t.ok(holder.blockOf('trial', PROMPT))
  t.notOk(holder.mayWrite('trial', PROMPT))
  await fleet.clock.advance(2 * MINUTE_MS - 1)
  t.ok(holder.blockOf('soon', PROMPT))
  await fleet.clock.advance(1)
  t.equal(holder.blockOf('later', PROMPT), undefined)
})

t.test('requests in progress learn that one of their parts is blocked, as long as they watch it', async (t) => {
  const fleet = new MonitorFleet()
  const a = fleet.add()
  const told: string[] = []
  a.watch(PROMPT, (featureId) => told.push(featureId))
  const unwatch = a.watch(PROMPT, () => told.push('ended'))
  unwatch()
  for (let count = 0; count < 3; count += 1) await fleet.crash(a)
  t.same(told, ['deadly'])
})

t.test('one request under ever new ids is blocked on all hosts after three ends, though its parts are answered in between', async (t) => {
  const fleet = new MonitorFleet()
  const monitors = [fleet.add(), fleet.add(), fleet.add()]
  const [a, b, c] = monitors as [CrashMonitor, CrashMonitor, CrashMonitor]
  for (const monitor of monitors) {
    t.notOk(monitor.isBlocked(['request-same']))
    await fleet.crash(monitor, ['shared', 'session'], 'request-same')
    fleet.answer(b, ['shared', 'session'])
    for (const to of monitors) if (to !== monitor) fleet.exchange(monitor, to)
    if (monitor !== b) fleet.exchange(b, monitor)
  }
  fleet.exchange(c, a)
  await fleet.clock.advance(100)
  t.same(monitors.map((monitor) => monitor.isBlocked(['request-same'])), [true, true, true])
  t.notOk(a.isBlocked(['shared', 'session', 'request-other']))
})

t.test('a request that ends its runners in the middle of its answer is blocked', async (t) => {
  const fleet = new MonitorFleet()
  const a = fleet.add()
  for (let count = 0; count < 3; count += 1) await fleet.crash(a, ['shared'], 'request-same', true)
  t.ok(a.isBlocked(['request-same']))
  t.notOk(a.isBlocked(['shared']))
})

t.test('the first part of an answer clears the parts of a request, the whole answer the request', async (t) => {
  const fleet = new MonitorFleet()
  const a = fleet.add()
  for (let count = 0; count < 2; count += 1) await fleet.crash(a, ['shared'], 'request-same')
  const runner = { id: 'sound', address: '10.0.1.1:80' }
  a.onSent(runner, { requestId: 'slow', featureIds: ['shared', 'request-same'], attempt: 1, begun: false })
  a.onBegun(runner, 'slow')
  t.same(a.update(undefined)?.begun.map(({ featureId }) => featureId), ['shared', 'begun/request-same'])
  a.onLeft(runner, 'slow', Departure.Answered)
  t.same(a.update(undefined)?.begun.map(({ featureId }) => featureId), ['shared', 'begun/request-same', 'request-same'])
})

t.test('hosts that are all restarted keep what they knew of a request', async (t) => {
  const fleet = new MonitorFleet()
  const [a, b] = [fleet.add(), fleet.add()]
  await fleet.crash(a, ['shared'], 'request-same')
  await fleet.crash(b, ['shared'], 'request-same')
  fleet.exchange(a, b)
  fleet.exchange(b, a)
  await fleet.clock.advance(2_000)
  a.stop()
  b.stop()
  const c = fleet.add()
  await fleet.crash(c, ['shared'], 'request-same')
  t.ok(c.isBlocked(['request-same']))
})

t.test('a blocked request is tried twice and then left to operators', async (t) => {
  const fleet = new MonitorFleet()
  const holder = fleet.add(true)
  const request = ['shared', 'request-same']
  for (let count = 0; count < 3; count += 1) await fleet.crash(holder, ['shared'], 'request-same')
  const tried: string[] = []
  for (let minute = 0; minute < 120; minute += 1) {
    await fleet.clock.advance(MINUTE_MS)
    const id = `trial-${minute}`
    if (holder.blockOf(id, request) !== undefined) continue
    tried.push(id)
    holder.onSent({ id: 'x', address: '10.0.2.1:80' }, { requestId: id, featureIds: request, attempt: 1, begun: false })
  }
  t.same(tried, ['trial-0', 'trial-2'])
})

t.test('a wrong block that refuses many requests is tried within seconds and lifted by the first answer', async (t) => {
  const fleet = new MonitorFleet()
  const holder = fleet.add(true)
  for (let count = 0; count < 3; count += 1) await fleet.crash(holder, [], 'request-popular')
  await fleet.clock.advance(3_000)
  const ids = Array.from({ length: 11 }, (_, index) => `refused-${index}`)
  const tried = ids.filter((id) => holder.blockOf(id, ['request-popular']) === undefined)
  t.same(tried, ['refused-10'])
  fleet.answer(holder, [], 'refused-10', 'request-popular')
  t.notOk(holder.isBlocked(['request-popular']))
})

t.test('a trial that its runner refuses does not count', async (t) => {
  const fleet = new MonitorFleet()
  const holder = fleet.add(true)
  for (let count = 0; count < 3; count += 1) await fleet.crash(holder, [], 'request-same')
  for (let count = 0; count < 4; count += 1) {
    await fleet.clock.advance(MINUTE_MS)
    const requestId = `trial-${count}`
    t.equal(holder.blockOf(requestId, ['request-same']), undefined)
    const runner = { id: 'full', address: '10.0.2.1:80' }
    holder.onSent(runner, { requestId, featureIds: ['request-same'], attempt: 1, begun: false })
    holder.onLeft(runner, requestId, Departure.Other)
    t.ok(holder.blockOf(`next-${count}`, ['request-same']))
  }
})
