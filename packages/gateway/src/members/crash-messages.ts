/** Converts reports on ends of runners and on blocked request parts to and from messages of the protocol between hosts. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { CrashUpdate as CrashUpdateMessage, CrashUpdateSchema } from '@figloom/protocol'
import type { CrashUpdate } from '../crashes/types.js'
import { toVersion, toVersionMessage } from './list-version-messages.js'

export function toCrashMessage ({ to, ends, begun, blocks }: CrashUpdate): MessageInitShape<typeof CrashUpdateSchema> {
  return {
    to: toVersionMessage(to),
    ends: ends.map(({ process, endedAgoMs, requests, running, inherited }) => ({ process, endedAgoMs, inherited, requests: requests.map((featureIds) => ({ featureIds: [...featureIds] })), running: [...running] })),
    begun,
    blocks: blocks.map((block) => ({ ...block, revision: BigInt(block.revision) }))
  }
}

export function toCrashUpdate ({ to, ends, begun, blocks }: CrashUpdateMessage): CrashUpdate {
  return {
    to: toVersion(to) ?? { listId: '', version: 0 },
    ends: ends.map(({ process, endedAgoMs, requests, running, inherited }) => ({ process, endedAgoMs, inherited, requests: requests.map(({ featureIds }) => featureIds), running })),
    begun: begun.map(({ featureId, begunAgoMs }) => ({ featureId, begunAgoMs })),
    blocks: blocks.map(({ featureId, revision, blocked, sinceAgoMs, trials, reason }) => ({ featureId, revision: Number(revision), blocked, sinceAgoMs, trials, reason }))
  }
}
