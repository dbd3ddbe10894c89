import t from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { MemoryLog } from '@figloom/standin'
import { tablesOf, type ConfigState, type EditRecord, type RowChange } from '@figloom/tables'
import { ConfigFollower } from './config-follower.js'
import { publishEdit } from './publish.js'
import { TablesRule } from './tables-rule.js'
import { SnapshotSource } from './types.js'

class Peers extends SnapshotSource {
  constructor (readonly followers: ConfigFollower<ConfigState>[]) { super() }

  override async fetch (newerThanOffset: number): Promise<unknown[]> {
    return this.followers.flatMap((follower) => follower.snapshot(newerThanOffset)?.snapshot ?? [])
  }
}

function setUp () {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  const start = (host: string, peers: ConfigFollower<ConfigState>[] = []) => {
    const snapshots = { host, everyMs: 60_000, hosts: () => [host] }
    const follower = ConfigFollower.create({ log, clock, logger: silentLogger, rule: TablesRule.create(), peers: new Peers(peers), snapshots })
    follower.start()
    return follower
  }
  const publish = (follower: ConfigFollower<ConfigState>, editId: string, author: string, baseOffset: number, changes: RowChange[]) => {
    const body: EditRecord = { kind: 'edit', ruleVersion: 1, editId, author, baseOffset, changes }
    return publishEdit({ log, clock, follower, editId, body, timeoutMs: 2000 })
  }
  return { clock, log, start, publish }
}

const pool = (name: string, moveWeight: number): RowChange => ({ row: 'pool', pool: name, value: { name, region: 'norte', moveWeight } })

t.test('two operators edit one row concurrently: the verdict on the second names the author of the first', async (t) => {
  const { clock, start, publish } = setUp()
  const [a, b] = [start('a'), start('b')]
  await clock.advance(10)
  const first = publish(a, 'e1', 'ana', 0, [pool('drafting', 0.2)])
  const second = publish(b, 'e2', 'rui', 0, [pool('drafting', 0.8)])
  const other = publish(b, 'e3', 'rui', 0, [pool('booking', 0.8)])
  await clock.advance(1000)
  t.match((await first)._unsafeUnwrap(), { verdict: 'accepted' })
  t.match((await second)._unsafeUnwrap(), { verdict: 'conflicting', detail: { rows: [{ row: 'pool:drafting', author: 'ana' }] } })
  t.match((await other)._unsafeUnwrap(), { verdict: 'accepted' })
  t.same(a.current(), b.current())
})

t.test('a host that loaded a peer\'s snapshot during a log outage has the earlier verdicts and catches up', async (t) => {
  const { clock, log, start, publish } = setUp()
  const a = start('a')
  await clock.advance(10)
  const first = publish(a, 'e1', 'ana', 0, [pool('drafting', 0.2)])
  await clock.advance(1000)
  t.ok((await first).isOk())
  log.faults.down = true
  const b = start('b', [a])
  await clock.advance(1000)
  t.same(b.report().version, 1)
  t.equal(b.verdictOf('e1')?.verdict, 'accepted')
  log.faults.down = false
  const second = publish(a, 'e2', 'ana', 1, [pool('drafting', 0.5)])
  await clock.advance(20_000)
  t.ok((await second).isOk())
  const current = b.current()
  t.equal(current === undefined ? undefined : tablesOf(current).pools[0]?.moveWeight, 0.5)
})

t.test('a snapshot of a newer rule version is rejected', (t) => {
  const rule = TablesRule.create()
  t.ok(rule.fromSnapshot({ kind: 'snapshot', ruleVersion: 2, standsFor: 9, state: {} }).isErr())
  t.ok(rule.fromSnapshot(rule.toSnapshot(rule.empty())).isOk())
  t.equal(rule.stateInRecord({ offset: 1, recordId: 'r', body: { kind: 'edit' } }), undefined)
  t.end()
})
