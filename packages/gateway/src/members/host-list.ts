/** Lists of host summaries, sent from host to host as incremental updates. */
import { ChangeList, ListView } from './change-list.js'
import type { HostSummary } from './types.js'

const hostOf = (summary: HostSummary) => summary.address.host

/** Of the address only the peer address is compared: its other fields change only with the incarnation. */
function isSame (a: HostSummary, b: HostSummary): boolean {
  return a.incarnation === b.incarnation && a.ready === b.ready && a.leaving === b.leaving &&
    a.relay === b.relay && a.holdsLease === b.holdsLease && a.hearsay === b.hearsay && a.cutOff === b.cutOff &&
    a.address.peerAddress === b.address.peerAddress
}

export function createHostList (listId: string): ChangeList<HostSummary> {
  return ChangeList.create({ listId, keyOf: hostOf, isSame })
}

export function createHostView (): ListView<HostSummary> {
  return ListView.create(hostOf)
}
