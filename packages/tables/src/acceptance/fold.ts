/** Applies the records of the configuration stream, one by one, to a state. */
import type { Tables } from '../types.js'
import { ok, type Result } from 'neverthrow'
import {
  parseConfigRecord, readEnvelope, RecordKind, RULE_VERSION,
  type ConfigRecord, type RecordError, type SnapshotRecord
} from './records.js'
import { applyEdit, applyRetiredClear, rejectMalformedEdit, RULE_LIMITS, type RuleLimits } from './rule.js'
import { tablesOf, type ConfigState } from './state.js'
import { fromStateJson, toStateJson } from './state-json.js'
import type { Verdict } from './verdicts.js'

/** A record as read from the log. */
export type StreamRecord = { offset: number, body: unknown }

/** Id and verdict of an edit. */
export type EditVerdict = { editId: string, verdict: Verdict }

/** Outcome of reading a record. Only `applied` has a new state. */
export type FoldOutcome =
  /** The record was the next in order. `edit` is set for edits; `recordKind` is missing for malformed records. */
  | { kind: 'applied', state: ConfigState, recordKind?: RecordKind, edit?: EditVerdict }
  /** The record was applied earlier; the state stays as it is. */
  | { kind: 'behind' }
  /** Records before this one are missing: continue reading at `expectedOffset` or start from a snapshot. */
  | { kind: 'gap', expectedOffset: number }
  /** Written under a newer rule version: keep serving with the current state and report it. */
  | { kind: 'unknown-rule', ruleVersion: number }

/** Applies the record at the next offset. Equal records produce equal states on every host. */
export function foldRecord (state: ConfigState, record: StreamRecord, limits: RuleLimits = RULE_LIMITS): FoldOutcome {
  if (record.offset <= state.offset) return { kind: 'behind' }
  if (record.offset > state.offset + 1) return { kind: 'gap', expectedOffset: state.offset + 1 }
  return parseNextRecord(record.body).match(
    (parsed) => ({ kind: 'applied', recordKind: parsed.kind, ...applyConfigRecord(state, parsed, limits) }),
    (error) => foldInvalidRecord(state, error, limits)
  )
}

/** Applies a parsed record at the next offset. A snapshot only advances the offset, since this reader has its content already. */
export function applyConfigRecord (
  state: ConfigState,
  record: ConfigRecord,
  limits: RuleLimits = RULE_LIMITS
): { state: ConfigState, edit?: EditVerdict } {
  if (record.kind === RecordKind.Snapshot) return { state: { ...state, offset: state.offset + 1 } }
  if (record.kind === RecordKind.RetiredClear) return { state: applyRetiredClear(state, record) }
  const outcome = applyEdit(state, record, limits)
  return { state: outcome.state, edit: { editId: record.editId, verdict: outcome.verdict } }
}

/** Builds the snapshot record of a state; equal states produce equal JSON text. */
export function createSnapshot (state: ConfigState): SnapshotRecord {
  return { kind: 'snapshot', ruleVersion: state.ruleVersion, standsFor: state.offset, state: toStateJson(state) }
}

/** Record id of the snapshot at an offset. It is the same on every host, so that the log drops duplicate appends. */
export function snapshotRecordId (state: ConfigState): string {
  return `snapshot-${state.offset}`
}

/** Snapshot of a state as JSON text, for peers and for comparison. */
export function encodeSnapshot (state: ConfigState): string {
  return JSON.stringify(createSnapshot(state))
}

/** The snapshot's state if it is newer than the current one, else the current one: a reader never moves backwards. */
export function adoptSnapshot (state: ConfigState, snapshot: SnapshotRecord): ConfigState {
  if (snapshot.standsFor <= state.offset) return state
  return fromStateJson(snapshot.state, { offset: snapshot.standsFor, ruleVersion: snapshot.ruleVersion })
}

/** The snapshot in a record, if it is a valid one. A snapshot can only cover offsets before its own. */
export function parseSnapshotRecord (record: StreamRecord): SnapshotRecord | undefined {
  const parsed = parseConfigRecord(record.body).unwrapOr(undefined)
  if (parsed?.kind !== RecordKind.Snapshot || parsed.standsFor >= record.offset) return undefined
  return parsed
}

/**
 * Chooses the newest snapshot after which the log is complete: no record that follows it may have been removed by
 * retention. Candidates may come from the log and from peers.
 */
export function chooseSnapshot (candidates: readonly SnapshotRecord[], firstOffset: number): SnapshotRecord | undefined {
  return candidates
    .filter(({ standsFor }) => standsFor + 1 >= firstOffset)
    .reduce<SnapshotRecord | undefined>((newest, next) => newest === undefined || next.standsFor > newest.standsFor ? next : newest, undefined)
}

/** Tables of a state and their version. */
export function configOf (state: ConfigState): { version: number, tables: Tables } {
  return { version: state.version, tables: tablesOf(state) }
}

/** Parses the next record. A snapshot's state is not validated: it is large, and a reader that is up to date does not use it. */
function parseNextRecord (body: unknown): Result<ConfigRecord, RecordError> {
  const envelope = readEnvelope(body)
  const isSnapshot = envelope?.kind === RecordKind.Snapshot && envelope.ruleVersion <= RULE_VERSION
  return isSnapshot ? ok(body as SnapshotRecord) : parseConfigRecord(body)
}

function foldInvalidRecord (state: ConfigState, error: RecordError, limits: RuleLimits): FoldOutcome {
  if (error.kind === 'unknown-rule') return error
  if (error.editId === undefined) return { kind: 'applied', state: { ...state, offset: state.offset + 1 } }
  const { state: next, verdict } = rejectMalformedEdit(state, error.editId, limits)
  return { kind: 'applied', state: next, edit: { editId: error.editId, verdict } }
}
