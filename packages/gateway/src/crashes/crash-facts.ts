/** Numbers the changes of what this host knows about ends and blocks, so that other hosts are sent only what they lack. */
import type { ListVersion } from '../members/change-list.js'
import type { BegunRecord, CrashUpdate, EndRecord, FeatureBlock } from './types.js'

type Known = { ends: readonly EndRecord[], begun: readonly BegunRecord[], blocks: readonly FeatureBlock[] }
type Listed = { content: string, version: number }

export class CrashFacts {
  readonly #listed = new Map<string, Listed>()
  #version = 0

  private constructor (private readonly listId: string) {}

  /** @param listId unique to this incarnation of the process */
  static create (listId: string): CrashFacts {
    return new CrashFacts(listId)
  }

  /** Update for a host that has version `seen`; undefined if that host lacks nothing. */
  changesSince (seen: ListVersion | undefined, known: Known, nowMs: number): CrashUpdate | undefined {
    this.#record(known)
    const since = seen?.listId === this.listId ? seen.version : 0
    if (since >= this.#version) return undefined
    const isNew = (key: string) => (this.#listed.get(key)?.version ?? 0) > since
    return {
      to: { listId: this.listId, version: this.#version },
      ends: known.ends.filter((end) => isNew(endKey(end))).map(({ endedMs, ...end }) => ({ ...end, endedAgoMs: nowMs - endedMs })),
      begun: known.begun.filter((begun) => isNew(begunKey(begun))).map(({ featureId, begunMs }) => ({ featureId, begunAgoMs: nowMs - begunMs })),
      blocks: known.blocks.filter((block) => isNew(blockKey(block))).map(({ sinceMs, ...block }) => ({ ...block, sinceAgoMs: nowMs - sinceMs }))
    }
  }

  #record ({ ends, begun, blocks }: Known): void {
    const keys = new Set<string>()
    const put = (key: string, content: string) => {
      keys.add(key)
      if (this.#listed.get(key)?.content === content) return
      this.#version += 1
      this.#listed.set(key, { content, version: this.#version })
    }
    for (const end of ends) put(endKey(end), `${end.requests.length}/${end.running.length}/${end.inherited}`)
    for (const record of begun) put(begunKey(record), String(record.begunMs))
    for (const block of blocks) put(blockKey(block), `${block.revision}/${block.blocked}`)
    for (const key of this.#listed.keys()) if (!keys.has(key)) this.#listed.delete(key)
  }
}

const endKey = ({ process }: EndRecord) => `end/${process}`
const begunKey = ({ featureId }: BegunRecord) => `begun/${featureId}`
const blockKey = ({ featureId }: FeatureBlock) => `block/${featureId}`
