import t from 'tap'
import { ClaimCluster, settled, type KillPoint } from '../testing/claim-cluster.js'

const HOUR_MS = 3_600_000

t.test('a repeat at another host gets the kept answer', async (t) => {
  const cluster = new ClaimCluster()
  const first = settled(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  t.same(first.end, { kind: 'ran', body: 'k1 run 1' })
  const repeat = settled(cluster.call('b', 'k1'))
  await cluster.clock.advance(1000)
  t.same(repeat.end, { kind: 'replay', body: 'k1 run 1' })
})

t.test('the same key at two hosts at the same moment runs once', async (t) => {
  const cluster = new ClaimCluster()
  const ends = ['a', 'b', 'c'].map((host) => settled(cluster.call(host, 'k1', { serviceMs: 300 })))
  await cluster.clock.advance(1000)
  t.same(ends.map(({ end }) => end.kind).sort(), ['ran', 'refused', 'refused'])
  t.equal(ends.filter(({ end }) => end.code === 4005).length, 2)
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('the same key with another request is refused', async (t) => {
  const cluster = new ClaimCluster()
  cluster.call('a', 'k1')
  await cluster.clock.advance(1000)
  const other = settled(cluster.call('b', 'k1', { body: 'other' }))
  await cluster.clock.advance(1000)
  t.match(other.end, { kind: 'refused', code: 4002, ran: 'no' })
})

for (const killAt of ['after-claim', 'after-send', 'after-answer'] as KillPoint[]) {
  t.test(`entry host killed ${killAt}: repeats never run it again`, async (t) => {
    const cluster = new ClaimCluster()
    const first = settled(cluster.call('a', 'k1', { killAt }))
    await cluster.clock.advance(1000)
    t.equal(first.end.kind, 'lost')
    cluster.listed.delete('a')
    const repeats = ['b', 'c'].map((host) => settled(cluster.call(host, 'k1')))
    await cluster.clock.advance(3000)
    for (const { end } of repeats) t.match(end, { kind: 'refused', code: 4003, ran: 'unknown' })
    t.equal(cluster.runs.get('k1') ?? 0, killAt === 'after-claim' ? 0 : 1)
  })
}

t.test('entry host killed before its claim was appended: a repeat runs once', async (t) => {
  const cluster = new ClaimCluster()
  const first = settled(cluster.call('a', 'k1'))
  cluster.kill('a')
  cluster.listed.delete('a')
  await cluster.clock.advance(1000)
  const repeat = settled(cluster.call('b', 'k1'))
  await cluster.clock.advance(3000)
  t.equal(first.end.kind, 'lost')
  t.equal(repeat.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('append answer lost: the claim is read back and runs once', async (t) => {
  const cluster = new ClaimCluster()
  await cluster.clock.advance(100)
  cluster.log.faults.loseAnswers = 1
  const first = settled(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  t.equal(first.end.kind, 'ran')
  const repeat = settled(cluster.call('c', 'k1'))
  await cluster.clock.advance(1000)
  t.equal(repeat.end.kind, 'replay')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('gateways change between two calls: the second sees the first', async (t) => {
  const cluster = new ClaimCluster()
  const first = settled(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  for (const host of ['d', 'e', 'f']) cluster.start(host)
  for (const host of ['a', 'b', 'c']) cluster.listed.delete(host)
  const repeats = ['d', 'e', 'b'].map((host) => settled(cluster.call(host, 'k1')))
  await cluster.clock.advance(3000)
  t.equal(first.end.kind, 'ran')
  for (const { end } of repeats) t.equal(end.kind, 'replay')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('hosts that disagree on the gateways still run a key once', async (t) => {
  const cluster = new ClaimCluster()
  for (const [from, to] of [['a', 'b'], ['b', 'c'], ['a', 'c']]) cluster.cuts.add(`${from}-${to}`)
  const ends = ['a', 'b', 'c'].map((host) => settled(cluster.call(host, 'k1', { serviceMs: 100 })))
  await cluster.clock.advance(3000)
  t.same(ends.map(({ end }) => end.kind).sort(), ['ran', 'refused', 'refused'])
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('in an outage calls are refused at once and not run; after it the same key runs', async (t) => {
  const cluster = new ClaimCluster()
  const before = settled(cluster.call('a', 'k0'))
  await cluster.clock.advance(1000)
  cluster.log.faults.down = true
  const onset = settled(cluster.call('a', 'k1', { timeoutMs: 30_000 }))
  await cluster.clock.advance(1000)
  t.match(onset.end, { kind: 'refused', code: 4004, ran: 'no' })
  const during = settled(cluster.call('a', 'k1', { timeoutMs: 30_000 }))
  const known = settled(cluster.call('a', 'k0'))
  await cluster.clock.advance(20)
  t.match(during.end, { kind: 'refused', code: 4004, ran: 'no' })
  t.same([before.end.kind, known.end.kind], ['ran', 'replay'])
  await cluster.clock.advance(HOUR_MS)
  cluster.log.faults.down = false
  await cluster.clock.advance(5000)
  const after = settled(cluster.call('b', 'k1'))
  await cluster.clock.advance(3000)
  t.equal(after.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('a host that wakes after its deadline sends nothing and frees the key', async (t) => {
  const cluster = new ClaimCluster()
  const first = settled(cluster.call('a', 'k1', { timeoutMs: 500 }))
  await cluster.clock.advance(10)
  cluster.host('a').gate.freeze()
  await cluster.clock.advance(5000)
  cluster.host('a').gate.thaw()
  await cluster.clock.advance(2000)
  t.match(first.end, { kind: 'refused', code: 4004, ran: 'no' })
  const repeat = settled(cluster.call('b', 'k1'))
  await cluster.clock.advance(2000)
  t.equal(repeat.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('retention passing: a key outlives the record of its claim', async (t) => {
  const limits = { keepMs: 4 * HOUR_MS, snapshotEveryMs: HOUR_MS / 4 }
  const cluster = new ClaimCluster({ limits, retentionMs: HOUR_MS })
  const first = settled(cluster.call('a', 'k1'))
  await cluster.clock.advance(2 * HOUR_MS)
  t.equal(first.end.kind, 'ran')
  const fresh = cluster.start('d')
  cluster.cuts.add('d-a').add('d-b').add('d-c')
  const repeat = settled(cluster.call(fresh.name, 'k1'))
  const other = settled(cluster.call(fresh.name, 'k1', { body: 'other' }))
  await cluster.clock.advance(3000)
  t.match(repeat.end, { kind: 'refused', code: 4003 })
  t.match(other.end, { kind: 'refused', code: 4002 })
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('a stream without an unbroken start is refused until its keys are surely old', async (t) => {
  const limits = { keepMs: HOUR_MS, snapshotEveryMs: 100 * HOUR_MS }
  const cluster = new ClaimCluster({ limits, retentionMs: HOUR_MS / 4 })
  cluster.call('a', 'k1')
  await cluster.clock.advance(1000)
  for (const host of ['a', 'b', 'c']) cluster.kill(host)
  cluster.listed.clear()
  await cluster.clock.advance(HOUR_MS / 2)
  cluster.start('d')
  await cluster.clock.advance(1000)
  const early = settled(cluster.call('d', 'k1', { timeoutMs: 30_000 }))
  await cluster.clock.advance(1000)
  t.match(early.end, { kind: 'refused', code: 4004, ran: 'no' })
  await cluster.clock.advance(1.2 * HOUR_MS)
  const late = settled(cluster.call('d', 'k2'))
  await cluster.clock.advance(3000)
  t.equal(late.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})
