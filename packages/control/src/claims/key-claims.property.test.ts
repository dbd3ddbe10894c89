import t from 'tap'
import fc from 'fast-check'
import { ClaimCluster, trackCall, type CallEnd, type KillPoint } from '../testing/claim-cluster.js'

const HOSTS = ['a', 'b', 'c']
const NUM_RUNS = 200
const SEED = 5
const END_MS = 20_000
const LONG_RETENTION_MS = 3_600_000
const SHORT_RETENTION_MS = 8000

type Action =
  | { kind: 'call', host: string, key: string, timeoutMs: number, serviceMs: number, killAt: KillPoint | undefined }
  | { kind: 'kill' | 'freeze' | 'thaw' | 'disconnect-log' | 'reconnect-log', host: string }
  | { kind: 'partition' | 'reconnect', pair: string }
  | { kind: 'log', down: boolean, delayMs: number, loseAnswers: number, rejectAppends: number }
  | { kind: 'remove-from-list' }
type Step = { afterMs: number, action: Action }

const host = fc.constantFrom(...HOSTS)
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('call' as const),
      host,
      key: fc.constantFrom('k1', 'k2'),
      timeoutMs: fc.constantFrom(60, 400, 5000),
      serviceMs: fc.constantFrom(1, 50, 800),
      killAt: fc.oneof({ weight: 8, arbitrary: fc.constant(undefined) }, { weight: 2, arbitrary: fc.constantFrom<KillPoint>('after-claim', 'after-send', 'after-answer') })
    })
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('kill' as const, 'freeze' as const, 'thaw' as const, 'disconnect-log' as const, 'reconnect-log' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('partition' as const, 'reconnect' as const), pair: fc.constantFrom('a-b', 'b-c', 'a-c') }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('log' as const),
      down: fc.boolean(),
      delayMs: fc.constantFrom(0, 0, 15, 300, 1500),
      loseAnswers: fc.nat(3),
      rejectAppends: fc.nat(2)
    })
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'remove-from-list' as const }) }
)
const script = fc.array(fc.record({ afterMs: fc.constantFrom(0, 1, 5, 21, 40, 300, 2000), action }), { minLength: 4, maxLength: 25 })

/** Runs a script, ends all faults, and then calls each host with both keys again. */
async function play (steps: Step[], retentionMs: number): Promise<{ cluster: ClaimCluster, ends: { key: string, result: { end: CallEnd } }[] }> {
  const cluster = new ClaimCluster({ limits: { keepMs: 600_000, snapshotEveryMs: retentionMs / 4 }, retentionMs })
  const ends: { key: string, result: { end: CallEnd } }[] = []
  const call = (host: string, key: string, options = {}) => ends.push({ key, result: trackCall(cluster.call(host, key, options)) })
  for (const { afterMs, action } of steps) {
    await cluster.clock.advance(afterMs)
    perform(cluster, action, call)
  }
  endFaults(cluster)
  await cluster.clock.advance(END_MS)
  endFaults(cluster)
  await cluster.clock.advance(END_MS)
  for (const key of ['k1', 'k2']) for (const host of HOSTS) call(host, key)
  await cluster.clock.advance(END_MS)
  return { cluster, ends }
}

function perform (cluster: ClaimCluster, action: Action, call: (host: string, key: string, options: object) => void): void {
  switch (action.kind) {
    case 'call': return call(action.host, action.key, action)
    case 'kill':
      cluster.kill(action.host)
      cluster.start(action.host)
      return
    case 'freeze': return cluster.host(action.host).gate.freeze()
    case 'thaw': return cluster.host(action.host).gate.thaw()
    case 'disconnect-log': cluster.host(action.host).log.disconnected = true; return
    case 'reconnect-log': cluster.host(action.host).log.disconnected = false; return
    case 'partition': cluster.partitions.add(action.pair); return
    case 'reconnect': cluster.partitions.delete(action.pair); return
    case 'log': Object.assign(cluster.log.faults, action); return
    case 'remove-from-list': cluster.listed.delete('a')
  }
}

function endFaults (cluster: ClaimCluster): void {
  Object.assign(cluster.log.faults, { down: false, delayMs: 0, loseAnswers: 0, rejectAppends: 0 })
  cluster.partitions.clear()
  for (const name of HOSTS) {
    const host = cluster.host(name)
    host.log.disconnected = false
    host.gate.thaw()
    if (host.gate.dead) cluster.start(name)
    cluster.listed.add(name)
  }
}

/** Returns which promise was broken for a key; undefined if none was. */
function findFault (runs: number, ends: CallEnd[], kept: boolean): string | undefined {
  const last = ends.slice(-HOSTS.length)
  const allNotRun = ends.every(({ kind, ran }) => kind === 'refused' && ran === 'no')
  if (runs > 1) return `ran ${runs} times`
  if (new Set(ends.flatMap(({ body }) => body ?? [])).size > 1) return 'was answered in two ways'
  if (allNotRun && runs > 0) return 'ran although every call was refused as not run'
  if (last.every(({ kind }) => kind === 'lost')) return 'got no answer at any host after all faults ended'
  if (kept && last.some(({ code }) => code === 4004)) return 'cannot be claimed after all faults ended'
  return undefined
}

async function checkInterleavings (retentionMs: number): Promise<number> {
  let calls = 0
  await fc.assert(fc.asyncProperty(script, async (steps) => {
    const { cluster, ends } = await play(steps, retentionMs)
    calls += ends.length
    for (const { streams } of cluster.hosts.values()) streams.stop()
    for (const key of ['k1', 'k2']) {
      const ofKey = ends.filter((end) => end.key === key).map(({ result }) => result.end)
      const fault = findFault(cluster.runs.get(key) ?? 0, ofKey, retentionMs === LONG_RETENTION_MS)
      if (fault !== undefined) throw new Error(`${key} ${fault}`)
    }
  }), { numRuns: NUM_RUNS, seed: SEED })
  return calls
}

t.test('no interleaving runs a key twice, or runs one whose calls were all refused as not run', async (t) => {
  t.comment(`${await checkInterleavings(LONG_RETENTION_MS)} calls`)
})

t.test('the same holds while the log drops records that its readers have not read yet', async (t) => {
  t.comment(`${await checkInterleavings(SHORT_RETENTION_MS)} calls`)
})
