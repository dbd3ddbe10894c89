/** Acceptance rule, version 1: verdict and next state of an edit, from the log alone. */
import { checkTables, type CheckScope, type TableIssue } from '../check/check.js'
import { planPeak } from '../check/peak.js'
import { rowKey, type RowChange } from '../rows/rows.js'
import type { EditRecord, RetiredClearRecord } from './records.js'
import { findRetired } from './retire.js'
import {
  getShard, liveRows, shardOf, tablesOf,
  type ConfigState, type KnownEdit, type RetiringRow, type RowEntry, type Shard
} from './state.js'
import { isForgotten } from './state-json.js'
import { invalid, invalidEnvelope, type RowConflict, type Verdict } from './verdicts.js'

/** Bounds of the rule; part of its version. */
export type RuleLimits = {
  /** Edits whose verdicts are kept for repeats. */
  keptEdits: number
}

/** Bounds of version 1. */
export const RULE_LIMITS: RuleLimits = { keptEdits: 1024 }

/** State and verdict after an edit at `offset`. */
export type EditOutcome = { state: ConfigState, verdict: Verdict }

/** Applies an edit at the next offset. A repeat changes nothing and gets the first one's verdict. */
export function applyEdit (state: ConfigState, edit: EditRecord, limits: RuleLimits = RULE_LIMITS): EditOutcome {
  const offset = state.offset + 1
  const known = state.edits.get(edit.editId)
  if (known !== undefined) return { state: { ...state, offset }, verdict: known.verdict }
  const refusal = checkEnvelope(state, edit, offset) ?? findConflicts(state, edit)
  if (refusal !== undefined) return rememberEdit(state, { editId: edit.editId, offset, verdict: refusal }, limits)
  const changed = changeRows(state, edit, offset)
  const issues = findIssues(state, changed, edit.changes)
  if (issues.length > 0) return rememberEdit(state, { editId: edit.editId, offset, verdict: invalid(issues) }, limits)
  return rememberEdit(changed, { editId: edit.editId, offset, verdict: { kind: 'accepted', version: offset } }, limits)
}

/** Records an edit whose body no release of this rule version can read, so that its author is told. */
export function refuseMalformed (state: ConfigState, editId: string, limits: RuleLimits = RULE_LIMITS): EditOutcome {
  const offset = state.offset + 1
  const known = state.edits.get(editId)
  if (known !== undefined) return { state: { ...state, offset }, verdict: known.verdict }
  return rememberEdit(state, { editId, offset, verdict: invalidEnvelope('', 'malformed record') }, limits)
}

/** Strikes rows off the retiring ones, unless they came back or retired again in the meantime. */
export function applyRetiredClear (state: ConfigState, record: RetiredClearRecord): ConfigState {
  const retiring = new Map(state.retiring)
  for (const { row, retiredAt } of record.cleared) {
    if (retiring.get(row)?.retiredAt === retiredAt) retiring.delete(row)
  }
  return { ...state, offset: state.offset + 1, retiring }
}

function checkEnvelope (state: ConfigState, edit: EditRecord, offset: number): Verdict | undefined {
  if (edit.baseOffset >= offset) return invalidEnvelope('baseOffset', 'base is not in the past')
  const keys = new Set(edit.changes.map(rowKey))
  if (keys.size < edit.changes.length) return invalidEnvelope('changes', 'a row is changed twice')
  if (edit.baseOffset < state.oldestBase) return { kind: 'conflicting', rows: [], oldestBase: state.oldestBase }
  return undefined
}

function findConflicts (state: ConfigState, edit: EditRecord): Verdict | undefined {
  const rows = edit.changes.flatMap((change): RowConflict[] => {
    const row = rowKey(change)
    const entry = getShard(state, shardOf(change)).get(row)
    if (entry === undefined || entry.offset <= edit.baseOffset) return []
    return [{ row, author: entry.author, offset: entry.offset }]
  })
  return rows.length === 0 ? undefined : { kind: 'conflicting', rows, oldestBase: state.oldestBase }
}

function changeRows (state: ConfigState, { changes, author }: EditRecord, offset: number): ConfigState {
  const shards = new Map<string, Shard>(state.shards)
  const retiring = new Map(state.retiring)
  for (const [name, group] of groupByShard(changes)) {
    const old = getShard(state, name)
    for (const change of group) retireRow(retiring, old.get(rowKey(change))?.change, change, offset)
    shards.set(name, changeShard(old, group, { author, offset, oldestBase: state.oldestBase }))
  }
  return { ...state, shards, retiring, version: offset }
}

function groupByShard (changes: readonly RowChange[]): Map<string, RowChange[]> {
  const groups = new Map<string, RowChange[]>()
  for (const change of changes) {
    const name = shardOf(change)
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [change])
    else group.push(change)
  }
  return groups
}

function changeShard (old: Shard, changes: readonly RowChange[], by: { author: string, offset: number, oldestBase: number }): Shard {
  const shard = new Map<string, RowEntry>([...old].filter(([, entry]) => !isForgotten(entry, by.oldestBase)))
  for (const change of changes) shard.set(rowKey(change), { change, author: by.author, offset: by.offset })
  return shard
}

function retireRow (retiring: Map<string, RetiringRow>, old: RowChange | undefined, change: RowChange, offset: number): void {
  const retired = findRetired(old, change, offset)
  if (retired !== undefined) retiring.set(retired.row, retired)
  if (change.value !== null) retiring.delete(rowKey(change))
}

/** Faults of the changed tables, looked for only where the change reaches. */
function findIssues (before: ConfigState, after: ConfigState, changes: readonly RowChange[]): TableIssue[] {
  const scope = scopeOf(changes)
  const tables = tablesOf(after)
  const issues = [...findOrphans(after, scope), ...checkTables(tables, scope)]
  if (issues.length > 0) return issues
  return planPeak(tablesOf(before), tables, scope.pools).issues
}

/** Pools where a change can bring a fault; the pool that a route leaves only gains room. */
function scopeOf (changes: readonly RowChange[]): CheckScope {
  const pools = changes.flatMap((change) => {
    if (change.row !== 'route') return [change.pool]
    return change.value === null ? [] : [change.value.pool]
  })
  return { pools: new Set(pools), runners: changes.some(({ row }) => row === 'runner') }
}

/** Runners and models of a pool that has no head row, in the order of their keys, since a shard's order is its history. */
function findOrphans (state: ConfigState, { pools }: CheckScope): TableIssue[] {
  return [...pools].sort().flatMap((pool) => {
    const rows = liveRows(getShard(state, `pool:${pool}`))
    if (rows.some(({ row }) => row === 'pool')) return []
    return rows.map(rowKey).sort().map((row) => ({ row, field: '', message: `no pool is named ${pool}` }))
  })
}

function rememberEdit (state: ConfigState, edit: KnownEdit, { keptEdits }: RuleLimits): EditOutcome {
  const edits = new Map(state.edits).set(edit.editId, edit)
  let oldestBase = state.oldestBase
  for (const [editId, { offset }] of edits) {
    if (edits.size <= keptEdits) break
    edits.delete(editId)
    oldestBase = offset
  }
  return { state: { ...state, offset: edit.offset, edits, oldestBase }, verdict: edit.verdict }
}
