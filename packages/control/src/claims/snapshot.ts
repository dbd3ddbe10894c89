/** Snapshots of a claim stream: packed keys, split into parts of one record each, which readers assemble. */
import type { LogRecord } from '@figloom/clients'
import { ClaimState } from './claim-state.js'
import { PACKED_ENTRY_BYTES } from './key-table.js'
import { parseClaimBody } from './records.js'
import type { ClaimSnapshotPart } from './types.js'

/** 2000 keys of each generation in one part; a record then has at most about 180 KB. */
const MAX_PART_BYTES = 2000 * PACKED_ENTRY_BYTES

/** Incomplete snapshots held at once; the oldest is dropped above this. */
const MAX_OPEN_SNAPSHOTS = 4

/** A complete snapshot and the age of its generation when it was written, in milliseconds. */
export type ClaimSnapshot = { state: ClaimState, generationAgeMs: number }

/** Splits the state into the parts of a snapshot at its offset. */
export function toSnapshotParts (state: ClaimState, id: string, generationAgeMs: number): ClaimSnapshotPart[] {
  const [current, previous] = [state.current.pack(), state.previous.pack()]
  const parts = Math.max(1, Math.ceil(Math.max(current.length, previous.length) / MAX_PART_BYTES))
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

/** Assembles snapshots from their parts as these are read. */
export class SnapshotCollector {
  readonly #open = new Map<string, ClaimSnapshotPart[]>()

  static create (): SnapshotCollector {
    return new SnapshotCollector()
  }

  /** Adds a record; returns the snapshot that it completes. Snapshots at an offset below `minOffset` are ignored. */
  add (record: LogRecord, minOffset: number): ClaimSnapshot | undefined {
    const parsed = parseClaimBody(record.body)
    if (parsed.kind !== 'body' || !('snapshot' in parsed.body)) return undefined
    const part = parsed.body.snapshot
    if (part.asOf < minOffset) return undefined
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
      if (this.#open.size <= MAX_OPEN_SNAPSHOTS) return
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
  return packed.subarray(part * MAX_PART_BYTES, (part + 1) * MAX_PART_BYTES).toString('base64')
}
