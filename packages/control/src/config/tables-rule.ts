/** Acceptance rule of the configuration tables. */
import { err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { LogRecord } from '@figloom/clients'
import {
  adoptSnapshot, createConfigState, createSnapshot, foldRecord, parseConfigRecord, RecordKind, parseSnapshotRecord,
  type ConfigState
} from '@figloom/tables'
import { ConfigRule, ConfigVerdict, type ConfigStep, type EditVerdict } from './types.js'

/** Applies records with the tables package. */
export class TablesRule extends ConfigRule<ConfigState> {
  private constructor () {
    super()
  }

  static create (): TablesRule {
    return new TablesRule()
  }

  override empty (): ConfigState {
    return createConfigState()
  }

  override apply (state: ConfigState, record: LogRecord): ConfigStep<ConfigState> {
    const outcome = foldRecord(state, record)
    if (outcome.kind === 'unknown-rule') return { state, verdict: ConfigVerdict.UnknownRule }
    if (outcome.kind !== 'applied') return { state, verdict: ConfigVerdict.Snapshot }
    if (outcome.edit === undefined) return { state: outcome.state, verdict: verdictWithoutEdit(outcome.recordKind) }
    const { editId, verdict } = outcome.edit
    return { state: outcome.state, verdict: state.edits.has(editId) ? ConfigVerdict.Duplicate : verdict.kind, detail: outcome.edit }
  }

  override offsetOf (state: ConfigState): number {
    return state.offset
  }

  override versionOf (state: ConfigState): number {
    return state.version
  }

  override findVerdict (state: ConfigState, editId: string): EditVerdict | undefined {
    const known = state.edits.get(editId)
    return known === undefined ? undefined : { editId, offset: known.offset, verdict: known.verdict.kind, detail: known.verdict }
  }

  override toSnapshot (state: ConfigState): unknown {
    return createSnapshot(state)
  }

  override fromSnapshot (snapshot: unknown): Result<ConfigState, Failure> {
    const state = toState(snapshot)
    return state === undefined ? err(createFailure(ResultCode.InvalidTables, 'not a snapshot that this release can read')) : ok(state)
  }

  override snapshotRecord (state: ConfigState): unknown {
    return createSnapshot(state)
  }

  override stateInRecord (record: LogRecord): ConfigState | undefined {
    const snapshot = parseSnapshotRecord(record)
    return snapshot === undefined ? undefined : adoptSnapshot(createConfigState(), snapshot)
  }
}

/** Verdict on a record that is not an edit. Only a snapshot postpones the next snapshot. */
function verdictWithoutEdit (kind: RecordKind | undefined): ConfigVerdict {
  return kind === RecordKind.Snapshot ? ConfigVerdict.Snapshot : ConfigVerdict.NotAnEdit
}

function toState (body: unknown): ConfigState | undefined {
  const parsed = parseConfigRecord(body)
  if (parsed.isErr() || parsed.value.kind !== RecordKind.Snapshot) return undefined
  return adoptSnapshot(createConfigState(), parsed.value)
}
