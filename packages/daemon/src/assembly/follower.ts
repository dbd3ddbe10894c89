import { ConfigFollower, TablesRule, type Membership } from '@figloom/control'
import type { HostListClient } from '@figloom/clients'
import type { ConfigState } from '@figloom/tables'
import { InnerSnapshotSource } from '../peers/peer-calls.js'
import { PEER_TIMEOUT_MS } from './membership.js'
import type { DaemonFrame } from './types.js'

const SNAPSHOT_EVERY_MS = 20 * 60_000

/** Creates the follower of the configuration stream. */
export function createFollower (frame: DaemonFrame, membership: Membership, hostList: HostListClient): ConfigFollower<ConfigState> {
  const { clients, clock, logger, self } = frame
  return ConfigFollower.create({
    log: clients.log,
    stream: frame.settings.platform.configStream,
    clock,
    logger,
    rule: TablesRule.create(),
    peers: InnerSnapshotSource.create(clients.inner, PEER_TIMEOUT_MS, () => peerUrls(frame, membership, hostList)),
    snapshots: { host: self.host, everyMs: SNAPSHOT_EVERY_MS, hosts: () => membership.view().hosts.map(({ host }) => host) }
  })
}

/** Peers that were heard come first; a host that has just started only knows the list. */
async function peerUrls ({ self }: DaemonFrame, membership: Membership, hostList: HostListClient): Promise<string[]> {
  const heard = membership.view().hosts.filter((host) => !host.self && host.heardMs !== undefined).map(({ innerUrl }) => innerUrl)
  if (heard.length > 0) return heard
  const listed = await hostList.list()
  return listed.unwrapOr([]).filter(({ name }) => name !== self.host).map(({ innerUrl }) => innerUrl)
}
