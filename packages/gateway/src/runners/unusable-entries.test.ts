/** Guards against one odd entry of a runner, left by another writer, that stops the exchanges of every host that read it. */
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { GatewayReportSchema } from '@figloom/protocol'
import { ManualClock, silentLogger } from '@figloom/runtime'
import t from 'tap'
import { InstantSource } from '../lease/instant.js'
import { fromMessage, toMessage } from '../members/report-messages.js'
import type { HostReport } from '../members/types.js'
import { addressOf, HostNetwork } from '../testing/host-network.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { RunnerListSync } from './runner-list-sync.js'
import { RunnerTable } from './runner-table.js'
import type { RunnerEntry } from './types.js'

const ODD: Record<string, Partial<RunnerEntry>> = {
  'slots of 1e12': { slots: 1e12 },
  'slots of 2^32': { slots: 2 ** 32 },
  'half a slot': { slots: 0.5 },
  'no slots': { slots: 0 },
  'slots below zero': { slots: -1 },
  'slots that are no number': { slots: Number.NaN },
  'a version of 1.5': { models: [{ name: 'm', version: 1.5, adapters: [] }] },
  'a version of 1e19': { models: [{ name: 'm', version: 1e19, adapters: [] }] },
  'a version of 1e300': { models: [{ name: 'm', version: 1e300, adapters: [] }] },
  'a start of 1e300': { startedUnixMs: 1e300 },
  'a start of 0.5': { startedUnixMs: 0.5 },
  'time left below zero': { remainingMs: -1 },
  'time left that is no number': { remainingMs: Number.NaN },
  'a very long zone': { availabilityZone: 'z'.repeat(1_000_000) },
  'thousands of models': { models: Array.from({ length: 5_000 }, (_, index) => ({ name: `m${index}`, version: 1, adapters: [] })) },
  'thousands of adapters': { models: [{ name: 'm', version: 1, adapters: Array.from({ length: 20_000 }, (_, index) => `a${index}`) }] }
}

function createList (): { table: RunnerTable, sync: RunnerListSync } {
  const clock = ManualClock.create()
  const table = RunnerTable.create()
  const sync = RunnerListSync.create({ clock, instants: InstantSource.create(clock), log: silentLogger, table, drainNoticeMs: 2_000, contactMs: 3_000 })
  return { table, sync }
}

function createReport (sync: RunnerListSync): HostReport {
  return {
    sender: { address: addressOf('a'), incarnation: 'a', ready: true, leaving: false, relay: true, holdsLease: false, hearsay: false, cutOff: false },
    number: 1,
    configVersion: 1,
    runnerUses: new Map(),
    demand: [],
    expectedLoads: [],
    lease: { heldBySender: false, fencingToken: 0 },
    sentAt: new Date(0),
    speaksForAll: true,
    limitReports: [],
    leavingReports: [],
    storeEra: 0,
    runners: sync.updateSince(undefined)
  }
}

for (const [name, changes] of Object.entries(ODD)) {
  t.test(`an entry with ${name} lists no runner, and reports with the others can be sent`, async (t) => {
    const { table, sync } = createList()
    const odd = createEntry({ id: 'odd', ...changes })
    sync.receive({ to: 2, ageMs: 0, records: [{ id: 'odd', position: 0, entry: odd }, { id: 'sound', position: 1, entry: createEntry({ id: 'sound' }) }] }, 'a host')
    t.same(table.all().map(({ entry }) => entry.id), ['sound'])
    const encoded = toBinary(GatewayReportSchema, toMessage(createReport(sync)))
    t.ok(encoded.length < 1_000)
  })
}

t.test('an id that no header may contain lists no runner', async (t) => {
  const { table, sync } = createList()
  for (const id of ['', 'a b', 'a\r\nb', 'a\u0000', 'é', 'a\ud800']) sync.receive({ since: 0, to: 1, ageMs: 0, records: [{ id, position: 0, entry: createEntry({ id }) }] }, 'a host')
  t.same(table.all(), [])
})

t.test('an odd entry takes the place of the sound one before it', async (t) => {
  const { table, sync } = createList()
  sync.receive({ to: 1, ageMs: 0, records: [{ id: 'runner-1', position: 0, entry: createEntry({}) }] }, 'a host')
  sync.receive({ since: 1, to: 2, ageMs: 0, records: [{ id: 'runner-1', position: 1, entry: createEntry({ slots: 1e12 }) }] }, 'a host')
  t.same(table.all(), [])
})

t.test('hosts that read an odd entry still exchange reports with those that report to them', async (t) => {
  const clock = ManualClock.create()
  const network = HostNetwork.create(clock)
  const deliver = network.exchange.bind(network)
  const transmit = (report: HostReport) => fromMessage(fromBinary(GatewayReportSchema, toBinary(GatewayReportSchema, toMessage(report))))
  network.exchange = async (address, report, timeoutMs) => transmit(await deliver(address, transmit(report), timeoutMs))
  const hosts = network.startMany(30)
  const odd = createEntry({ id: 'odd', slots: 1e12, models: [{ name: 'm', version: 1.5, adapters: [] }] })
  await clock.advance(5_000)
  const relays = network.relays()
  t.ok(relays.length < hosts.length, 'some hosts report to relays')
  for (const relay of relays) relay.knowledge.receive({ to: 2, ageMs: 0, records: [{ id: 'odd', position: 0, entry: odd }, { id: 'sound', position: 1, entry: createEntry({ id: 'sound' }) }] }, 'the platform')
  await clock.advance(15_000)
  for (const host of hosts) {
    t.same(host.runners.all().map(({ entry }) => entry.id), ['sound'])
    t.equal(network.readyAt(host).length, hosts.length - 1)
  }
})
