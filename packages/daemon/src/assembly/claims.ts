import {
  rankClaimHosts, ClaimStreams, DEFAULT_CLAIM_LIMITS, KeyClaims, Liveness, rankGateways, streamsOfGateway,
  type GatewayCandidate, type Membership
} from '@figloom/control'
import { InnerClaimPeers } from '../peers/peer-calls.js'
import type { DaemonContext } from './types.js'

/** Claims of idempotency keys on this host. */
export type Claims = {
  streams: ClaimStreams
  keys: KeyClaims
  /** Follows the claim streams that this host is a gateway of; must be called whenever the hosts change. */
  followGatewayStreams: () => void
}

/**
 * Creates the claim streams and the entry point for calls with an idempotency key.
 * `ownRegionZones` returns the availability zones of this host's region.
 */
export function createClaims (context: DaemonContext, membership: Membership, ownRegionZones: () => ReadonlySet<string>): Claims {
  const { settings, clients, self, clock, ids, logger } = context
  const gatewaysOf = (index: number) => rankGateways(index, candidates(membership))
  const claimOrderOf = (index: number) => rankClaimHosts(index, candidates(membership), ownRegionZones())
  const streams = ClaimStreams.create({
    log: clients.log,
    clock,
    logger,
    ...self,
    isLive: (host, incarnation) => isLive(membership, self, host, incarnation),
    limits: { ...DEFAULT_CLAIM_LIMITS, keepMs: settings.claims.keepAnswersMs, windowMs: settings.claims.batchWindowMs },
    gatewaysOf
  })
  const peers = InnerClaimPeers.create(clients.inner, (host) => membership.state().hosts.get(host)?.innerUrl)
  const keys = KeyClaims.create({ ...self, clock, ids, peers, streams, gatewaysOf: claimOrderOf })
  return { streams, keys, followGatewayStreams: () => streams.reconcile(streamsOfGateway(self.host, candidates(membership))) }
}

/** Includes hosts known only from the host list, such as those of other cells, since all hosts must use the same candidates. */
function candidates (membership: Membership): GatewayCandidate[] {
  return membership.view().hosts.filter(({ liveness, leaving }) => !leaving && (liveness === Liveness.Live || liveness === Liveness.Listed))
}

function isLive (membership: Membership, self: DaemonContext['self'], host: string, incarnation: string): boolean {
  if (host === self.host) return incarnation === self.incarnation
  return membership.view().hosts.some((known) => known.host === host && known.incarnation === incarnation && known.liveness === Liveness.Live)
}
