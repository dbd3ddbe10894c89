import {
  claimOrder, ClaimStreams, DEFAULT_CLAIM_LIMITS, KeyClaims, Liveness, rankGateways, streamsOfGateway,
  type GatewayCandidate, type Membership
} from '@figloom/control'
import { InnerClaimPeers } from '../peers/peer-calls.js'
import type { DaemonFrame } from './types.js'

/** Claims of idempotency keys on this host. */
export type Claims = {
  streams: ClaimStreams
  keys: KeyClaims
  /** Follows the streams that this host is a gateway of; call it as hosts change. */
  followGateways: () => void
}

/**
 * Creates the claim streams and the entry point for keyed calls.
 * `ownRegionZones` gives the availability zones of this host's region.
 */
export function createClaims (frame: DaemonFrame, membership: Membership, ownRegionZones: () => ReadonlySet<string>): Claims {
  const { settings, clients, self, clock, ids, logger } = frame
  const gatewaysOf = (index: number) => rankGateways(index, candidates(membership))
  const claimOrderOf = (index: number) => claimOrder(index, candidates(membership), ownRegionZones())
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
  return { streams, keys, followGateways: () => streams.keepOnly(streamsOfGateway(self.host, candidates(membership))) }
}

/** Hosts of other cells are known from the list alone; every host has to choose among the same ones. */
function candidates (membership: Membership): GatewayCandidate[] {
  return membership.view().hosts.filter(({ liveness, leaving }) => !leaving && (liveness === Liveness.Live || liveness === Liveness.Listed))
}

function isLive (membership: Membership, self: DaemonFrame['self'], host: string, incarnation: string): boolean {
  if (host === self.host) return incarnation === self.incarnation
  return membership.view().hosts.some((known) => known.host === host && known.incarnation === incarnation && known.liveness === Liveness.Live)
}
