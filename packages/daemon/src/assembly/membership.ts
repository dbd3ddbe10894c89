import { DEFAULT_MEMBERSHIP_TIMES, Membership, type PeerReport } from '@figloom/control'
import type { HostListClient } from '@figloom/clients'
import type { DemandMeter } from '../cells/demand-meter.js'
import { InnerPeerExchange } from '../peers/peer-calls.js'
import { RELEASE } from '../program.js'
import type { DaemonContext } from './types.js'

/** Timeout of one call to a peer, in milliseconds. */
export const PEER_TIMEOUT_MS = 1500

/** Creates the task that keeps this host's view of its peers. */
export function createMembership (context: DaemonContext, hostList: HostListClient, demand: DemandMeter, neighbors: () => string[]): Membership {
  const { settings, clock, logger, clients } = context
  return Membership.create({
    clock,
    logger,
    hostList,
    exchange: InnerPeerExchange.create(clients.inner, demand, PEER_TIMEOUT_MS),
    self: createOwnReport(context),
    neighbors,
    times: {
      ...DEFAULT_MEMBERSHIP_TIMES,
      heartbeatMs: settings.health.peerExchangeMs,
      suspectAfterMs: settings.health.peerTimeoutMs,
      minListIntervalMs: settings.platform.hostListPollMs
    }
  })
}

function createOwnReport ({ settings, self, addresses }: DaemonContext): PeerReport {
  return {
    host: self.host,
    incarnation: self.incarnation,
    availabilityZone: settings.host.availabilityZone,
    url: addresses.callerUrl,
    innerUrl: addresses.operatorUrl,
    leaving: false,
    configVersion: 0,
    runners: [],
    drains: [],
    cells: [],
    release: settings.host.release ?? RELEASE
  }
}
