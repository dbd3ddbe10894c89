/** Whom a host exchanges reports with. Pure. */
import { chooseRelays, orderHomes } from './relay-plan.js'
import type { HostAddress, HostSummary } from './types.js'

export type ContactInput = {
  self: HostAddress
  /** This host passes on the word of others or holds the lease, whatever its rank. */
  mustRelay: boolean
  live: readonly HostSummary[]
  /** Hosts that were mentioned but not heard of yet. */
  mentioned: readonly HostAddress[]
  /** Relays that fell silent. */
  silentRelays: readonly HostAddress[]
  seedPeerAddresses: readonly string[]
  /** The last exchange with this peer address failed. */
  isFailing: (peerAddress: string) => boolean
}

export type ContactPlan = {
  relay: boolean
  /** Ranked as a relay by the hosts that are known, which all hosts do alike. */
  ranked: boolean
  /** Peer addresses, each once. */
  peerAddresses: string[]
}

export function planContacts (input: ContactInput): ContactPlan {
  const { self, mustRelay, isFailing } = input
  const stayingHosts = input.live.filter(({ leaving }) => !leaving).map(({ address }) => address)
  const unheard = input.mentioned.filter(({ peerAddress }) => !isFailing(peerAddress))
  const pool = [self, ...stayingHosts, ...unheard]
  const relayNames = chooseRelays(pool)
  const ranked = relayNames.has(self.host)
  const relays = pool.filter(({ host }) => relayNames.has(host) && host !== self.host)
  const targets = ranked || mustRelay ? relayTargets(input, relays) : homeTargets(input, relays)
  return { relay: ranked || mustRelay, ranked, peerAddresses: [...new Set(targets)].filter((address) => address !== self.peerAddress) }
}

/** All other relays, those that act as one, and whoever may lead to hosts that were lost sight of. */
function relayTargets (input: ContactInput, relays: readonly HostAddress[]): string[] {
  const acting = input.live.filter(({ relay, holdsLease }) => relay || holdsLease).map(({ address }) => address)
  return [...[...relays, ...acting, ...input.silentRelays].map(({ peerAddress }) => peerAddress), ...silentSeeds(input)]
}

/** The first relay that answers; without one, everybody who may know of others. */
function homeTargets (input: ContactInput, relays: readonly HostAddress[]): string[] {
  const home = orderHomes(input.self, relays).find(({ peerAddress }) => !input.isFailing(peerAddress))
  if (home !== undefined) return [home.peerAddress]
  return [...relays, ...input.silentRelays].map(({ peerAddress }) => peerAddress).concat(input.seedPeerAddresses)
}

function silentSeeds ({ seedPeerAddresses, live }: ContactInput): string[] {
  const heard = new Set(live.map(({ address }) => address.peerAddress))
  return seedPeerAddresses.filter((address) => !heard.has(address))
}
