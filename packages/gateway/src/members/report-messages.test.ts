import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { GatewayReportSchema } from '@figloom/protocol'
import t from 'tap'
import { createEntry } from '../testing/gateway-fixture.js'
import { fromMessage, toMessage } from './report-messages.js'
import type { HostReport, HostSummary } from './types.js'

const summary: HostSummary = {
  address: { host: 'a', availabilityZone: 'z', callerAddress: '10.0.0.1:80', peerAddress: '10.0.0.1:7380', capacityCores: 0.5 },
  incarnation: 'incarnation-1',
  ready: true,
  leaving: false,
  relay: true,
  holdsLease: true,
  hearsay: false
}

const full: HostReport = {
  sender: summary,
  number: 12,
  configVersion: 7,
  configReadAgoMs: 12.5,
  runnerUses: new Map([['runner', 3]]),
  demand: [{ service: 's', model: 'm', adapter: undefined, requestsPerS: 2, slowRequestsPerS: 1, holdMs: 900 }],
  expectedLoads: [{ service: 's', model: 'm', readyInMs: 100 }],
  lease: { heldBySender: true, fencingToken: 9, lastOrderAgoMs: 4 },
  sentAt: new Date(1_000),
  speaksForAll: true,
  hosts: { to: { listId: 'hosts', version: 3 }, complete: true, items: [{ ...summary, hearsay: true }], removed: [] },
  hostsSeen: { listId: 'seen', version: 2 },
  runners: {
    since: 3,
    to: 9,
    records: [
      {
        id: 'runner-1',
        position: 5,
        entry: createEntry({ startedUnixMs: 1_700_000_000_000, remainingMs: 250, models: [{ name: 'm', version: 2, adapters: ['a1'] }], localWeights: ['n'] })
      },
      { id: 'gone', position: 8, entry: undefined }
    ],
    ageMs: 300
  },
  runnersPosition: 4,
  limitReports: [
    { runnerId: 'runner-1', startedUnixMs: 1_700_000_000_000, origin: 'origin-1', number: 3, requestsPerS: 1.1, askedAgoMs: 40.5, heardAgoMs: 20 },
    { runnerId: 'runner-2', startedUnixMs: undefined, origin: 'origin-1', number: 4, requestsPerS: undefined, askedAgoMs: 4, heardAgoMs: 2 }
  ],
  leavingReports: [
    { runnerId: 'runner-1', address: '10.0.0.1:80', startedUnixMs: 1_700_000_000_000, origin: 'host-1', heardAgoMs: 20.5 },
    { runnerId: 'runner-2', address: '10.0.0.2:80', startedUnixMs: undefined, origin: 'host-2', heardAgoMs: 0 }
  ]
}

const encodeAndDecode = (report: HostReport) => fromMessage(fromBinary(GatewayReportSchema, toBinary(GatewayReportSchema, toMessage(report))))

t.test('a report is unchanged after encoding and decoding', async (t) => {
  t.same(encodeAndDecode(full), full)
})

t.test('fields that a report leaves out stay absent after encoding and decoding', async (t) => {
  const { sender, number, configVersion, runnerUses, demand, expectedLoads, lease, sentAt, speaksForAll, limitReports, leavingReports } = full
  const minimal = { sender, number, configVersion, runnerUses, demand, expectedLoads, lease, sentAt, speaksForAll, limitReports, leavingReports }
  const result = encodeAndDecode(minimal)
  for (const absent of [result.hosts, result.hostsSeen, result.runners, result.runnersPosition, result.configReadAgoMs]) t.equal(absent, undefined)
})
