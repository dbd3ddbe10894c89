/** Snapshots of a claim stream: packed keys in parts, each a record, put together again by readers. */
import type { LogRecord } from '@figloom/clients'
import { ClaimState } from './claim-state.js'
import { PACKED_ENTRY_BYTES } from './key-table.js'
import { parseClaimBody } from './records.js'
import type { ClaimSnapshotPart } from './types.js'

/** Keys in one part; a record then has at most about 180 KB. */
const PART_BYTES = 2000 * PACKED_ENTRY_BYTES

/** Snapshots under assembly at once; older unfinished ones are dropped. */
const OPEN_SNAPSHOTS = 4

/** A whole snapshot and the age of its generation when it was written, in milliseconds. */
export type ClaimSnapshot = { state: ClaimState, generationAgeMs: number }

/** Splits the state into parts that stand for its offset. */
export function toSnapshotParts (state: ClaimState, id: string, generationAgeMs: number): ClaimSnapshotPart[] {
  const [current, previous] = [state.current.pack(), state.previous.pack()]
  const parts = Math.max(1, Math.ceil(Math.max(current.length, previous.length) / PART_BYTES))
  return Array.from({ length: parts }, (_, part) => ({
    id,
    asOf: state.offset,
    part,
    parts,
    generation: state.generation,
    generationAgeMs,
    lastClaimOffset: state.lastClaimOffset,
    current: slice(current, part),
    previous: slice(previous, part)
  }))
}

/** Puts parts together as they are read. */
export class SnapshotCollector {
  readonly #open = new Map<string, ClaimSnapshotPart[]>()

  static create (): SnapshotCollector {
    return new SnapshotCollector()
  }

  /** Adds a record; returns the snapshot that it completes, if its offset is at least `oldestAsOf`. */
  add (record: LogRecord, oldestAsOf: number): ClaimSnapshot | undefined {
    const parsed = parseClaimBody(record.body)
    if (parsed.kind !== 'body' || !('snapshot' in parsed.body)) return undefined
    const part = parsed.body.snapshot
    if (part.asOf < oldestAsOf) return undefined
    const parts = this.#open.get(part.id) ?? []
    if (!parts.some((known) => known.part === part.part)) parts.push(part)
    this.#open.set(part.id, parts)
    this.#dropOldest()
    if (parts.length < part.parts) return undefined
    this.#open.delete(part.id)
    return assemble(parts)
  }

  #dropOldest (): void {
    for (const id of this.#open.keys()) {
      if (this.#open.size <= OPEN_SNAPSHOTS) return
      this.#open.delete(id)
    }
  }
}

function assemble (parts: ClaimSnapshotPart[]): ClaimSnapshot | undefined {
  const [first] = parts
  if (first === undefined) return undefined
  const state = ClaimState.create()
  state.offset = first.asOf
  state.generation = first.generation
  state.lastClaimOffset = first.lastClaimOffset
  for (const part of parts) {
    state.current.unpack(Buffer.from(part.current, 'base64'))
    state.previous.unpack(Buffer.from(part.previous, 'base64'))
  }
  return { state, generationAgeMs: first.generationAgeMs }
}

function slice (packed: Buffer, part: number): string {
  return packed.subarray(part * PART_BYTES, (part + 1) * PART_BYTES).toString('base64')
}
