/** Converts reports on ends of runners and on blocked prompt parts to and from messages of the protocol between hosts. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { CrashUpdate as CrashUpdateMessage, CrashUpdateSchema } from '@figloom/protocol'
import type { CrashUpdate } from '../crashes/types.js'
import { toVersion, toVersionMessage } from './list-version-messages.js'

export function toCrashMessage ({ to, ends, begun, blocks }: CrashUpdate): MessageInitShape<typeof CrashUpdateSchema> {
  return {
    to: toVersionMessage(to),
    ends: ends.map(({ process, endedAgoMs, prompts }) => ({ process, endedAgoMs, prompts: prompts.map((partIds) => ({ partIds: [...partIds] })) })),
    begun,
    blocks: blocks.map((block) => ({ ...block, revision: BigInt(block.revision) }))
  }
}

export function toCrashUpdate ({ to, ends, begun, blocks }: CrashUpdateMessage): CrashUpdate {
  return {
    to: toVersion(to) ?? { listId: '', version: 0 },
    ends: ends.map(({ process, endedAgoMs, prompts }) => ({ process, endedAgoMs, prompts: prompts.map(({ partIds }) => partIds) })),
    begun: begun.map(({ partId, begunAgoMs }) => ({ partId, begunAgoMs })),
    blocks: blocks.map(({ partId, revision, blocked, sinceAgoMs, trials, reason }) => ({ partId, revision: Number(revision), blocked, sinceAgoMs, trials, reason }))
  }
}
