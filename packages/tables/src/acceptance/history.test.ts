/** Differential test of the acceptance rule against a reference implementation that replays the whole history row by row. */
import t from 'tap'
import fc from 'fast-check'
import { checkTables } from '../check/check.js'
import { planTransition } from '../check/transition.js'
import { canonicalJson } from '../rows/canonical.js'
import { poolFromRows, rowKey, type Row, type RowChange } from '../rows/rows.js'
import type { PoolModel, Runner, Tables } from '../types.js'
import { adoptSnapshot, createSnapshot, encodeSnapshot, foldRecord, parseSnapshotRecord, type StreamRecord } from './fold.js'
import type { EditRecord, RetiredClearRecord, SnapshotRecord } from './records.js'
import { createConfigState, tablesOf, type ConfigState } from './state.js'
import type { Verdict } from './verdicts.js'

const SEED = 20_260_901
const RUNS = 400
/** Records between the offsets at which readers start. */
const READER_INTERVAL = 7

type AppliedChange = { change: RowChange, author: string, offset: number }

/** Reference implementation of the rule without shards, check scopes, deletion of old edits, or snapshots. */
class ReferenceReader {
  readonly #history: AppliedChange[] = []
  readonly #edits: { editId: string, offset: number, verdict: Verdict }[] = []
  version = 0

  constructor (readonly maxRetainedEdits: number) {}

  read (offset: number, body: unknown): Verdict | undefined {
    const edit = body as EditRecord
    if (edit.kind !== 'edit' || edit.editId === undefined) return undefined
    const previous = this.#edits.slice(-this.maxRetainedEdits).find(({ editId }) => editId === edit.editId)
    if (previous !== undefined) return previous.verdict
    const verdict = this.#verdictOn(offset, edit)
    this.#edits.push({ editId: edit.editId, offset, verdict })
    if (verdict.kind !== 'accepted') return verdict
    for (const change of edit.changes) this.#history.push({ change, author: edit.author, offset })
    this.version = offset
    return verdict
  }

  tables (extra: readonly RowChange[] = []): Tables {
    const rows = this.#rows(extra)
    const names = [...new Set(rows.flatMap((row) => row.row === 'pool' ? [row.pool] : []))].sort()
    const routes = rows.flatMap((row) => row.row === 'route' ? [row.value] : [])
    const pools = names.flatMap((name) => poolFromRows(rows.filter((row) => row.row !== 'route' && row.pool === name)) ?? [])
    return { routes: routes.sort((a, b) => a.name < b.name ? -1 : 1), pools }
  }

  #rows (extra: readonly RowChange[]): Row[] {
    const rows: Row[] = []
    for (const change of [...this.#history.map((applied) => applied.change), ...extra]) {
      const at = rows.findIndex((row) => rowKey(row) === rowKey(change))
      if (at >= 0) rows.splice(at, 1)
      if (change.value !== null) rows.push(change)
    }
    return rows
  }

  #verdictOn (offset: number, { baseOffset, changes }: EditRecord): Verdict {
    const oldestBase = this.#edits.at(-this.maxRetainedEdits - 1)?.offset ?? 0
    if (baseOffset >= offset) return { kind: 'invalid', issues: [{ row: '', field: 'baseOffset', message: 'base is not in the past' }] }
    if (baseOffset < oldestBase) return { kind: 'conflicting', rows: [], oldestBase }
    const rows = changes.flatMap((change) => {
      const last = this.#history.findLast((applied) => rowKey(applied.change) === rowKey(change))
      return last === undefined || last.offset <= baseOffset ? [] : [{ row: rowKey(change), author: last.author, offset: last.offset }]
    })
    if (rows.length > 0) return { kind: 'conflicting', rows, oldestBase }
    const before = this.tables()
    const after = this.tables(changes)
    const withoutPool = this.#rows(changes).filter((row) => row.row !== 'route' && !after.pools.some(({ name }) => name === row.pool))
    const orphans = withoutPool.map((row) => ({ row: rowKey(row), field: '', message: `no pool is named ${row.row === 'route' ? '' : row.pool}` }))
      .sort((a, b) => a.message.localeCompare(b.message) || (a.row < b.row ? -1 : 1))
    const issues = [...orphans, ...checkTables(after)]
    const all = issues.length > 0 ? issues : planTransition(before, after, new Set([...before.pools, ...after.pools].map(({ name }) => name))).issues
    return all.length > 0 ? { kind: 'invalid', issues: all.slice(0, 20) } : { kind: 'accepted', version: offset }
  }
}

