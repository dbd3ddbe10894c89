import t from 'tap'
import type { PoolModel, Runner } from '../types.js'
import type { RowChange } from '../rows/rows.js'
import { adoptSnapshot, chooseSnapshot, createSnapshot, encodeSnapshot, foldRecord, parseSnapshotRecord, type FoldOutcome } from './fold.js'
import type { SnapshotRecord } from './records.js'
import { createConfigState, tablesOf, type ConfigState } from './state.js'

const POOL: RowChange = { row: 'pool', pool: 'p', value: { name: 'p', region: 'r', moveWeight: 0 } }

function runner (name: string, port = 1, memoryMiB = 100, pool = 'p'): RowChange {
  const value: Runner = { name, availabilityZone: 'a', url: `http://h:${port}`, accelerators: 1, memoryMiB, checksFencing: false }
  return { row: 'runner', pool, name, value }
}

function model (name: string, version: string, weightsMiB = 10, adapters: PoolModel['adapters'] = []): RowChange {
  return { row: 'model', pool: 'p', name, version, value: { name, version, weightsMiB, kvReserveMiB: 0, adapters } }
}

function route (name: string, version: string): RowChange {
  const value = { kind: 'model' as const, name, model: name, version, pool: 'p', firstTokenTargetMs: 1, betweenTokensTargetMs: 1, priority: 'batch' as const }
  return { row: 'route', name, value }
}

/** A stream whose records are applied as they are appended. */
class Session {
  state: ConfigState = createConfigState()
  readonly bodies: unknown[] = []

  constructor (readonly maxRetainedEdits = 1024) {}

  append (body: unknown): FoldOutcome {
    this.bodies.push(body)
    const outcome = foldRecord(this.state, { offset: this.bodies.length, body }, { maxRetainedEdits: this.maxRetainedEdits })
    if (outcome.kind === 'applied') this.state = outcome.state
    return outcome
  }

  edit (editId: string, baseOffset: number, changes: RowChange[], author = 'ana') {
    const outcome = this.append({ kind: 'edit', ruleVersion: 1, editId, author, baseOffset, changes })
    return outcome.kind === 'applied' ? outcome.edit?.verdict : undefined
  }
}

function startSession (memoryMiB = 100): Session {
  const session = new Session()
  session.edit('start', 0, [POOL, runner('r1', 1, memoryMiB), model('a', '1'), model('b', '1'), route('a', '1'), route('b', '1')])
  return session
}

t.test('edits of different rows are both accepted', async (t) => {
  const session = startSession()
  t.same(session.edit('x', 1, [model('a', '1', 20)], 'ana'), { kind: 'accepted', version: 2 })
  t.same(session.edit('y', 1, [model('b', '1', 20)], 'rui'), { kind: 'accepted', version: 3 })
})

t.test('edit of a row that changed since its base', async (t) => {
  const session = startSession()
  session.edit('x', 1, [model('a', '1', 20), model('b', '1', 30)], 'ana')
  const verdict = session.edit('y', 1, [model('b', '1', 20), route('c', '1')], 'rui')
  t.same(verdict, { kind: 'conflicting', rows: [{ row: 'model:p:b:1', author: 'ana', offset: 2 }], oldestBase: 0 })
  t.equal(session.state.version, 2)
})

t.test('removal conflicts with a later edit of the row', async (t) => {
  const session = startSession()
  session.edit('x', 1, [{ row: 'route', name: 'a', value: null }])
  t.match(session.edit('y', 1, [route('a', '1')]), { kind: 'conflicting', rows: [{ row: 'route:a' }] })
})

t.test('retried edit counts as one edit', async (t) => {
  const session = startSession()
  const changes = [model('a', '1', 20)]
  const first = session.edit('x', 1, changes)
  session.edit('z', 2, [model('a', '1', 30)])
  t.same(session.edit('x', 1, changes), first)
  t.match(tablesOf(session.state).pools[0]?.models[0], { weightsMiB: 30 })
  t.equal(session.state.version, 3)
})

t.test('refused edit stays refused when retried', async (t) => {
  const session = startSession()
  const verdict = session.edit('x', 1, [route('c', '1')])
  t.match(verdict, { kind: 'invalid', issues: [{ row: 'route:c', field: 'model' }] })
  session.edit('y', 1, [model('c', '1')])
  t.same(session.edit('x', 1, [route('c', '1')]), verdict)
})

t.test('base must be in the past and not older than the oldest base', async (t) => {
  const session = new Session(2)
  t.match(session.edit('x', 1, [POOL]), { kind: 'invalid', issues: [{ field: 'baseOffset' }] })
  session.edit('a', 0, [POOL])
  session.edit('b', 2, [POOL])
  session.edit('c', 3, [POOL])
  t.same(session.edit('a', 0, [POOL]), { kind: 'conflicting', rows: [], oldestBase: 2 })
})

t.test('row changed twice in one edit', async (t) => {
  t.match(startSession().edit('x', 1, [route('a', '1'), route('a', '1')]), { kind: 'invalid', issues: [{ field: 'changes' }] })
})

