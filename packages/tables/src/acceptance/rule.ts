/** Acceptance rule, version 1: computes the verdict on an edit and the next state from the log alone. */
import { checkTables, type CheckScope, type TableIssue } from '../check/check.js'
import { planTransition } from '../check/transition.js'
import { rowKey, type RowChange } from '../rows/rows.js'
import type { EditRecord, RetiredClearRecord } from './records.js'
import { toRetiringRow } from './retiring-row.js'
import {
  getShard, liveRows, shardOf, tablesOf,
  type ConfigState, type EditEntry, type RetiringRow, type RowEntry, type Shard
} from './state.js'
import { isExpiredRemoval } from './state-json.js'
import { invalid, invalidEnvelope, type RowConflict, type Verdict } from './verdicts.js'

/** Limits of the rule; part of its version. */
export type RuleLimits = {
  /** Number of latest edits whose verdicts are kept, so that a retry gets the first verdict. */
  maxRetainedEdits: number
}

/** Limits of version 1. */
export const RULE_LIMITS: RuleLimits = { maxRetainedEdits: 1024 }

/** State after an edit, and the verdict on it. */
export type EditOutcome = { state: ConfigState, verdict: Verdict }

/** Applies an edit at the next offset. A retry of an edit changes no rows and gets the verdict of the first attempt. */
export function applyEdit (state: ConfigState, edit: EditRecord, limits: RuleLimits = RULE_LIMITS): EditOutcome {
  const offset = state.offset + 1
  const previous = state.edits.get(edit.editId)
  if (previous !== undefined) return { state: { ...state, offset }, verdict: previous.verdict }
  const refusal = checkEnvelope(state, edit, offset) ?? findConflicts(state, edit)
  if (refusal !== undefined) return recordEdit(state, { editId: edit.editId, offset, verdict: refusal }, limits)
  const changed = applyChanges(state, edit, offset)
  const issues = findIssues(state, changed, edit.changes)
  if (issues.length > 0) return recordEdit(state, { editId: edit.editId, offset, verdict: invalid(issues) }, limits)
  return recordEdit(changed, { editId: edit.editId, offset, verdict: { kind: 'accepted', version: offset } }, limits)
}

/** Records a verdict for an edit whose body is not valid under this rule version, so that its author gets an answer. */
export function rejectMalformedEdit (state: ConfigState, editId: string, limits: RuleLimits = RULE_LIMITS): EditOutcome {
  const offset = state.offset + 1
  const previous = state.edits.get(editId)
  if (previous !== undefined) return { state: { ...state, offset }, verdict: previous.verdict }
  return recordEdit(state, { editId, offset, verdict: invalidEnvelope('', 'malformed record') }, limits)
}

/** Removes rows from the retiring ones, unless they were added back or removed again in the meantime. */
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

function applyChanges (state: ConfigState, { changes, author }: EditRecord, offset: number): ConfigState {
  const shards = new Map<string, Shard>(state.shards)
  const retiring = new Map(state.retiring)
  for (const [name, group] of groupByShard(changes)) {
    const old = getShard(state, name)
    for (const change of group) updateRetiring(retiring, old.get(rowKey(change))?.change, change, offset)
    shards.set(name, updateShard(old, group, { author, offset, oldestBase: state.oldestBase }))
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

function updateShard (old: Shard, changes: readonly RowChange[], edit: { author: string, offset: number, oldestBase: number }): Shard {
  const shard = new Map<string, RowEntry>([...old].filter(([, entry]) => !isExpiredRemoval(entry, edit.oldestBase)))
  for (const change of changes) shard.set(rowKey(change), { change, author: edit.author, offset: edit.offset })
  return shard
}

function updateRetiring (retiring: Map<string, RetiringRow>, old: RowChange | undefined, change: RowChange, offset: number): void {
  const entry = toRetiringRow(old, change, offset)
  if (entry !== undefined) retiring.set(entry.row, entry)
  if (change.value !== null) retiring.delete(rowKey(change))
}

/** Issues of the changed tables; checks only the part that the change can affect. */
function findIssues (before: ConfigState, after: ConfigState, changes: readonly RowChange[]): TableIssue[] {
  const scope = scopeOf(changes)
  const tables = tablesOf(after)
  const issues = [...findOrphans(after, scope), ...checkTables(tables, scope)]
  if (issues.length > 0) return issues
  return planTransition(tablesOf(before), tables, scope.pools).issues
}

/** Pools in which a change can cause an issue. The pool that a route moves away from needs no check: it only gains free memory. */
function scopeOf (changes: readonly RowChange[]): CheckScope {
  const pools = changes.flatMap((change) => {
    if (change.row !== 'route') return [change.pool]
    return change.value === null ? [] : [change.value.pool]
  })
  return { pools: new Set(pools), runners: changes.some(({ row }) => row === 'runner') }
}

/** Issues for runners and models whose pool row is missing. Sorted by key, since the order within a shard depends on its history. */
function findOrphans (state: ConfigState, { pools }: CheckScope): TableIssue[] {
  return [...pools].sort().flatMap((pool) => {
    const rows = liveRows(getShard(state, `pool:${pool}`))
    if (rows.some(({ row }) => row === 'pool')) return []
    return rows.map(rowKey).sort().map((row) => ({ row, field: '', message: `no pool is named ${pool}` }))
  })
}

function recordEdit (state: ConfigState, edit: EditEntry, { maxRetainedEdits }: RuleLimits): EditOutcome {
  const edits = new Map(state.edits).set(edit.editId, edit)
  let oldestBase = state.oldestBase
  for (const [editId, { offset }] of edits) {
    if (edits.size <= maxRetainedEdits) break
    edits.delete(editId)
    oldestBase = offset
  }
  return { state: { ...state, offset: edit.offset, edits, oldestBase }, verdict: edit.verdict }
}
