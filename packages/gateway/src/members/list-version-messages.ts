/** Converts versions of lists to and from messages of the protocol between hosts. */
import type { ListVersion as ListVersionMessage } from '@figloom/protocol'
import type { ListVersion } from './change-list.js'

export function toVersionMessage (version: ListVersion | undefined) {
  return version && { listId: version.listId, version: BigInt(version.version) }
}

export function toVersion (message: ListVersionMessage | undefined): ListVersion | undefined {
  return message && { listId: message.listId, version: Number(message.version) }
}
