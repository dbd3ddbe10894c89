/** Finds an unbroken start of a claim stream: its first record or a whole snapshot that the log continues. */
import type { LogClient } from '@figloom/clients'
import { readBounds } from '../streams/stream-follower.js'
import { ClaimState } from './claim-state.js'
import { SnapshotCollector, type ClaimSnapshot } from './snapshot.js'

export type ClaimStart =
  | { kind: 'unbroken', snapshot: ClaimSnapshot }
  /** Records before `firstOffset` are gone and no snapshot stands for them. */
  | { kind: 'broken', firstOffset: number }
  | { kind: 'unreachable' }

/** Records read first when looking for a snapshot from the end; each further look goes back four times as far. */
const FIRST_SPAN = 4096
const SPAN_GROWTH = 4

/**
 * Looks for the newest whole snapshot from the end of the stream backwards. A short stream that is kept from its first
 * record is read whole, so that kept answers come back too.
 */
export async function findClaimStart (log: LogClient, stream: string): Promise<ClaimStart> {
  const bounds = await readBounds(log, stream)
  if (bounds.isErr()) return { kind: 'unreachable' }
  const { firstOffset, nextOffset } = bounds.value
  if (firstOffset === 1 && nextOffset <= FIRST_SPAN) return fromFirstRecord()
  for (let span = FIRST_SPAN; ; span *= SPAN_GROWTH) {
    const from = Math.max(firstOffset, nextOffset - span)
    const scan = await scanForSnapshot(log, stream, { from, to: nextOffset, oldestAsOf: firstOffset - 1 })
    if (scan === 'failed') return { kind: 'unreachable' }
    if (scan !== 'none') return { kind: 'unbroken', snapshot: scan }
    if (from === firstOffset) return firstOffset === 1 ? fromFirstRecord() : { kind: 'broken', firstOffset }
  }
}

function fromFirstRecord (): ClaimStart {
  return { kind: 'unbroken', snapshot: { state: ClaimState.create(), generationAgeMs: 0 } }
}

type ScanRange = { from: number, to: number, oldestAsOf: number }

async function scanForSnapshot (log: LogClient, stream: string, range: ScanRange): Promise<ClaimSnapshot | 'none' | 'failed'> {
  let snapshot: ClaimSnapshot | undefined
  const collector = SnapshotCollector.create()
  for (let from = range.from; from < range.to;) {
    const page = await log.read(stream, { from })
    if (page.isErr() || page.value.records.length === 0) return 'failed'
    for (const record of page.value.records) snapshot = collector.add(record, range.oldestAsOf) ?? snapshot
    from += page.value.records.length
  }
  return snapshot ?? 'none'
}
