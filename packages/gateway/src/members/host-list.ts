/** Lists of hosts as they go between hosts. */
import { ChangeList, ListView } from './change-list.js'
import type { HostSummary } from './types.js'

const nameOf = (summary: HostSummary) => summary.address.host

/** The address belongs to the incarnation. */
function isSame (one: HostSummary, other: HostSummary): boolean {
  return one.incarnation === other.incarnation && one.ready === other.ready && one.leaving === other.leaving &&
    one.relay === other.relay && one.holdsLease === other.holdsLease && one.hearsay === other.hearsay &&
    one.address.peerAddress === other.address.peerAddress
}

export function createHostList (listId: string): ChangeList<HostSummary> {
  return ChangeList.create({ listId, keyOf: nameOf, isSame })
}

export function createHostView (): ListView<HostSummary> {
  return ListView.create(nameOf)
}
