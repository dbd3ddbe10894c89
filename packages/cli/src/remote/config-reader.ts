/** Reads the configuration from the log, like a host that starts without local state. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { LogClient, LogRecord } from '@figloom/clients'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import {
  adoptSnapshot, chooseSnapshot, createConfigState, foldRecord, parseSnapshotRecord,
  type ConfigState, type FoldOutcome, type SnapshotRecord
} from '@figloom/tables'

/** The state at the end of the stream, and the state at an earlier offset if one was requested and can still be computed. */
export type ConfigView = { state: ConfigState, atBase: ConfigState | undefined }

/**
 * Reads the stream to its end. `baseOffset` requests the state at that offset as well. Errors: `LogUnavailable`;
 * `LogTruncated` if the log holds no snapshot to start from; `PeerVersion` if a record needs a newer release.
 */
export function readConfig (log: LogClient, stream: string, baseOffset?: number): ResultAsync<ConfigView, Failure> {
  return new ResultAsync(readFromStart(log, stream, baseOffset))
}

/** Applies the records after a state, up to the end of the stream. Errors as `readConfig`; `LogTruncated` if any of them is missing. */
export function catchUp (log: LogClient, stream: string, state: ConfigState): ResultAsync<ConfigState, Failure> {
  return new ResultAsync(readRecords(log, stream, state.offset + 1, Infinity))
    .andThen((records) => foldRecords(state, records, undefined))
    .map((view) => view.state)
}

async function readFromStart (log: LogClient, stream: string, baseOffset?: number): Promise<Result<ConfigView, Failure>> {
  const bounds = await log.read(stream, { from: Number.MAX_SAFE_INTEGER, limit: 1 })
  if (bounds.isErr()) return err(bounds.error)
  const { firstOffset, nextOffset } = bounds.value
  const records = await readRecords(log, stream, firstOffset, nextOffset)
  if (records.isErr()) return err(records.error)
  const start = findStartState(records.value, firstOffset, baseOffset)
  if (start === undefined) return err(createFailure(ResultCode.LogTruncated, `no snapshot at or after the first offset of the log, ${firstOffset}`))
  return foldRecords(start, records.value, baseOffset)
}

async function readRecords (log: LogClient, stream: string, from: number, end: number): Promise<Result<LogRecord[], Failure>> {
  const records: LogRecord[] = []
  for (let next = from; next < end;) {
    const page = await log.read(stream, { from: next })
    if (page.isErr()) return err(page.error)
    if (page.value.records.length === 0) break
    records.push(...page.value.records)
    next += page.value.records.length
  }
  return ok(records)
}

/** The empty state if the stream is complete; else the newest snapshot at or before the base offset, or the newest of all if there is none. */
function findStartState (records: readonly LogRecord[], firstOffset: number, baseOffset: number | undefined): ConfigState | undefined {
  if (firstOffset === 1) return createConfigState()
  const snapshots = records.flatMap((record) => parseSnapshotRecord(record) ?? [])
  const beforeBase = snapshots.filter(({ standsFor }) => baseOffset === undefined || standsFor <= baseOffset)
  const best: SnapshotRecord | undefined = chooseSnapshot(beforeBase, firstOffset) ?? chooseSnapshot(snapshots, firstOffset)
  return best === undefined ? undefined : adoptSnapshot(createConfigState(), best)
}

function foldRecords (start: ConfigState, records: readonly LogRecord[], baseOffset: number | undefined): Result<ConfigView, Failure> {
  let state = start
  let atBase = state.offset === baseOffset ? state : undefined
  for (const record of records) {
    const outcome = foldRecord(state, record)
    if (outcome.kind === 'behind') continue
    if (outcome.kind !== 'applied') return err(toReadFailure(outcome, record.offset))
    state = outcome.state
    if (state.offset === baseOffset) atBase = state
  }
  return ok({ state, atBase })
}

function toReadFailure (outcome: Exclude<FoldOutcome, { kind: 'applied' | 'behind' }>, offset: number): Failure {
  if (outcome.kind === 'gap') return createFailure(ResultCode.LogTruncated, `the log has no record at offset ${outcome.expectedOffset}`)
  return createFailure(ResultCode.PeerVersion, `the record at offset ${offset} needs a newer release of figloom`)
}
