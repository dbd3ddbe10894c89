import { ConfigFollower, TablesRule, type Membership } from '@figloom/control'
import type { HostListClient } from '@figloom/clients'
import type { ConfigState } from '@figloom/tables'
import { InnerSnapshotSource } from '../peers/peer-calls.js'
import { PEER_TIMEOUT_MS } from './membership.js'
import type { DaemonContext } from './types.js'

const SNAPSHOT_EVERY_MS = 20 * 60_000

/** Creates the task that follows the configuration stream. */
export function createFollower (context: DaemonContext, membership: Membership, hostList: HostListClient): ConfigFollower<ConfigState> {
  const { clients, clock, logger, self } = context
  return ConfigFollower.create({
    log: clients.log,
    stream: context.settings.platform.configStream,
    clock,
    logger,
    rule: TablesRule.create(),
    peers: InnerSnapshotSource.create(clients.inner, PEER_TIMEOUT_MS, () => peerUrls(context, membership, hostList)),
    snapshots: { host: self.host, everyMs: SNAPSHOT_EVERY_MS, hosts: () => membership.view().hosts.map(({ host }) => host) }
  })
}

/** Inner URLs of the peers whose reports were received, or else, as on a host that has just started, of all listed hosts. */
async function peerUrls ({ self }: DaemonContext, membership: Membership, hostList: HostListClient): Promise<string[]> {
  const reportingPeers = membership.view().hosts.filter((host) => !host.self && host.lastReportMs !== undefined).map(({ innerUrl }) => innerUrl)
  if (reportingPeers.length > 0) return reportingPeers
  const listed = await hostList.list()
  return listed.unwrapOr([]).filter(({ name }) => name !== self.host).map(({ innerUrl }) => innerUrl)
}
