// Guards against drains that are undone and lists that stay wrong, over random rewinds of the platform and random routes of updates.
import fc from 'fast-check'
import t from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { createPosition, eraOf, offsetOf } from '../eras/position.js'
import { InstantSource } from '../lease/instant.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { RunnerListSync } from './runner-list-sync.js'
import { RunnerTable } from './runner-table.js'
import type { RunnerEntry, RunnerListUpdate } from './types.js'

const IDS = ['a', 'b', 'c']
const HOSTS = 2
const SETTLE_MS = 3_000
/** A copy is some seconds old. */
const MAX_LOST_RECORDS = 6

type Log = { key: string, entry: RunnerEntry | undefined }[]

/** The platform: a log of entries that may go back to an older copy. */
class Platform {
  era = 1
  log: Log = []
  readonly running = new Map<string, RunnerEntry>()

  write (key: string, entry: RunnerEntry | undefined): void {
    if (entry === undefined) this.running.delete(key)
    else this.running.set(key, entry)
    this.log.push({ key, entry })
  }

  /** Runners write their entries again; one that left in between doesn't, and its entry expires. */
  rewind (length: number): void {
    this.log = this.log.slice(0, length)
    this.era += 1
  }

  heartbeat (): void {
    for (const [key, entry] of this.running) this.log.push({ key, entry: { ...entry } })
  }

  expire (): void {
    for (const { key, entry } of [...this.newest().values()]) if (entry !== undefined && !this.running.has(key)) this.log.push({ key, entry: undefined })
  }

  newest (): Map<string, { key: string, entry: RunnerEntry | undefined, offset: number }> {
    return new Map(this.log.map((record, offset) => [record.key, { ...record, offset }]))
  }
}

class Host {
  readonly table = RunnerTable.create()
  readonly sync: RunnerListSync
  /** Processes that this host knew to drain. */
  readonly drained = new Set<string>()

  constructor (clock: ManualClock) {
    this.sync = RunnerListSync.create({ clock, instants: InstantSource.create(clock), log: silentLogger, table: this.table, drainNoticeMs: 2_000, contactMs: 3_000 })
  }

  /** Reads new records, or all keys if its position is of another era, as a follower does. */
  read ({ era, log, newest }: Platform, platform: Platform): void {
    const { position } = this.sync
    const continues = position !== undefined && eraOf(position) === era && offsetOf(position) <= log.length
    const since = continues ? position : undefined
    const records = continues
      ? log.slice(offsetOf(position)).map((record, index) => ({ id: record.key, position: position + index, entry: record.entry }))
      : [...newest.call(platform).values()].filter(({ entry }) => entry !== undefined).map(({ key, entry, offset }) => ({ id: key, position: createPosition(era, offset), entry }))
    this.receive({ since, to: createPosition(era, log.length), records, ageMs: 0 })
  }

  receive (update: RunnerListUpdate | undefined): void {
    if (update !== undefined) this.sync.receive(update, 'model')
    for (const { entry } of this.table.all()) if (entry.draining) this.drained.add(processOf(entry))
  }

  usable (): string[] {
    return this.table.usable('plain').map(({ entry }) => processOf(entry)).sort()
  }
}

const processOf = (entry: RunnerEntry) => `${entry.id}/${entry.startedUnixMs}`

t.test('a drain that a host knows is never undone, and hosts end with the runners that run', async (t) => {
  const action = fc.record({
    kind: fc.constantFrom('start', 'drain', 'leave', 'rewind', 'heartbeat', 'read', 'read', 'exchange', 'exchange', 'wait'),
    id: fc.constantFrom(...IDS),
    host: fc.nat({ max: HOSTS - 1 }),
    share: fc.double({ min: 0, max: 1, noNaN: true })
  })
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 40, size: 'max' }), async (actions) => {
    const clock = ManualClock.create()
    const platform = new Platform()
    const hosts = Array.from({ length: HOSTS }, () => new Host(clock))
    let starts = 0
    for (const { kind, id, host: index, share } of actions) {
      const host = hosts[index] as Host
      const running = platform.running.get(id)
      if (kind === 'start') platform.write(id, createEntry({ id, address: `127.0.0.1:${IDS.indexOf(id) + 1}`, startedUnixMs: starts += 1 }))
      if (kind === 'drain' && running !== undefined) platform.write(id, { ...running, draining: true })
      if (kind === 'leave' && running !== undefined) platform.write(id, undefined)
      if (kind === 'rewind') platform.rewind(Math.max(0, platform.log.length - Math.floor(share * MAX_LOST_RECORDS)))
      if (kind === 'heartbeat') platform.heartbeat()
      if (kind === 'read') host.read(platform, platform)
      if (kind === 'exchange') host.receive(hosts[1 - index]?.sync.updateSince(host.sync.position))
      if (kind === 'wait') await clock.advance(700)
      for (const { drained, usable, table } of hosts) {
        const undone = usable.call({ table } as Host).filter((process) => drained.has(process))
        if (undone.length > 0) throw new Error(`used again after its drain: ${undone.join(' ')}`)
      }
    }
    platform.expire()
    for (let round = 0; round < 3; round += 1) {
      platform.heartbeat()
      for (const host of hosts) host.read(platform, platform)
      await clock.advance(SETTLE_MS)
      for (const host of hosts) host.sync.sweep()
    }
    const expected = [...platform.running.values()].filter(({ draining }) => !draining).map(processOf).sort()
    for (const host of hosts) {
      const wanted = expected.filter((process) => !host.drained.has(process)).join(' ')
      if (host.usable().join(' ') !== wanted) throw new Error(`usable: ${host.usable().join(' ')}, running: ${wanted}`)
    }
  }), { seed: 3_636, numRuns: Number(process.env['MODEL_RUNS'] ?? 150) })
})
