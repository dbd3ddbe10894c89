/** Simple acceptance rule for tests: an edit conflicts unless its `base` is the version in force. */
import { err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { LogRecord } from '@figloom/clients'
import { ConfigRule, ConfigVerdict, type ConfigStep, type EditVerdict } from '../config/types.js'

export type CountingState = { offset: number, version: number, value: string, edits: EditVerdict[] }
export type CountingBody = { rule: number, base?: number, value?: string, state?: CountingState }

const KNOWN_RULE = 1

export class CountingRule extends ConfigRule<CountingState> {
  static create (): CountingRule {
    return new CountingRule()
  }

  override empty (): CountingState {
    return { offset: 0, version: 0, value: '', edits: [] }
  }

  override apply (state: CountingState, record: LogRecord): ConfigStep<CountingState> {
    const body = record.body as CountingBody
    const advanced = { ...state, offset: record.offset }
    if (body.rule !== KNOWN_RULE) return { state, verdict: ConfigVerdict.UnknownRule }
    if (body.state !== undefined) return { state: advanced, verdict: ConfigVerdict.Snapshot }
    const duplicate = this.findVerdict(state, record.recordId)
    if (duplicate !== undefined) return { state: advanced, verdict: ConfigVerdict.Duplicate }
    const accepted = body.base === state.version
    const verdict = accepted ? ConfigVerdict.Accepted : ConfigVerdict.Conflicting
    const edits = [...state.edits, { editId: record.recordId, offset: record.offset, verdict, detail: undefined }]
    if (!accepted) return { state: { ...advanced, edits }, verdict }
    return { state: { offset: record.offset, version: record.offset, value: body.value ?? '', edits }, verdict }
  }

  override findVerdict (state: CountingState, editId: string): EditVerdict | undefined {
    return state.edits.find((edit) => edit.editId === editId)
  }

  override offsetOf (state: CountingState): number {
    return state.offset
  }

  override versionOf (state: CountingState): number {
    return state.version
  }

  override toSnapshot (state: CountingState): unknown {
    return state
  }

  override fromSnapshot (snapshot: unknown): Result<CountingState, Failure> {
    const state = snapshot as CountingState
    if (typeof state?.offset !== 'number') return err(createFailure(ResultCode.InvalidTables, 'not a snapshot'))
    return ok(state)
  }

  override snapshotRecord (state: CountingState): unknown {
    return { rule: KNOWN_RULE, state }
  }

  override stateInRecord (record: LogRecord): CountingState | undefined {
    const body = record.body as CountingBody
    return body.rule === KNOWN_RULE ? body.state : undefined
  }
}
