/** Measures the cost of membership and lookup, by number of hosts and by number of runners in a cell. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { PeerStateSchema } from '@figloom/protocol'
import {
  applyHostList, applyPeerReport, createMembershipState, DEFAULT_MEMBERSHIP_TIMES, lookupHosts, viewAt, type PeerReport
} from '@figloom/control'
import { fitLine, type Fit } from '../fit.js'
import { measureHeapMiB, medianUs } from '../probe.js'

export type MembershipSlopes = {
  /** By number of hosts in the host list. */
  viewUs: Fit
  lookupUs: Fit
  stateKiB: Fit
  listBytes: Fit
  /** By number of runners in a cell. */
  messageBytes: Fit
  exchangeUs: Fit
}

const HOSTS = [6, 60, 240, 1200]
const RUNNERS = [1, 4, 16, 64]
/** Bytes of an HTTP/2 call beside its bodies: compressed headers of request and response, and TCP/IP headers of four packets. */
export const CALL_OVERHEAD_BYTES = 400

export function measureMembership (): MembershipSlopes {
  const hosts = HOSTS.map(measureHosts)
  const runners = RUNNERS.map(measureRunners)
  return {
    viewUs: fitLine(hosts.map(({ size, viewUs }) => ({ size, cost: viewUs }))),
    lookupUs: fitLine(hosts.map(({ size, lookupUs }) => ({ size, cost: lookupUs }))),
    stateKiB: fitLine(hosts.map(({ size, stateKiB }) => ({ size, cost: stateKiB }))),
    listBytes: fitLine(hosts.map(({ size, listBytes }) => ({ size, cost: listBytes }))),
    messageBytes: fitLine(runners.map(({ size, messageBytes }) => ({ size, cost: messageBytes }))),
    exchangeUs: fitLine(runners.map(({ size, exchangeUs }) => ({ size, cost: exchangeUs })))
  }
}

function measureHosts (size: number) {
  const list = Array.from({ length: size }, (_, index) => ({
    name: `host-${String(index).padStart(4, '0')}`,
    url: `http://10.1.${index >> 8}.${index & 255}:8080`,
    innerUrl: `http://10.1.${index >> 8}.${index & 255}:8081`,
    availabilityZone: `zone-${index % 15}`,
    state: 'live' as const
  }))
  const { value: state, heapMiB } = measureHeapMiB(() => {
    const created = createMembershipState(createPeerReport(0))
    applyHostList(created, list, 0)
    return created
  })
  const view = viewAt(state, 0, DEFAULT_MEMBERSHIP_TIMES)
  const zones = new Set(['zone-0', 'zone-1', 'zone-2'])
  return {
    size,
    stateKiB: heapMiB * 1024,
    listBytes: JSON.stringify(list).length,
    viewUs: medianUs(20, () => { viewAt(state, 0, DEFAULT_MEMBERSHIP_TIMES) }),
    lookupUs: medianUs(20, () => { lookupHosts(view, { cell: 'pool-0001', availabilityZones: zones, callerKey: '10.2.3.4' }) })
  }
}

function measureRunners (size: number) {
  const report = createPeerReport(size)
  const encode = () => toBinary(PeerStateSchema, create(PeerStateSchema, { ...report, protocolVersion: 1, configVersion: 12_000n }))
  const state = createMembershipState(createPeerReport(0))
  const peerReport = { ...report, host: 'host-0002' }
  return {
    size,
    messageBytes: encode().length,
    exchangeUs: medianUs(50, () => {
      fromBinary(PeerStateSchema, encode())
      applyPeerReport(state, peerReport, 1, DEFAULT_MEMBERSHIP_TIMES)
    })
  }
}

function createPeerReport (runners: number): PeerReport {
  return {
    host: 'host-0001',
    availabilityZone: 'zone-1',
    url: 'http://10.1.0.1:8080',
    innerUrl: 'http://10.1.0.1:8081',
    incarnation: '0mgx2k3j4-1a2b3c4d',
    leaving: false,
    configVersion: 12_000,
    cells: ['pool-0001'],
    drains: [],
    release: '0.1.0',
    runners: Array.from({ length: runners }, (_, index) => ({
      runner: `pool-0001-${String(index).padStart(3, '0')}`, running: 24, queued: 3, kvUsedMib: 4000, inFlightFromSender: 8, reportAgeMs: 700, healthy: true
    }))
  }
}
