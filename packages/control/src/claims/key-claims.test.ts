import t from 'tap'
import { rankGateways } from './gateways.js'
import { hashKey, streamIndexOf } from './keys.js'
import { ClaimCluster, trackCall, type KillPoint } from '../testing/claim-cluster.js'

const HOUR_MS = 3_600_000

t.test('a retry at another host gets the kept answer', async (t) => {
  const cluster = new ClaimCluster()
  const first = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  t.same(first.end, { kind: 'ran', body: 'k1 run 1' })
  const retry = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(1000)
  t.same(retry.end, { kind: 'replay', body: 'k1 run 1' })
})

t.test('the same key at three hosts at the same time runs once', async (t) => {
  const cluster = new ClaimCluster()
  const ends = ['a', 'b', 'c'].map((host) => trackCall(cluster.call(host, 'k1', { serviceMs: 300 })))
  await cluster.clock.advance(1000)
  t.same(ends.map(({ end }) => end.kind).sort(), ['ran', 'refused', 'refused'])
  t.equal(ends.filter(({ end }) => end.code === 4005).length, 2)
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('the same key with another request is refused', async (t) => {
  const cluster = new ClaimCluster()
  cluster.call('a', 'k1')
  await cluster.clock.advance(1000)
  const other = trackCall(cluster.call('b', 'k1', { body: 'other' }))
  await cluster.clock.advance(1000)
  t.match(other.end, { kind: 'refused', code: 4002, ran: 'no' })
})

for (const killAt of ['after-claim', 'after-send', 'after-answer'] as KillPoint[]) {
  t.test(`entry host killed ${killAt}: retries never run the call again`, async (t) => {
    const cluster = new ClaimCluster()
    const first = trackCall(cluster.call('a', 'k1', { killAt }))
    await cluster.clock.advance(1000)
    t.equal(first.end.kind, 'lost')
    cluster.listed.delete('a')
    const retries = ['b', 'c'].map((host) => trackCall(cluster.call(host, 'k1')))
    await cluster.clock.advance(3000)
    for (const { end } of retries) t.match(end, { kind: 'refused', code: 4003, ran: 'unknown' })
    t.equal(cluster.runs.get('k1') ?? 0, killAt === 'after-claim' ? 0 : 1)
  })
}

t.test('entry host killed before its claim was appended: a retry runs once', async (t) => {
  const cluster = new ClaimCluster()
  const first = trackCall(cluster.call('a', 'k1'))
  cluster.kill('a')
  cluster.listed.delete('a')
  await cluster.clock.advance(1000)
  const retry = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(3000)
  t.equal(first.end.kind, 'lost')
  t.equal(retry.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('all hosts killed after the append was sent, before it was read back: retries never run the call', async (t) => {
  const cluster = new ClaimCluster()
  await cluster.startAllStreams()
  cluster.log.faults.delayMs = 100
  const first = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(60)
  for (const host of ['a', 'b', 'c']) cluster.kill(host)
  cluster.listed.clear()
  cluster.start('d')
  await cluster.clock.advance(1000)
  const retry = trackCall(cluster.call('d', 'k1'))
  await cluster.clock.advance(3000)
  t.equal(first.end.kind, 'lost')
  t.match(retry.end, { kind: 'refused', code: 4003, ran: 'unknown' })
  t.equal(cluster.runs.get('k1'), undefined)
})

t.test('a host frozen between the claim and the send sends nothing after its deadline', async (t) => {
  const cluster = new ClaimCluster()
  const fingerprint = new Uint8Array(32)
  const claim = cluster.host('a').claims.claim({ service: 'booking', key: 'k1', fingerprint, timeoutMs: 500 })
  await cluster.clock.advance(200)
  const result = await claim
  await cluster.clock.advance(400)
  t.equal(result.kind === 'won' && result.attempt.beginSend(), false)
  await cluster.clock.advance(1000)
  const retry = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(1000)
  t.equal(retry.end.kind, 'ran')
})

t.test('the key of a call that reached no backend server can be claimed again', async (t) => {
  const cluster = new ClaimCluster()
  const claim = cluster.host('a').claims.claim({ service: 'booking', key: 'k1', fingerprint: new Uint8Array(32), timeoutMs: 500 })
  await cluster.clock.advance(200)
  const result = await claim
  if (result.kind !== 'won') return t.fail('not won')
  t.equal(result.attempt.beginSend(), true)
  t.equal(result.attempt.beginSend(), false)
  result.attempt.notSent()
  await cluster.clock.advance(1000)
  const retry = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(1000)
  t.equal(retry.end.kind, 'ran')
})

t.test('an answer over the size limit is not kept; retries fail with an unknown outcome', async (t) => {
  const cluster = new ClaimCluster()
  const claim = cluster.host('a').claims.claim({ service: 'booking', key: 'k1', fingerprint: new Uint8Array(32), timeoutMs: 500 })
  await cluster.clock.advance(200)
  const result = await claim
  if (result.kind !== 'won') return t.fail('not won')
  result.attempt.beginSend()
  result.attempt.answered({ status: 200, headers: [], body: new Uint8Array(8193) })
  await cluster.clock.advance(1000)
  const retry = cluster.host('b').claims.claim({ service: 'booking', key: 'k1', fingerprint: new Uint8Array(32), timeoutMs: 500 })
  await cluster.clock.advance(1000)
  t.match(await retry, { kind: 'refused', failure: { code: { code: 4003 } } })
})

t.test('answer to the append lost: the claim is read back and the call runs once', async (t) => {
  const cluster = new ClaimCluster()
  await cluster.startAllStreams()
  cluster.log.faults.loseAnswers = 1
  const first = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  t.equal(first.end.kind, 'ran')
  const retry = trackCall(cluster.call('c', 'k1'))
  await cluster.clock.advance(1000)
  t.equal(retry.end.kind, 'replay')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('gateways change between two calls: the second gets the answer of the first', async (t) => {
  const cluster = new ClaimCluster()
  const first = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  for (const host of ['d', 'e', 'f']) cluster.start(host)
  for (const host of ['a', 'b', 'c']) cluster.listed.delete(host)
  const retries = ['d', 'e', 'b'].map((host) => trackCall(cluster.call(host, 'k1')))
  await cluster.clock.advance(3000)
  t.equal(first.end.kind, 'ran')
  for (const { end } of retries) t.equal(end.kind, 'replay')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('hosts that disagree on the gateways still run a key once', async (t) => {
  const cluster = new ClaimCluster()
  for (const [from, to] of [['a', 'b'], ['b', 'c'], ['a', 'c']]) cluster.partitions.add(`${from}-${to}`)
  const ends = ['a', 'b', 'c'].map((host) => trackCall(cluster.call(host, 'k1', { serviceMs: 100 })))
  await cluster.clock.advance(3000)
  t.same(ends.map(({ end }) => end.kind).sort(), ['ran', 'refused', 'refused'])
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('a call does not wait again for a gateway that recently failed to answer', async (t) => {
  const cluster = new ClaimCluster({ hosts: ['a', 'b', 'c', 'd'] })
  await cluster.startAllStreams()
  const [gateway = '', second = ''] = rankGateways(streamIndexOf(hashKey('booking', 'k1')), cluster.candidates())
  const entry = ['a', 'b', 'c', 'd'].find((host) => host !== gateway && host !== second) ?? ''
  cluster.host(gateway).gate.freeze()
  const first = trackCall(cluster.call(entry, 'k1', { timeoutMs: 1000 }))
  await cluster.clock.advance(450)
  t.equal(first.end.kind, 'lost')
  await cluster.clock.advance(550)
  const retry = trackCall(cluster.call(entry, 'k1', { timeoutMs: 1000 }))
  await cluster.clock.advance(400)
  t.same([first.end.kind, retry.end.kind], ['ran', 'replay'])
})

t.test('during a log outage calls are refused at once and not run; afterwards the same key runs', async (t) => {
  const cluster = new ClaimCluster()
  await cluster.startAllStreams()
  const before = trackCall(cluster.call('a', 'k0'))
  await cluster.clock.advance(1000)
  cluster.log.faults.down = true
  const onset = ['a', 'b', 'c'].map((host) => trackCall(cluster.call(host, 'k1', { timeoutMs: 30_000 })))
  await cluster.clock.advance(700)
  for (const { end } of onset) t.match(end, { kind: 'refused', code: 4004, ran: 'no' })
  const during = trackCall(cluster.call('a', 'k1', { timeoutMs: 30_000 }))
  const known = trackCall(cluster.call('a', 'k0'))
  await cluster.clock.advance(20)
  t.match(during.end, { kind: 'refused', code: 4004, ran: 'no' })
  t.same([before.end.kind, known.end.kind], ['ran', 'replay'])
  await cluster.clock.advance(HOUR_MS / 60)
  cluster.log.faults.down = false
  await cluster.clock.advance(5000)
  const after = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(3000)
  t.equal(after.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('a host that resumes after the deadline sends nothing and releases the key', async (t) => {
  const cluster = new ClaimCluster()
  const first = trackCall(cluster.call('a', 'k1', { timeoutMs: 500 }))
  await cluster.clock.advance(10)
  cluster.host('a').gate.freeze()
  await cluster.clock.advance(5000)
  cluster.host('a').gate.thaw()
  await cluster.clock.advance(2000)
  t.match(first.end, { kind: 'refused', code: 4004, ran: 'no' })
  const retry = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(2000)
  t.equal(retry.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})