const poolName = fc.constantFrom('p', 'q')
const modelName = fc.constantFrom('a', 'b', 'c')
const version = fc.constantFrom('1', '2')

const runnerChange = fc.record({ pool: poolName, name: fc.constantFrom('r1', 'r2', 'r3'), port: fc.integer({ min: 1, max: 5 }), memoryMiB: fc.constantFrom(20, 40, 60), removeWhenZero: fc.integer({ max: 3, min: 0 }) })
  .map(({ pool, name, port, memoryMiB, removeWhenZero }): RowChange => {
    const value: Runner = { name, availabilityZone: 'z', url: `http://h:${port}`, accelerators: 1, memoryMiB, checksFencing: false }
    return { row: 'runner', pool, name, value: removeWhenZero === 0 ? null : value }
  })
const modelChange = fc.record({ pool: poolName, name: modelName, version, weightsMiB: fc.constantFrom(8, 10, 25), adapters: fc.subarray(['l', 'm']), removeWhenZero: fc.integer({ min: 0, max: 4 }) })
  .map(({ pool, name, version, weightsMiB, adapters, removeWhenZero }): RowChange => {
    const value: PoolModel = { name, version, weightsMiB, kvReserveMiB: 1, adapters: adapters.map((adapter) => ({ name: adapter, sizeMiB: 1 })) }
    return { row: 'model', pool, name, version, value: removeWhenZero === 0 ? null : value }
  })
const routeChange = fc.record({ name: fc.constantFrom('x', 'y', 'z'), model: modelName, version, pool: poolName, removeWhenZero: fc.integer({ min: 0, max: 4 }) })
  .map(({ name, removeWhenZero, ...target }): RowChange => {
    const value = { kind: 'model' as const, name, ...target, firstTokenTargetMs: 1, betweenTokensTargetMs: 1, priority: 'batch' as const }
    return { row: 'route', name, value: removeWhenZero === 0 ? null : value }
  })
const poolChange = fc.record({ pool: poolName, moveWeight: fc.constantFrom(0, 1), removeWhenZero: fc.integer({ min: 0, max: 4 }) })
  .map(({ pool, moveWeight, removeWhenZero }): RowChange => ({ row: 'pool', pool, value: removeWhenZero === 0 ? null : { name: pool, region: 'r', moveWeight } }))
const changes = fc.uniqueArray(fc.oneof(runnerChange, modelChange, modelChange, routeChange, poolChange), { minLength: 1, maxLength: 4, selector: rowKey })

/** Next append of an operator or host; `lag` is the number of latest records that it has not read. */
const action = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('edit' as const), author: fc.constantFrom('ana', 'rui', 'eva'), lag: fc.oneof(fc.constant(0), fc.nat(4)), changes }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('retry' as const), pick: fc.nat(30) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('snapshot' as const), lag: fc.nat(6) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('clear' as const), pick: fc.nat(5), exact: fc.boolean() }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'malformed' as const }) }
)
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never

const BASE: RowChange[] = ['p', 'q'].flatMap((pool, index): RowChange[] => [
  { row: 'pool', pool, value: { name: pool, region: 'r', moveWeight: 0 } },
  { row: 'runner', pool, name: `r${index + 1}`, value: { name: `r${index + 1}`, availabilityZone: 'z', url: `http://h:${index + 1}`, accelerators: 1, memoryMiB: 60, checksFencing: false } },
  ...['a', 'b'].map((name): RowChange => ({ row: 'model', pool, name, version: '1', value: { name, version: '1', weightsMiB: 10, kvReserveMiB: 1, adapters: [] } }))
])

/** Appends records and applies each, keeping the state after every offset. */
class Writer {
  readonly bodies: unknown[] = []
  readonly states: ConfigState[] = [createConfigState()]
  readonly verdicts: (Verdict | undefined)[] = [undefined]

  constructor (readonly maxRetainedEdits: number) {}

  append (body: unknown): void {
    this.bodies.push(body)
    const outcome = foldRecord(this.states.at(-1) as ConfigState, { offset: this.bodies.length, body }, { maxRetainedEdits: this.maxRetainedEdits })
    if (outcome.kind !== 'applied') throw new Error(`record ${this.bodies.length} gave ${outcome.kind}`)
    this.states.push(outcome.state)
    this.verdicts.push(outcome.edit?.verdict)
  }

