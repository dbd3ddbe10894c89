import t from 'tap'
import { claimStreamName, hashKey, streamIndexOf } from './keys.js'
import { ClaimCluster, trackCall } from '../testing/claim-cluster.js'

const HOUR_MS = 3_600_000

t.test('a stream task restarted in the same process reuses no record id', async (t) => {
  const cluster = new ClaimCluster({ hosts: ['a'] })
  const stream = claimStreamName(streamIndexOf(hashKey('booking', 'k1')))
  cluster.call('a', 'k1')
  await cluster.clock.advance(HOUR_MS / 5)
  cluster.host('a').streams.reconcile([])
  t.equal(cluster.host('a').streams.stats().length, 0)
  const retry = trackCall(cluster.call('a', 'k1', { body: 'other' }))
  cluster.call('a', 'k1-other')
  for (let n = 0; n < 20; n++) cluster.call('a', `k-${n}`)
  await cluster.clock.advance(1000)
  const { records } = (await cluster.log.read(stream, { from: 1 }))._unsafeUnwrap()
  t.equal(retry.end.code, 4002)
  t.equal(new Set(records.map(({ recordId }) => recordId)).size, records.length)
  t.ok(records.length > 2)
})

t.test('a key is kept after the log has dropped the record of its claim', async (t) => {
  const limits = { keepMs: 4 * HOUR_MS, snapshotEveryMs: HOUR_MS / 4 }
  const cluster = new ClaimCluster({ limits, retentionMs: HOUR_MS })
  const first = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(2 * HOUR_MS)
  t.equal(first.end.kind, 'ran')
  const fresh = cluster.start('d')
  cluster.partitions.add('d-a').add('d-b').add('d-c')
  const retry = trackCall(cluster.call(fresh.name, 'k1'))
  const other = trackCall(cluster.call(fresh.name, 'k1', { body: 'other' }))
  await cluster.clock.advance(3000)
  t.match(retry.end, { kind: 'refused', code: 4003 })
  t.match(other.end, { kind: 'refused', code: 4002 })
  t.equal(cluster.runs.get('k1'), 1)
})

t.test('a gateway that starts on a long stream finds the last snapshot by reading from the end', async (t) => {
  const cluster = new ClaimCluster({ hosts: ['a'], limits: { snapshotEveryMs: 2000 } })
  const stream = claimStreamName(streamIndexOf(hashKey('booking', 'k1')))
  const first = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  for (let n = 0; n < 6000; n++) await cluster.log.append(stream, `filler-${n}`, {})
  await cluster.clock.advance(3000)
  let oldestRead = Infinity
  const read = cluster.log.read.bind(cluster.log)
  cluster.log.read = (name, options) => {
    if (name === stream) oldestRead = Math.min(oldestRead, options.from)
    return read(name, options)
  }
  cluster.kill('a')
  cluster.listed.clear()
  cluster.start('d')
  const retry = trackCall(cluster.call('d', 'k1'))
  await cluster.clock.advance(1000)
  t.equal(first.end.kind, 'ran')
  t.match(retry.end, { kind: 'refused', code: 4003 })
  t.ok(oldestRead > 1500, `read from ${oldestRead}`)
})

t.test('a key is kept for at least keepMs and forgotten a little after twice that time', async (t) => {
  const cluster = new ClaimCluster({ limits: { keepMs: HOUR_MS / 10, snapshotEveryMs: HOUR_MS / 40 } })
  const first = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(HOUR_MS / 10)
  const within = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(1.3 * HOUR_MS / 10)
  const after = trackCall(cluster.call('b', 'k1'))
  await cluster.clock.advance(1000)
  t.same([first.end.kind, within.end.kind, after.end.kind], ['ran', 'replay', 'ran'])
})

t.test('a stream at its limit of keys refuses new ones as not run', async (t) => {
  const cluster = new ClaimCluster({ limits: { maxKeys: 0 } })
  await cluster.clock.advance(100)
  const call = trackCall(cluster.call('a', 'k1'))
  await cluster.clock.advance(1000)
  t.match(call.end, { kind: 'refused', code: 4004, ran: 'no' })
})

t.test('a stream with lost records refuses claims until all keys that it may have held have expired', async (t) => {
  const limits = { keepMs: HOUR_MS, snapshotEveryMs: 100 * HOUR_MS }
  const cluster = new ClaimCluster({ limits, retentionMs: HOUR_MS / 4 })
  cluster.call('a', 'k1')
  await cluster.clock.advance(1000)
  for (const host of ['a', 'b', 'c']) cluster.kill(host)
  cluster.listed.clear()
  await cluster.clock.advance(HOUR_MS / 2)
  cluster.start('d')
  await cluster.startAllStreams()
  for (const waitMs of [1000, HOUR_MS / 2]) {
    await cluster.clock.advance(waitMs)
    const early = trackCall(cluster.call('d', 'k1', { timeoutMs: 30_000 }))
    await cluster.clock.advance(1000)
    t.match(early.end, { kind: 'refused', code: 4004, ran: 'no' })
  }
  await cluster.clock.advance(0.7 * HOUR_MS)
  const late = trackCall(cluster.call('d', 'k2'))
  await cluster.clock.advance(3000)
  t.equal(late.end.kind, 'ran')
  t.equal(cluster.runs.get('k1'), 1)
})
