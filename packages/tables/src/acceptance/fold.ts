/** Reading of the configuration stream, record by record. */
import type { Tables } from '../types.js'
import { ok, type Result } from 'neverthrow'
import {
  parseConfigRecord, readEnvelope, RecordKind, RULE_VERSION,
  type ConfigRecord, type RecordFault, type SnapshotRecord
} from './records.js'
import { applyEdit, applyRetiredClear, refuseMalformed, RULE_LIMITS, type RuleLimits } from './rule.js'
import { tablesOf, type ConfigState } from './state.js'
import { fromStateJson, toStateJson } from './state-json.js'
import type { Verdict } from './verdicts.js'

/** A record as the log gives it. */
export type StreamRecord = { offset: number, body: unknown }

/** An edit with its verdict. */
export type JudgedEdit = { editId: string, verdict: Verdict }

/** What came of a record. Only `applied` brings a new state. */
export type FoldOutcome =
  /** Read in order; edits come with their id and verdict. Malformed records have no kind. */
  | { kind: 'applied', state: ConfigState, recordKind?: RecordKind, edit?: JudgedEdit }
  /** Read before; nothing to do. */
  | { kind: 'behind' }
  /** Records between were missed: read on from `expectedOffset` or start from a snapshot. */
  | { kind: 'gap', expectedOffset: number }
  /** Written under a newer rule: serve on with the present state and report it. */
  | { kind: 'unknown-rule', ruleVersion: number }

/** Applies the record at the next offset. Equal records give equal states on every host. */
export function foldRecord (state: ConfigState, record: StreamRecord, limits: RuleLimits = RULE_LIMITS): FoldOutcome {
  if (record.offset <= state.offset) return { kind: 'behind' }
  if (record.offset > state.offset + 1) return { kind: 'gap', expectedOffset: state.offset + 1 }
  return parseFollowed(record.body).match(
    (parsed) => ({ kind: 'applied', recordKind: parsed.kind, ...applyConfigRecord(state, parsed, limits) }),
    (fault) => foldFault(state, fault, limits)
  )
}

/** Applies a parsed record at the next offset. A snapshot tells a reader that got so far nothing new. */
export function applyConfigRecord (
  state: ConfigState,
  record: ConfigRecord,
  limits: RuleLimits = RULE_LIMITS
): { state: ConfigState, edit?: JudgedEdit } {
  if (record.kind === RecordKind.Snapshot) return { state: { ...state, offset: state.offset + 1 } }
  if (record.kind === RecordKind.RetiredClear) return { state: applyRetiredClear(state, record) }
  const outcome = applyEdit(state, record, limits)
  return { state: outcome.state, edit: { editId: record.editId, verdict: outcome.verdict } }
}

/** Record of a snapshot; equal states give equal JSON text. */
export function createSnapshot (state: ConfigState): SnapshotRecord {
  return { kind: 'snapshot', ruleVersion: state.ruleVersion, standsFor: state.offset, state: toStateJson(state) }
}

/** Record id under which every host appends the snapshot of an offset, so that repeats are dropped. */
export function snapshotRecordId (state: ConfigState): string {
  return `snapshot-${state.offset}`
}

/** Snapshot as JSON text, for peers and for comparison. */
export function encodeSnapshot (state: ConfigState): string {
  return JSON.stringify(createSnapshot(state))
}

/** The state of a snapshot if it is ahead of the present one, else the present one: a reader never goes back. */
export function adoptSnapshot (state: ConfigState, snapshot: SnapshotRecord): ConfigState {
  if (snapshot.standsFor <= state.offset) return state
  return fromStateJson(snapshot.state, { offset: snapshot.standsFor, ruleVersion: snapshot.ruleVersion })
}

/** The snapshot that a record carries, if it is one; it can stand only for what comes before itself. */
export function snapshotIn (record: StreamRecord): SnapshotRecord | undefined {
  const parsed = parseConfigRecord(record.body).unwrapOr(undefined)
  if (parsed?.kind !== RecordKind.Snapshot || parsed.standsFor >= record.offset) return undefined
  return parsed
}

/**
 * The newest snapshot from which the log can be read on: nothing that follows it may be lost to retention.
 * Candidates may come from the log and from peers.
 */
export function chooseSnapshot (candidates: readonly SnapshotRecord[], firstOffset: number): SnapshotRecord | undefined {
  return candidates
    .filter(({ standsFor }) => standsFor + 1 >= firstOffset)
    .reduce<SnapshotRecord | undefined>((best, next) => best === undefined || next.standsFor > best.standsFor ? next : best, undefined)
}

/** Tables of a state with their version. */
export function configOf (state: ConfigState): { version: number, tables: Tables } {
  return { version: state.version, tables: tablesOf(state) }
}

/** A reader that follows learns nothing from a snapshot, so it does not check the large state inside. */
function parseFollowed (body: unknown): Result<ConfigRecord, RecordFault> {
  const envelope = readEnvelope(body)
  const isSnapshot = envelope?.kind === RecordKind.Snapshot && envelope.ruleVersion <= RULE_VERSION
  return isSnapshot ? ok(body as SnapshotRecord) : parseConfigRecord(body)
}

function foldFault (state: ConfigState, fault: RecordFault, limits: RuleLimits): FoldOutcome {
  if (fault.kind === 'unknown-rule') return fault
  if (fault.editId === undefined) return { kind: 'applied', state: { ...state, offset: state.offset + 1 } }
  const { state: next, verdict } = refuseMalformed(state, fault.editId, limits)
  return { kind: 'applied', state: next, edit: { editId: fault.editId, verdict } }
}
