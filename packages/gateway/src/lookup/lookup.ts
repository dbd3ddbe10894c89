/** Answers to lookups: the addresses of the hosts that callers should use. Pure. */
import { hashOf } from '../choose/rendezvous.js'
import type { MemberTable } from '../members/member-table.js'

export type LookupInput = {
  members: MemberTable
  /** Name of this host. */
  self: string
  /** Caller address of this host, if it is ready. */
  ownAddress: string | undefined
  nowMs: number
}

/** Callers read no more addresses than this. */
const MAX_ADDRESSES = 64

/** Caller addresses of the hosts that are ready; empty if none is. */
export function lookupHosts (input: LookupInput): string[] {
  const others = input.members.ready(input.nowMs).map(({ summary }) => summary.address.callerAddress)
  const all = input.ownAddress === undefined ? others : [input.ownAddress, ...others]
  return all.length <= MAX_ADDRESSES ? all : pickSubset(input.self, all)
}

/** Each host omits different addresses, so that callers spread over all hosts. */
function pickSubset (self: string, addresses: readonly string[]): string[] {
  return addresses
    .map((address) => ({ address, weight: hashOf(`${self}\n${address}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, MAX_ADDRESSES)
    .map(({ address }) => address)
}
