/** Answers to lookups: the addresses of the hosts that callers should use. Pure. */
import { hashOf } from '../choose/rendezvous.js'
import type { MemberTable } from '../members/member-table.js'

export type LookupInput = {
  members: MemberTable
  /** Name of this host. */
  self: string
  /** Caller address of this host, if it is ready. */
  ownAddress: string | undefined
  /** This host is cut off from runners. */
  isCutOff: boolean
  nowMs: number
}

/** Callers read no more addresses than this. */
const MAX_ADDRESSES = 64

type ReadyHost = { callerAddress: string, cutOff: boolean }

/** Caller addresses of the hosts that are ready; empty if none is. Hosts that are cut off from runners are left out as long as others aren't. */
export function lookupHosts (input: LookupInput): string[] {
  const others = input.members.ready(input.nowMs).map(({ summary }) => ({ callerAddress: summary.address.callerAddress, cutOff: summary.cutOff }))
  const own = input.ownAddress === undefined ? [] : [{ callerAddress: input.ownAddress, cutOff: input.isCutOff }]
  const all = preferConnected([...own, ...others]).map(({ callerAddress }) => callerAddress)
  return all.length <= MAX_ADDRESSES ? all : pickSubset(input.self, all)
}

function preferConnected (hosts: readonly ReadyHost[]): readonly ReadyHost[] {
  const connected = hosts.filter(({ cutOff }) => !cutOff)
  return connected.length > 0 ? connected : hosts
}

/** Each host omits different addresses, so that callers spread over all hosts. */
function pickSubset (self: string, addresses: readonly string[]): string[] {
  return addresses
    .map((address) => ({ address, weight: hashOf(`${self}\n${address}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, MAX_ADDRESSES)
    .map(({ address }) => address)
}
