import t from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { MemoryLog } from '@figloom/standin'
import { ConfigFollower, CONFIG_STREAM } from './config-follower.js'
import { CountingRule, type CountingState } from '../testing/counting-rule.js'
import { publishEdit } from './publish.js'
import { FollowerStatus, SnapshotSource } from './types.js'

const HOUR_MS = 3_600_000

class FixedPeers extends SnapshotSource {
  constructor (readonly snapshots: unknown[] = []) { super() }

  override async fetch (): Promise<unknown[]> { return this.snapshots }
}

function setUp (options: { retentionMs?: number, hosts?: string[] } = {}) {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock, retentionMs: options.retentionMs ?? HOUR_MS })
  const seen = new Map<string, number[]>()
  const startHost = (host: string, peers: unknown[] = []) => {
    const snapshots = { host, everyMs: HOUR_MS / 4, hosts: () => options.hosts ?? [host] }
    const follower = ConfigFollower.create<CountingState>({
      log, clock, logger: silentLogger, rule: CountingRule.create(), peers: new FixedPeers(peers), snapshots
    })
    const versions: number[] = []
    seen.set(host, versions)
    follower.subscribe((_, version) => versions.push(version))
    follower.start()
    return follower
  }
  const edit = async (recordId: string, base: number, value: string) => {
    const result = await log.append(CONFIG_STREAM, recordId, { rule: 1, base, value })
    await clock.advance(0)
    return result
  }
  const publish = (follower: ConfigFollower<CountingState>, editId: string, base: number) =>
    publishEdit({ log, clock, follower, editId, body: { rule: 1, base, value: editId }, timeoutMs: 2000 })
  return { clock, log, seen, startHost, edit, publish }
}

t.test('of two concurrent edits one is accepted and one conflicts, the same on every host', async (t) => {
  const { clock, startHost, publish } = setUp()
  const [a, b] = [startHost('a'), startHost('b')]
  await clock.advance(10)
  const both = Promise.all([publish(a, 'edit-1', 0), publish(b, 'edit-2', 0)])
  await clock.advance(500)
  const verdicts = (await both).map((result) => result._unsafeUnwrap().verdict)
  t.same(verdicts.sort(), ['accepted', 'conflicting'])
  t.same(a.current(), b.current())
})

t.test('answer to the append lost: a retry with the same id is the same edit', async (t) => {
  const { clock, log, startHost, publish } = setUp()
  const a = startHost('a')
  await clock.advance(10)
  log.faults.loseAnswers = 1
  const first = publish(a, 'edit-1', 0)
  await clock.advance(500)
  t.equal((await first)._unsafeUnwrap().verdict, 'accepted')
  const again = publish(a, 'edit-1', 0)
  await clock.advance(500)
  t.equal((await again)._unsafeUnwrap().offset, 1)
  t.equal(a.report().version, 1)
})

t.test('publishing during a log outage fails as possibly published', async (t) => {
  const { clock, log, startHost, publish } = setUp()
  const a = startHost('a')
  await clock.advance(10)
  log.faults.down = true
  const result = publish(a, 'edit-1', 0)
  await clock.advance(3000)
  t.match((await result)._unsafeUnwrapErr(), { code: { code: 6001 }, ran: 'unknown' })
})

t.test('a host whose next record the log has dropped starts from the snapshot, and versions never go back', async (t) => {
  const { clock, log, seen, startHost, edit } = setUp()
  startHost('a')
  await edit('edit-1', 0, 'one')
  const late = startHost('late')
  await clock.advance(10)
  late.stop()
  await clock.advance(HOUR_MS * 2)
  await edit('edit-2', 1, 'two')
  const empty = startHost('empty')
  await clock.advance(10)
  t.equal(empty.current()?.value, 'two')
  t.ok((await log.read(CONFIG_STREAM, { from: 1 })).isErr())
  t.same(seen.get('a'), [...new Set(seen.get('a'))])
})

t.test('a follower that was cut off for longer than the retention resumes from a snapshot', async (t) => {
  const { clock, log, seen, startHost, edit } = setUp()
  startHost('a')
  const b = startHost('b', [])
  await edit('edit-1', 0, 'one')
  const read = log.read.bind(log)
  let cut = true
  log.read = (stream, options) => cut && options.from === 2 && options.waitMs !== undefined ? read('void', options) : read(stream, options)
  await clock.advance(HOUR_MS * 3)
  cut = false
  await clock.advance(20_000)
  t.equal(b.report().status, FollowerStatus.Following)
  t.same(seen.get('b'), [1])
  await edit('edit-2', 1, 'two')
  await clock.advance(20_000)
  t.equal(b.current()?.value, 'two')
})

