// Guards against drains, ends and starts of runners that are undone, and runners that vanish, when the list comes back from an older copy.
import t from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { createPosition } from '../eras/position.js'
import { InstantSource } from '../lease/instant.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { RunnerListSync } from './runner-list-sync.js'
import { RunnerTable } from './runner-table.js'
import type { RunnerEntry, RunnerListUpdate } from './types.js'

const READY = createEntry({ id: 'runner', startedUnixMs: 5 })
const DRAINS = { ...READY, draining: true }
const OTHER = createEntry({ id: 'other', address: '127.0.0.1:2', startedUnixMs: 5 })

class Host {
  readonly clock = ManualClock.create()
  readonly table = RunnerTable.create()
  readonly sync: RunnerListSync

  constructor () {
    this.sync = RunnerListSync.create({ clock: this.clock, instants: InstantSource.create(this.clock), log: silentLogger, table: this.table, drainNoticeMs: 2_000, contactMs: 3_000 })
  }

  /** Receives the records at these offsets; `to` is the end of the update. */
  receive (era: number, to: number, entries: [number, RunnerEntry | string][], since?: number): void {
    const update: RunnerListUpdate = {
      since: since === undefined ? undefined : createPosition(era, since),
      to: createPosition(era, to),
      records: entries.map(([offset, entry]) => typeof entry === 'string' ? { id: entry, position: createPosition(era, offset) } : { id: entry.id, position: createPosition(era, offset), entry }),
      ageMs: 0
    }
    this.sync.receive(update, 'a test')
  }

  usable (): string[] {
    return this.table.usable('plain').map(({ entry }) => entry.id).sort()
  }

  async settle (): Promise<void> {
    await this.clock.advance(3_000)
    this.sync.sweep()
  }
}

t.test('records that are written again at lower offsets of a new era are applied', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, READY], [91, OTHER]])
  host.receive(2, 50, [[40, READY], [41, OTHER]])
  host.receive(2, 52, [[51, DRAINS]], 50)
  t.same(host.usable(), ['other'])
})

t.test('a drain is not undone by an older record of the same process in a new era', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, READY], [91, OTHER]])
  host.receive(1, 102, [[101, DRAINS]], 100)
  host.receive(2, 95, [[90, READY], [91, OTHER]])
  t.same(host.usable(), ['other'])
  host.receive(2, 97, [[96, READY]], 95)
  t.same(host.usable(), ['other'])
})

t.test('a new process of a runner that drained is used in a new era', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, DRAINS]])
  host.receive(2, 50, [[40, { ...READY, startedUnixMs: 9 }]])
  t.same(host.usable(), ['runner'])
})

t.test('a runner that left is not back with a copy, but with its next heartbeat', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, READY], [91, OTHER]])
  host.receive(1, 102, [[101, 'runner']], 100)
  await host.settle()
  host.receive(2, 95, [[90, READY], [91, OTHER]])
  t.same(host.usable(), ['other'])
  host.receive(2, 97, [[96, READY]], 95)
  t.same(host.usable(), ['other', 'runner'])
})

t.test('an earlier process of a runner does not replace the present one in a new era', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, { ...READY, startedUnixMs: 9 }]])
  host.receive(2, 50, [[40, READY]])
  t.equal(host.table.get('runner')?.entry.startedUnixMs, 9)
})

t.test('runners that the copy lacks stay until they had time to write again', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, READY], [91, OTHER]])
  host.receive(2, 0, [])
  t.same(host.usable(), ['other', 'runner'])
  await host.clock.advance(1_500)
  host.receive(2, 1, [[0, READY]], 0)
  await host.settle()
  t.same(host.usable(), ['runner'])
})

t.test('an update of an ended era changes nothing', async (t) => {
  const host = new Host()
  host.receive(2, 10, [[5, READY]])
  host.receive(1, 1_000, [[900, OTHER], [901, 'runner']])
  t.same(host.usable(), ['runner'])
})

t.test('a host of an ended era is sent the whole list', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, READY]])
  host.receive(2, 10, [[5, READY], [6, OTHER]])
  const update = host.sync.updateSince(createPosition(1, 100))
  t.equal(update?.since, undefined)
  t.equal(update?.records.length, 2)
})

t.test('the same holds over several eras in a row', async (t) => {
  const host = new Host()
  host.receive(1, 100, [[90, READY], [91, OTHER]])
  host.receive(1, 102, [[101, DRAINS]], 100)
  for (const era of [2, 3, 4]) host.receive(era, 95, [[90, READY], [91, OTHER]])
  t.same(host.usable(), ['other'])
})
