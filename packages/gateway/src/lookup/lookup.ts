/** Answers of lookups: which hosts callers should use. Pure. */
import { hashOf } from '../choose/rendezvous.js'
import type { MemberTable } from '../members/member-table.js'

export type LookupInput = {
  members: MemberTable
  /** Name of this host. */
  self: string
  /** Address of this host for callers, if it is ready. */
  ownAddress: string | undefined
  nowMs: number
}

/** Most addresses that callers read. */
const MAX_ADDRESSES = 64

/** Caller addresses of the hosts that are ready; empty if there is none. */
export function lookupHosts (input: LookupInput): string[] {
  const others = input.members.ready(input.nowMs).map(({ summary }) => summary.address.callerAddress)
  const all = input.ownAddress === undefined ? others : [input.ownAddress, ...others]
  return all.length <= MAX_ADDRESSES ? all : pickSome(input.self, all)
}

/** Every host leaves out others, so that callers are spread over all. */
function pickSome (self: string, addresses: readonly string[]): string[] {
  return addresses
    .map((address) => ({ address, weight: hashOf(`${self}\n${address}`) }))
    .sort((one, other) => other.weight - one.weight)
    .slice(0, MAX_ADDRESSES)
    .map(({ address }) => address)
}
