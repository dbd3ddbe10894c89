/** Finds an unbroken start of a claim stream: its first record or a whole snapshot that the log continues. */
import type { LogClient } from '@figloom/platform'
import { readBounds } from '../streams/stream-follower.js'
import { ClaimState } from './claim-state.js'
import { SnapshotCollector, type ClaimSnapshot } from './snapshot.js'

export type ClaimStart =
  | { kind: 'unbroken', snapshot: ClaimSnapshot }
  /** Records before `firstOffset` are gone and no snapshot stands for them. */
  | { kind: 'broken', firstOffset: number }
  | { kind: 'unreachable' }

/** Reads what the log keeps of a stream and takes the last whole snapshot. */
export async function findClaimStart (log: LogClient, stream: string): Promise<ClaimStart> {
  const bounds = await readBounds(log, stream)
  if (bounds.isErr()) return { kind: 'unreachable' }
  const { firstOffset, nextOffset } = bounds.value
  let snapshot: ClaimSnapshot | undefined
  const collector = SnapshotCollector.create()
  for (let from = firstOffset; from < nextOffset;) {
    const page = await log.read(stream, { from })
    if (page.isErr() || page.value.records.length === 0) return { kind: 'unreachable' }
    for (const record of page.value.records) snapshot = collector.add(record, firstOffset - 1) ?? snapshot
    from += page.value.records.length
  }
  if (snapshot !== undefined) return { kind: 'unbroken', snapshot }
  if (firstOffset > 1) return { kind: 'broken', firstOffset }
  return { kind: 'unbroken', snapshot: { state: ClaimState.create(), generationAgeMs: 0 } }
}