t.test('issues between rows of both tables', async (t) => {
  const session = startSession()
  t.match(session.edit('1', 1, [{ row: 'model', pool: 'p', name: 'a', version: '1', value: null }]), { kind: 'invalid', issues: [{ row: 'route:a' }] })
  t.match(session.edit('2', 1, [{ ...POOL, value: null }]), { kind: 'invalid' })
  t.match(session.edit('3', 1, [runner('q1', 2, 1, 'q')]), { kind: 'invalid', issues: [{ row: 'runner:q:q1', message: 'no pool is named q' }] })
  const other: RowChange = { row: 'pool', pool: 'q', value: { name: 'q', region: 'r', moveWeight: 0 } }
  t.match(session.edit('4', 1, [other, runner('r1', 2, 1, 'q')]), { kind: 'invalid', issues: [{ field: 'name' }] })
  t.match(session.edit('5', 1, [other, runner('q1', 1, 1, 'q')]), { kind: 'invalid', issues: [{ field: 'url' }] })
  t.match(session.edit('6', 1, [model('a', '1', 1, [{ name: 'x', sizeMiB: 1 }, { name: 'x', sizeMiB: 1 }])]), { kind: 'invalid', issues: [{ field: 'adapters' }] })
})

t.test('old and new copies must fit in memory during a change', async (t) => {
  const session = startSession(29)
  t.match(session.edit('x', 1, [model('a', '2'), route('a', '2')]), { kind: 'invalid', issues: [{ row: 'model:p:a:2', message: /peak/ }] })
  const withRoom = startSession(30)
  t.match(withRoom.edit('x', 1, [model('a', '2'), route('a', '2')]), { kind: 'accepted' })
})

t.test('removed runners and pools are retiring until they are cleared or added back', async (t) => {
  const session = startSession()
  const other: RowChange = { row: 'pool', pool: 'q', value: { name: 'q', region: 'r', moveWeight: 0 } }
  session.edit('x', 1, [other, runner('r2', 2), model('c', '1')])
  session.edit('y', 2, [{ ...other, value: null }, { ...runner('r2'), value: null }, { ...model('c', '1'), value: null } as RowChange])
  t.match([...session.state.retiring.values()], [{ row: 'pool:q', kind: 'pool', retiredAt: 3 }, { row: 'runner:p:r2', kind: 'runner', retiredAt: 3, value: { url: 'http://h:2' } }])
  const clear = (retiredAt: number) => session.append({ kind: 'retired-clear', ruleVersion: 1, author: 'h', cleared: [{ row: 'pool:q', retiredAt }] })
  clear(2)
  t.equal(session.state.retiring.size, 2, 'a clear of an earlier removal has no effect')
  clear(3)
  t.same([...session.state.retiring.keys()], ['runner:p:r2'])
  session.edit('z', 3, [runner('r2', 2)])
  t.equal(session.state.retiring.size, 0)
  t.equal(session.state.version, 6)
})

t.test('record of a newer rule version stops the reader', async (t) => {
  const session = startSession()
  t.same(session.append({ kind: 'edit', ruleVersion: 2, editId: 'x', author: 'a', addedField: 1 }), { kind: 'unknown-rule', ruleVersion: 2 })
  t.equal(session.state.offset, 1)
})

t.test('malformed records change nothing', async (t) => {
  const session = startSession()
  for (const body of [null, 3, 'x', {}, { ruleVersion: 0 }, { kind: 'other', ruleVersion: 1 }, { kind: 'snapshot', ruleVersion: 1, standsFor: 9 }]) {
    t.match(session.append(body), { kind: 'applied', edit: undefined })
  }
  t.match(session.edit('x', 1, [{ ...model('a', '1'), name: 'b' } as RowChange]), { kind: 'invalid', issues: [{ message: 'malformed record' }] })
  t.equal(session.state.version, 1)
})

t.test('records out of order', async (t) => {
  const { state } = startSession()
  t.same(foldRecord(state, { offset: 1, body: {} }), { kind: 'behind' })
  t.same(foldRecord(state, { offset: 3, body: {} }), { kind: 'gap', expectedOffset: 2 })
})

t.test('a snapshot never moves the state backwards', async (t) => {
  const session = startSession()
  const old = createSnapshot(session.state)
  session.edit('x', 1, [model('a', '1', 20)])
  t.equal(adoptSnapshot(session.state, old), session.state)
  const ahead = adoptSnapshot(createConfigState(), createSnapshot(session.state))
  t.equal(encodeSnapshot(ahead), encodeSnapshot(session.state))
})

t.test('snapshot before the first record of the log is skipped', async (t) => {
  const at = (standsFor: number): SnapshotRecord => ({ ...createSnapshot(createConfigState()), standsFor })
  t.equal(chooseSnapshot([at(3), at(8), at(5)], 9)?.standsFor, 8)
  t.equal(chooseSnapshot([at(3), at(8), at(5)], 10), undefined)
})

t.test('snapshot in a record covers only earlier offsets', async (t) => {
  const body = createSnapshot(startSession().state)
  t.equal(parseSnapshotRecord({ offset: 2, body })?.standsFor, 1)
  t.equal(parseSnapshotRecord({ offset: 1, body }), undefined)
  t.equal(parseSnapshotRecord({ offset: 2, body: { kind: 'edit' } }), undefined)
})
