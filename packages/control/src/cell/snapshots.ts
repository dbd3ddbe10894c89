/** Snapshots of a cell: the fold of its stream up to an offset. A snapshot is valid whichever host appended it. */
import { z } from 'zod'
import type { LogRecord } from '@figloom/clients'
import { parseCellRecord } from './records.js'
import { applyCellRecord, createCellState, type CellState } from './state.js'

const stateSchema = z.object({
  offset: z.number(),
  intents: z.array(z.object({ offset: z.number() }).loose()),
  runners: z.array(z.object({ name: z.string() }).loose()),
  goneIncarnations: z.array(z.string()),
  recordIds: z.array(z.string()),
  unknownRecords: z.array(z.object({ offset: z.number() }).loose())
}).loose()

/** Parses the state in a snapshot record; undefined if its format is not known. */
export function parseCellState (value: unknown): CellState | undefined {
  const parsed = stateSchema.safeParse(value)
  return parsed.success ? parsed.data as unknown as CellState : undefined
}

/** Returns the snapshot if its offset is higher than the state's, else the state. */
export function adoptSnapshot (state: CellState, snapshot: CellState): CellState {
  return snapshot.offset > state.offset ? snapshot : state
}

/**
 * Builds the state from the records that the log still keeps, oldest first from `firstOffset`. `knownState` is what the
 * host already has, from earlier reads or from a peer. Returns undefined if neither it nor a snapshot in the records
 * reaches the first kept offset.
 */
export function restoreCellState (records: LogRecord[], firstOffset: number, knownState: CellState | undefined): CellState | undefined {
  const candidates = [
    ...(firstOffset === 1 ? [createCellState()] : []),
    ...(knownState === undefined ? [] : [knownState]),
    ...records.flatMap(readSnapshot)
  ]
  const base = candidates
    .filter(({ offset }) => offset >= firstOffset - 1)
    .sort((a, b) => b.offset - a.offset)[0]
  if (base === undefined) return undefined
  return records.reduce(applyCellRecord, base)
}

function readSnapshot (record: LogRecord): CellState[] {
  const body = parseCellRecord(record.body)
  if (body?.kind !== 'snapshot') return []
  const state = parseCellState(body.state)
  return state === undefined ? [] : [state]
}
