/** Finds where to start reading a claim stream: its first record, or a snapshot after which the log has every record. */
import type { LogClient } from '@figloom/clients'
import { readBounds } from '../streams/stream-follower.js'
import { ClaimState } from './claim-state.js'
import { SnapshotCollector, type ClaimSnapshot } from './snapshot.js'

export type ClaimStartPoint =
  /** The log has every record after the snapshot; the snapshot is empty if it has every record of the stream. */
  | { kind: 'unbroken', snapshot: ClaimSnapshot }
  /** The log dropped the records before `firstOffset` and no snapshot covers them. */
  | { kind: 'broken', firstOffset: number }
  | { kind: 'unreachable' }

/** Number of records in the first scan for a snapshot from the end; each further scan is four times as long. */
const INITIAL_SCAN_LENGTH = 4096
const SCAN_GROWTH_FACTOR = 4

/**
 * Searches backwards from the end of the stream for the newest complete snapshot. A short stream of which the log has
 * every record is read from the first one, which also restores the kept answers: snapshots don't contain them.
 */
export async function findClaimStartPoint (log: LogClient, stream: string): Promise<ClaimStartPoint> {
  const bounds = await readBounds(log, stream)
  if (bounds.isErr()) return { kind: 'unreachable' }
  const { firstOffset, nextOffset } = bounds.value
  if (firstOffset === 1 && nextOffset <= INITIAL_SCAN_LENGTH) return fromFirstRecord()
  for (let scanLength = INITIAL_SCAN_LENGTH; ; scanLength *= SCAN_GROWTH_FACTOR) {
    const from = Math.max(firstOffset, nextOffset - scanLength)
    const scan = await scanForSnapshot(log, stream, { from, to: nextOffset, minOffset: firstOffset - 1 })
    if (scan === 'failed') return { kind: 'unreachable' }
    if (scan !== 'none') return { kind: 'unbroken', snapshot: scan }
    if (from === firstOffset) return firstOffset === 1 ? fromFirstRecord() : { kind: 'broken', firstOffset }
  }
}

function fromFirstRecord (): ClaimStartPoint {
  return { kind: 'unbroken', snapshot: { state: ClaimState.create(), generationAgeMs: 0 } }
}

type ScanRange = { from: number, to: number, minOffset: number }

async function scanForSnapshot (log: LogClient, stream: string, range: ScanRange): Promise<ClaimSnapshot | 'none' | 'failed'> {
  let snapshot: ClaimSnapshot | undefined
  const collector = SnapshotCollector.create()
  for (let from = range.from; from < range.to;) {
    const page = await log.read(stream, { from })
    if (page.isErr() || page.value.records.length === 0) return 'failed'
    for (const record of page.value.records) snapshot = collector.add(record, range.minOffset) ?? snapshot
    from += page.value.records.length
  }
  return snapshot ?? 'none'
}
