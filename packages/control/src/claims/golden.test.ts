/** Golden file of a session of claims: the contents of the streams and the answer to each call. */
import t from 'tap'
import { readFileSync } from 'node:fs'
import { ClaimCluster, trackCall, type CallEnd } from '../testing/claim-cluster.js'
import { claimStreamName } from './keys.js'
import { CLAIM_STREAM_COUNT } from './types.js'

const GOLDEN = new URL('../../src/claims/golden/session.json', import.meta.url)

type RecordedCall = { at: number, host: string, key: string, result: CallEnd }

/** A booking, two concurrent calls, a lost append answer, a kill after sending, a log outage, a frozen host, a rotation. */
async function runSession (): Promise<unknown> {
  const cluster = new ClaimCluster({ limits: { keepMs: 60_000, snapshotEveryMs: 40_000 } })
  const calls: { at: number, host: string, key: string, tracked: { end: CallEnd } }[] = []
  const call = async (host: string, key: string, waitMs = 1500, options = {}) => {
    calls.push({ at: cluster.clock.monotonicMs(), host, key, tracked: trackCall(cluster.call(host, key, options)) })
    await cluster.clock.advance(waitMs)
  }
  await call('a', 'booking-1')
  await call('b', 'booking-1')
  await call('a', 'booking-2', 0, { serviceMs: 100 })
  await call('c', 'booking-2')
  cluster.log.faults.loseAnswers = 1
  await call('b', 'booking-3')
  await call('b', 'booking-4', 1500, { killAt: 'after-send' })
  cluster.listed.delete('b')
  await call('c', 'booking-4')
  cluster.start('b')
  cluster.log.faults.down = true
  await call('a', 'booking-5')
  cluster.log.faults.down = false
  await cluster.clock.advance(12_000)
  await call('c', 'booking-5')
  await call('a', 'booking-6', 5, { timeoutMs: 300 })
  cluster.host('a').gate.freeze()
  await cluster.clock.advance(5000)
  cluster.host('a').gate.thaw()
  await cluster.clock.advance(2000)
  await call('b', 'booking-6')
  await cluster.clock.advance(70_000)
  await call('c', 'booking-1', 3000, { body: 'changed' })
  const streams = await readStreams(cluster)
  for (const { streams } of cluster.hosts.values()) streams.stop()
  const recorded: RecordedCall[] = calls.map(({ tracked, ...rest }) => ({ ...rest, result: tracked.end }))
  return JSON.parse(JSON.stringify({ calls: recorded, runs: Object.fromEntries(cluster.runs), streams }))
}

async function readStreams (cluster: ClaimCluster): Promise<unknown> {
  const streams: Record<string, unknown> = {}
  for (let index = 0; index < CLAIM_STREAM_COUNT; index++) {
    const page = await cluster.log.read(claimStreamName(index), { from: 1 })
    const { records } = page._unsafeUnwrap()
    if (records.length > 0) streams[claimStreamName(index)] = records
  }
  return streams
}

t.test('the session gives the recorded streams and answers', async (t) => {
  t.same(await runSession(), JSON.parse(readFileSync(GOLDEN, 'utf8')))
})
