/** Answers of lookups: which hosts callers should use. Pure. */
import type { MemberTable } from '../members/member-table.js'

export type LookupInput = {
  members: MemberTable
  /** Address of this host for callers, if it is ready. */
  ownAddress: string | undefined
  nowMs: number
}

/** Most addresses that callers read. */
const MAX_ADDRESSES = 64

/** Caller addresses of the hosts that are ready; empty if there is none. */
export function lookupHosts (input: LookupInput): string[] {
  const others = input.members.ready(input.nowMs).map(({ address }) => address.callerAddress)
  const all = input.ownAddress === undefined ? others : [input.ownAddress, ...others]
  return all.slice(0, MAX_ADDRESSES)
}
