import { err, ok, type Result } from 'neverthrow'
import { ConfigRule, ConfigVerdict, type ConfigStep } from '@figloom/control'
import type { LogRecord } from '@figloom/platform'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import {
  createConfigState, createSnapshot, foldRecord, fromStateJson, parseConfigRecord, RecordKind,
  type ConfigRecord, type ConfigState, type SnapshotRecord, type Verdict
} from '@figloom/tables'

const VERDICTS: Record<Verdict['kind'], ConfigVerdict> = {
  accepted: ConfigVerdict.Accepted,
  conflicting: ConfigVerdict.Conflicting,
  invalid: ConfigVerdict.Invalid
}

/** The acceptance rule of the tables, as the configuration follower runs it. */
export class TablesRule extends ConfigRule<ConfigState> {
  static create (): TablesRule {
    return new TablesRule()
  }

  override empty (): ConfigState {
    return createConfigState()
  }

  override apply (state: ConfigState, record: LogRecord): ConfigStep<ConfigState> {
    const outcome = foldRecord(state, { offset: record.offset, body: record.body })
    if (outcome.kind === 'unknown-rule') return { state, verdict: ConfigVerdict.UnknownRule, detail: outcome.ruleVersion }
    if (outcome.kind !== 'applied') return { state, verdict: ConfigVerdict.Invalid }
    if (outcome.edit === undefined) return { state: outcome.state, verdict: ConfigVerdict.Snapshot }
    const { editId, verdict } = outcome.edit
    const repeated = state.edits.has(editId)
    return { state: outcome.state, verdict: repeated ? ConfigVerdict.Repeated : VERDICTS[verdict.kind], detail: outcome.edit }
  }

  override offsetOf (state: ConfigState): number {
    return state.offset
  }

  override versionOf (state: ConfigState): number {
    return state.version
  }

  override toSnapshot (state: ConfigState): unknown {
    return createSnapshot(state)
  }

  override fromSnapshot (snapshot: unknown): Result<ConfigState, Failure> {
    const parsed = parseConfigRecord(snapshot)
    if (parsed.isOk() && isSnapshot(parsed.value)) return ok(toState(parsed.value))
    return err(createFailure(ResultCode.InvalidTables, 'the snapshot cannot be read'))
  }

  override snapshotRecord (state: ConfigState): unknown {
    return createSnapshot(state)
  }

  override stateInRecord (record: LogRecord): ConfigState | undefined {
    return this.fromSnapshot(record.body).unwrapOr(undefined)
  }
}

function isSnapshot (record: ConfigRecord): record is SnapshotRecord {
  return record.kind === RecordKind.Snapshot
}

function toState ({ state, standsFor, ruleVersion }: SnapshotRecord): ConfigState {
  return fromStateJson(state, { offset: standsFor, ruleVersion })
}
