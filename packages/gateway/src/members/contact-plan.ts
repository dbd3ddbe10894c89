/** Decides which hosts a host exchanges reports with. Pure functions. */
import { chooseRelays, rankRelays } from './relay-plan.js'
import type { HostAddress, HostSummary } from './types.js'

export type ContactInput = {
  self: HostAddress
  /** This host forwards other hosts' reports or holds the lease, so it acts as a relay whatever its rank. */
  mustRelay: boolean
  live: readonly HostSummary[]
  /** Hosts whose address is known from other hosts or the registry, and that aren't known to be up. */
  discovered: readonly HostAddress[]
  /** Relays that stopped reporting. */
  silentRelays: readonly HostAddress[]
  seedPeerAddresses: readonly string[]
  /** Whether the last exchange with this peer address failed. */
  isFailing: (peerAddress: string) => boolean
}

export type ContactPlan = {
  relay: boolean
  /** Chosen as a relay by the ranking of known hosts, which is the same on all hosts that know the same ones. */
  ranked: boolean
  /** Peer addresses, each once. */
  peerAddresses: string[]
}

export function planContacts (input: ContactInput): ContactPlan {
  const { self, mustRelay, isFailing } = input
  const stayingHosts = input.live.filter(({ leaving }) => !leaving).map(({ address }) => address)
  const candidates = input.discovered.filter(({ peerAddress }) => !isFailing(peerAddress))
  const knownHosts = [self, ...stayingHosts, ...candidates]
  const relayNames = chooseRelays(knownHosts)
  const ranked = relayNames.has(self.host)
  const relays = knownHosts.filter(({ host }) => relayNames.has(host) && host !== self.host)
  const targets = ranked || mustRelay ? relayTargets(input, relays) : reportingTargets(input, relays)
  return { relay: ranked || mustRelay, ranked, peerAddresses: [...new Set(targets)].filter((address) => address !== self.peerAddress) }
}

/** All other relays, hosts that act as one, and silent relays and seeds, which may know hosts that this one lost contact with. */
function relayTargets (input: ContactInput, relays: readonly HostAddress[]): string[] {
  const actingRelays = input.live.filter(({ relay, holdsLease }) => relay || holdsLease).map(({ address }) => address)
  return [...[...relays, ...actingRelays, ...input.silentRelays].map(({ peerAddress }) => peerAddress), ...unseenSeeds(input)]
}

/** The first relay that isn't failing; if all are, every host that may know others. */
function reportingTargets (input: ContactInput, relays: readonly HostAddress[]): string[] {
  const homeRelay = rankRelays(input.self, relays).find(({ peerAddress }) => !input.isFailing(peerAddress))
  if (homeRelay !== undefined) return [homeRelay.peerAddress]
  return [...relays, ...input.silentRelays].map(({ peerAddress }) => peerAddress).concat(input.seedPeerAddresses)
}

function unseenSeeds ({ seedPeerAddresses, live }: ContactInput): string[] {
  const livePeerAddresses = new Set(live.map(({ address }) => address.peerAddress))
  return seedPeerAddresses.filter((address) => !livePeerAddresses.has(address))
}