t.test('a follower whose next record was dropped keeps its state if its only peer has an older one', async (t) => {
  const { clock, log, seen, startHost, edit } = setUp({ retentionMs: HOUR_MS / 60 })
  await edit('edit-1', 0, 'one')
  const peers: unknown[] = []
  const b = startHost('b', peers)
  await clock.advance(10)
  peers.push(b.snapshot(0)?.snapshot)
  const read = log.read.bind(log)
  log.read = (stream, options) => options.from === 3 ? read('void', options) : read(stream, options)
  await edit('edit-2', 1, 'two')
  await log.append(CONFIG_STREAM, 'edit-3', { rule: 1, base: 2, value: 'three' })
  await clock.advance(HOUR_MS / 30)
  log.read = read
  await clock.advance(20_000)
  t.equal(b.current()?.value, 'two')
  t.equal(b.report().status, FollowerStatus.LogUnreachable)
  t.same(seen.get('b'), [1, 2])
})

t.test('a host that starts from a stale peer takes the newer state of the log', async (t) => {
  const { clock, seen, startHost, edit } = setUp()
  const a = startHost('a')
  await edit('edit-1', 0, 'one')
  const stale = a.snapshot(0)?.snapshot
  await edit('edit-2', 1, 'two')
  const b = startHost('b', [stale])
  await clock.advance(100)
  t.equal(b.current()?.value, 'two')
  t.same(seen.get('b'), [1, 2])
})

t.test('a peer\'s state that is newer than the log is kept', async (t) => {
  const { clock, seen, startHost, edit } = setUp()
  const ahead: CountingState = { offset: 9, version: 9, value: 'nine', edits: [] }
  const b = startHost('b', [ahead])
  await clock.advance(20_000)
  t.equal(b.report().status, FollowerStatus.LogBehind)
  await edit('old-1', 0, 'old')
  await clock.advance(20_000)
  t.equal(b.current()?.value, 'nine')
  t.same(seen.get('b'), [9])
})

t.test('a host without a state serves the newest of its peers\' during a log outage and catches up later', async (t) => {
  const { clock, log, startHost, edit } = setUp()
  const a = startHost('a')
  await edit('edit-1', 0, 'one')
  const older = a.snapshot(0)?.snapshot
  await edit('edit-2', 1, 'two')
  const newer = a.snapshot(0)?.snapshot
  log.faults.down = true
  const b = startHost('b', [older, newer, older])
  const alone = startHost('alone')
  await clock.advance(5000)
  t.match(b.report(), { ready: true, version: 2, status: FollowerStatus.LogUnreachable })
  t.match(alone.report(), { ready: false, version: 0 })
  log.faults.down = false
  await edit('edit-3', 2, 'three')
  await clock.advance(5000)
  t.equal(b.current()?.value, 'three')
  t.equal(alone.current()?.value, 'three')
})

t.test('an older release stops at a record with a newer rule version and keeps serving', async (t) => {
  const { clock, log, seen, startHost, edit } = setUp()
  const a = startHost('a')
  await edit('edit-1', 0, 'one')
  await log.append(CONFIG_STREAM, 'newer', { rule: 2, value: 'new' })
  await edit('edit-2', 1, 'two')
  await clock.advance(60_000)
  t.match(a.report(), { status: FollowerStatus.UnknownRule, ready: true, offset: 1, version: 1 })
  t.same(seen.get('a'), [1])
})

t.test('records appended late, after a partition, conflict and revert nothing', async (t) => {
  const { clock, log, startHost, edit } = setUp()
  const a = startHost('a')
  await edit('edit-1', 0, 'one')
  await edit('edit-2', 1, 'two')
  await log.append(CONFIG_STREAM, 'held-back', { rule: 1, base: 1, value: 'old' })
  await log.append(CONFIG_STREAM, 'edit-1', { rule: 1, base: 0, value: 'one' })
  await clock.advance(100)
  t.equal(a.current()?.value, 'two')
  t.equal(a.verdictOf('held-back')?.verdict, 'conflicting')
  t.match(a.report(), { offset: 4, version: 2 })
})

t.test('usually only one of five hosts re-appends the snapshot', async (t) => {
  const hosts = ['a', 'b', 'c', 'd', 'e']
  const { clock, log, startHost, edit } = setUp({ hosts })
  for (const host of hosts) startHost(host)
  await edit('edit-1', 0, 'one')
  const before = log.appendCount
  log.faults.delayMs = 20
  await clock.advance(HOUR_MS)
  t.ok(log.appendCount - before <= 8, `${log.appendCount - before} snapshots in an hour`)
  t.ok(log.appendCount - before >= 4)
})