  perform (action: Action, id: number): void {
    const last = this.bodies.length
    if (action.kind === 'edit') this.append({ kind: 'edit', ruleVersion: 1, editId: `e${id}`, author: action.author, baseOffset: Math.max(0, last - action.lag), changes: action.changes })
    if (action.kind === 'retry') this.append(this.bodies[action.pick % last])
    if (action.kind === 'snapshot') this.append(createSnapshot(this.states[Math.max(0, last - action.lag)] as ConfigState))
    if (action.kind === 'clear') this.append(this.clearRecord(action))
    if (action.kind === 'malformed') this.append({ kind: 'edit', ruleVersion: 1, changes: 'none' })
  }

  clearRecord ({ pick, exact }: { pick: number, exact: boolean }): RetiredClearRecord {
    const retiring = [...(this.states.at(-1) as ConfigState).retiring.values()]
    const { row, retiredAt } = retiring[pick % Math.max(1, retiring.length)] ?? { row: 'pool:p', retiredAt: 1 }
    return { kind: 'retired-clear', ruleVersion: 1, author: 'host', cleared: [{ row, retiredAt: exact ? retiredAt : retiredAt + 1 }] }
  }
}

/** Final state of a reader that starts at a snapshot parsed from a log record and reads some records twice. */
function readFrom (snapshot: SnapshotRecord, records: readonly StreamRecord[], maxRetainedEdits: number): ConfigState {
  const read = parseSnapshotRecord({ offset: snapshot.standsFor + 1, body: JSON.parse(JSON.stringify(snapshot)) })
  if (read === undefined) throw new Error(`snapshot of ${snapshot.standsFor} cannot be read`)
  let state = adoptSnapshot(createConfigState(), read)
  for (const record of records.flatMap((record) => record.offset % 3 === 0 ? [record, record] : [record])) {
    const outcome = foldRecord(state, record, { maxRetainedEdits })
    if (outcome.kind === 'applied') state = outcome.state
  }
  return state
}

t.test('rule agrees with the reference implementation, from any starting offset', async (t) => {
  const counts = { records: 0, accepted: 0, conflicting: 0, invalid: 0, readers: 0 }
  fc.assert(fc.property(fc.array(action, { minLength: 5, maxLength: 40, size: 'max' }), fc.constantFrom(3, 8, 1024), (actions, maxRetainedEdits) => {
    const writer = new Writer(maxRetainedEdits)
    writer.append({ kind: 'edit', ruleVersion: 1, editId: 'base', author: 'ana', baseOffset: 0, changes: BASE })
    for (const [id, action] of actions.entries()) writer.perform(action, id)
    const reference = new ReferenceReader(maxRetainedEdits)
    for (const [index, body] of writer.bodies.entries()) {
      const verdict = reference.read(index + 1, body)
      const state = writer.states[index + 1] as ConfigState
      if (canonicalJson(writer.verdicts[index + 1]) !== canonicalJson(verdict)) throw new Error(`verdict at ${index + 1}: ${canonicalJson(writer.verdicts[index + 1])} reference: ${canonicalJson(verdict)}`)
      if (canonicalJson(tablesOf(state)) !== canonicalJson(reference.tables())) throw new Error(`tables at ${index + 1}`)
      if (state.version !== reference.version) throw new Error(`version at ${index + 1}`)
      if (verdict !== undefined) counts[verdict.kind] += 1
    }
    const end = encodeSnapshot(writer.states.at(-1) as ConfigState)
    const records = writer.bodies.map((body, index) => ({ offset: index + 1, body }))
    const startStates = writer.states.filter(({ offset }) => offset % READER_INTERVAL === 0)
    for (const state of startStates) {
      if (encodeSnapshot(readFrom(createSnapshot(state), records, maxRetainedEdits)) !== end) throw new Error(`reader from ${state.offset}`)
    }
    counts.records += writer.bodies.length
    counts.readers += startStates.length
  }), { seed: SEED, numRuns: RUNS })
  t.comment(JSON.stringify({ interleavings: RUNS, ...counts }))
  t.ok(Math.min(counts.accepted, counts.conflicting, counts.invalid) > RUNS, 'each verdict is common')
})
