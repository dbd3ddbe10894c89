// Guards against a version whose streams a host that starts doesn't know of, and against records that are written without need.
import { ManualClock, silentLogger } from '@figloom/runtime'
import t from 'tap'
import { RunnerTable } from '../runners/runner-table.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { MemoryStreamLog, StreamRecords } from '../testing/memory-stream-log.js'
import { StreamOrigins } from './stream-origins.js'
import { VersionHistory } from './version-history.js'

const SERVICE = 'plain'
const MINUTE_MS = 60_000

class Platform {
  readonly clock = ManualClock.create()
  readonly records = StreamRecords.create()

  host () {
    const { clock } = this
    const runners = RunnerTable.create()
    const streamLog = MemoryStreamLog.create(this.records)
    const history = VersionHistory.create({ clock, log: silentLogger, runners, streamLog })
    const origins = StreamOrigins.create({ clock, log: silentLogger, history, streamLog, hostCount: () => 6 })
    const list = (...versions: string[]) => {
      for (const { entry } of runners.all()) runners.remove(entry.id, 0, 0)
      for (const version of versions) runners.upsert(createEntry({ id: `runner-${version}`, softwareVersion: version }))
    }
    return { history, origins, list }
  }
}

t.test('a version is recorded once, by the first host, and again every half minute', async (t) => {
  const platform = new Platform()
  const [a, b] = [platform.host(), platform.host()]
  for (const { history, list } of [a, b]) {
    list('v1')
    history.observe(SERVICE)
    await platform.clock.advance(10)
  }
  const first = platform.records.versions.get('plain/v1')?.lastSeenAt
  t.ok(first)
  await platform.clock.advance(20_000)
  a.history.observe(SERVICE)
  await platform.clock.advance(10)
  t.same(platform.records.versions.get('plain/v1')?.lastSeenAt, first)
  await platform.clock.advance(12_000)
  b.history.observe(SERVICE)
  await platform.clock.advance(10)
  t.not(platform.records.versions.get('plain/v1')?.lastSeenAt.getTime(), first?.getTime())
})

t.test('no stream begins at a new version before it is recorded, unless no other version has a runner', async (t) => {
  const platform = new Platform()
  const { history, list } = platform.host()
  list('v1')
  t.ok(history.mayBegin(SERVICE, 'v1'))
  history.observe(SERVICE)
  await platform.clock.advance(10)
  platform.records.down = true
  list('v1', 'v2')
  history.observe(SERVICE)
  await platform.clock.advance(600)
  t.notOk(history.mayBegin(SERVICE, 'v2'))
  t.ok(history.mayBegin(SERVICE, 'v1'))
  platform.records.down = false
  history.observe(SERVICE)
  await platform.clock.advance(10)
  t.ok(history.mayBegin(SERVICE, 'v2'))
})

t.test('a host that starts when only the new version is left learns that there was another one, until its streams are over', async (t) => {
  const platform = new Platform()
  const before = platform.host()
  before.list('v1', 'v2')
  before.history.observe(SERVICE)
  await platform.clock.advance(10)
  const after = platform.host()
  after.list('v2')
  t.equal(await after.history.soleVersion(SERVICE), undefined)
  await platform.clock.advance(2 * MINUTE_MS)
  t.equal(await platform.host().history.soleVersion(SERVICE), undefined)
  await platform.clock.advance(2 * MINUTE_MS)
  const late = platform.host()
  late.list('v2')
  t.equal(await late.history.soleVersion(SERVICE), 'v2')
})

t.test('what several hosts begin while two versions serve is known after all hosts were restarted', async (t) => {
  const platform = new Platform()
  const hosts = [platform.host(), platform.host()]
  for (const [index, { history, origins, list }] of hosts.entries()) {
    list('v1', 'v2')
    history.observe(SERVICE)
    origins.onBegun(`began-${index}`, { service: SERVICE, softwareVersion: index === 0 ? 'v1' : 'v2' })
    await origins.publish()
  }
  const after = platform.host()
  after.list('v2')
  t.match(await after.origins.find('began-0', SERVICE), { softwareVersion: 'v1', knownBy: 'the platform' })
  t.match(await after.origins.find('began-1', SERVICE), { softwareVersion: 'v2' })
})

t.test('a stream that began at another service goes on nowhere', async (t) => {
  const { history, origins, list } = new Platform().host()
  list('v1')
  history.observe(SERVICE)
  origins.onBegun('elsewhere', { service: 'other', softwareVersion: 'v1' })
  t.equal(origins.recall('elsewhere', SERVICE), undefined)
  t.equal(await origins.find('elsewhere', SERVICE), undefined)
})

t.test('streams that began before the second version came are published when it comes, and each stream once', async (t) => {
  const platform = new Platform()
  const { history, origins, list } = platform.host()
  list('v1')
  history.observe(SERVICE)
  origins.onBegun('early', { service: SERVICE, softwareVersion: 'v1' })
  await origins.publish()
  t.same(platform.records.batches, [])
  list('v1', 'v2')
  history.observe(SERVICE)
  await origins.publish()
  await origins.publish()
  t.same(platform.records.batches, [{ service: SERVICE, softwareVersion: 'v1', requestIds: ['early'] }])
})

t.test('a version that the platform lost with an older copy is recorded again', async (t) => {
  const platform = new Platform()
  const { history, list } = platform.host()
  list('v1')
  history.observe(SERVICE)
  await platform.clock.advance(10)
  platform.records.versions.clear()
  history.onNewEra()
  await platform.clock.advance(10)
  t.ok(platform.records.versions.has('plain/v1'))
})

/** A host that has recorded v1 and lists nothing else, and one that starts while the platform is away for it and lists both versions. */
async function createOutOfStep () {
  const platform = new Platform()
  const [behind, starting] = [platform.host(), platform.host()]
  behind.list('v1')
  behind.history.observe(SERVICE)
  await platform.clock.advance(10)
  platform.records.down = true
  starting.list('v1', 'v2')
  starting.history.observe(SERVICE)
  await platform.clock.advance(10)
  return { platform, behind, starting }
}

t.test('no stream begins at an unrecorded version that a host behind the others would take for the only other one', async (t) => {
  const { platform, behind, starting } = await createOutOfStep()
  const begun = ['v1', 'v2'].filter((version) => starting.history.mayBegin(SERVICE, version))
  platform.records.down = false
  for (const version of begun) {
    starting.origins.onBegun(`stream-${version}`, { service: SERVICE, softwareVersion: version })
    const found = await behind.origins.find(`stream-${version}`, SERVICE)
    t.ok(found === undefined || found.softwareVersion === version, `began at ${version}, continued at ${found?.softwareVersion}`)
  }
  t.notOk(begun.includes('v2'))
})

t.test('a host that starts beside a release has the versions recorded before its first stream', async (t) => {
  const platform = new Platform()
  const { history, list } = platform.host()
  list('v1', 'v2')
  history.observeMixed()
  await platform.clock.advance(10)
  t.ok(history.mayBegin(SERVICE, 'v1'))
  t.ok(history.mayBegin(SERVICE, 'v2'))
})

t.test('without a release nothing is recorded before the first stream', async (t) => {
  const platform = new Platform()
  const { history, list } = platform.host()
  list('v1')
  history.observeMixed()
  await platform.clock.advance(10)
  t.equal(platform.records.versions.size, 0)
  t.ok(history.mayBegin(SERVICE, 'v1'))
})
