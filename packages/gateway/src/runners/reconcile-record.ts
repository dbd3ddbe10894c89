/**
 * Merges a new record of a runner into what is known of it. In a new era of the platform's history, records may come from an older
 * copy: they don't undo that a process drains, that it left, or that a later process took its place. Pure functions.
 */
import { eraOf, type Position } from '../eras/position.js'
import type { RunnerEntry, RunnerRecord } from './types.js'

export type KnownRecord = RunnerRecord & {
  /** Position of the last record that changed the entry: most records are heartbeats. */
  changedPosition: Position
  /** The entry before the runner left the list. */
  lastEntry?: RunnerEntry
  /** Era in which the runner's process was first known to drain. */
  drainEra?: number
  /** Era in which the runner left the list. */
  leftEra?: number
  /** Position of the first record of a later era that lists a runner that had left. */
  relistedPosition?: Position
}

/** @param known undefined for a runner that isn't known */
export function reconcileRecord (known: KnownRecord | undefined, record: RunnerRecord): KnownRecord {
  const { id, position } = record
  const entry = entryOf(known, record)
  const before = known?.entry ?? known?.lastEntry
  const changedPosition = known !== undefined && known.entry === entry ? known.changedPosition : position
  if (entry === undefined) {
    const isStillLeft = known !== undefined && known.entry === undefined
    const leftEra = isStillLeft ? known.leftEra : eraOf(position)
    const relistedPosition = record.entry === undefined ? undefined : position
    return { id, position, entry, changedPosition, lastEntry: before, drainEra: known?.drainEra, leftEra, relistedPosition }
  }
  const drainEra = entry.draining ? (isSameProcess(before, entry) ? known?.drainEra : undefined) ?? eraOf(position) : undefined
  return { id, position, entry, changedPosition, drainEra }
}

function entryOf (known: KnownRecord | undefined, record: RunnerRecord): RunnerEntry | undefined {
  const before = known?.entry ?? known?.lastEntry
  const { entry, position } = record
  if (known === undefined || before === undefined || entry === undefined) return entry
  if (eraOf(position) === eraOf(known.position) && known.drainEra === undefined && known.leftEra === undefined) return entry
  if (isEarlierProcess(entry, before)) return eraOf(position) > eraOf(known.changedPosition) ? known.entry : entry
  if (!isSameProcess(before, entry)) return entry
  if (isLeftBefore(known, position) && !isRelisted(known, position)) return undefined
  const undoesDrain = !entry.draining && known.drainEra !== undefined && known.drainEra < eraOf(position)
  if (!undoesDrain) return entry
  return known.entry ?? { ...entry, draining: true }
}

/** The runner left in an earlier era, so a single record of it may come from the copy. */
function isLeftBefore ({ entry, leftEra }: KnownRecord, position: Position): boolean {
  return entry === undefined && leftEra !== undefined && leftEra < eraOf(position)
}

/** An earlier record of this era listed the runner as well: it writes heartbeats. */
function isRelisted ({ relistedPosition }: KnownRecord, position: Position): boolean {
  return relistedPosition !== undefined && eraOf(relistedPosition) === eraOf(position) && relistedPosition < position
}

function isSameProcess (one: RunnerEntry | undefined, other: RunnerEntry): boolean {
  return one !== undefined && one.address === other.address && one.startedUnixMs === other.startedUnixMs
}

function isEarlierProcess (entry: RunnerEntry, than: RunnerEntry): boolean {
  return entry.startedUnixMs !== undefined && than.startedUnixMs !== undefined && entry.startedUnixMs < than.startedUnixMs
}
