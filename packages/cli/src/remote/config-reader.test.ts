import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { MemoryLog } from '@figloom/standin'
import { createSnapshot, type RowChange } from '@figloom/tables'
import { readConfig, catchUp } from './config-reader.js'

const RETENTION_MS = 1000

function pool (name: string, moveWeight = 0): RowChange {
  return { row: 'pool', pool: name, value: { name, region: 'r', moveWeight } }
}

/** A log with limited retention, and a function that appends an edit of one pool. */
function setUp () {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock, retentionMs: RETENTION_MS })
  const edit = async (editId: string, baseOffset: number, change: RowChange) => {
    await log.append('config', editId, { kind: 'edit', ruleVersion: 1, editId, author: 'ana', baseOffset, changes: [change] })
  }
  return { clock, log, edit, read: (baseOffset?: number) => readConfig(log, 'config', baseOffset) }
}

t.test('a complete stream, with the state at a base offset', async (t) => {
  const { edit, read } = setUp()
  t.equal((await read())._unsafeUnwrap().state.version, 0)
  await edit('a', 0, pool('p'))
  await edit('b', 1, pool('q'))
  const view = (await read(1))._unsafeUnwrap()
  t.match(view, { state: { offset: 2, version: 2 }, atBase: { version: 1 } })
})

t.test('a truncated stream is read from its newest usable snapshot', async (t) => {
  const { clock, log, edit, read } = setUp()
  await edit('a', 0, pool('p'))
  const early = createSnapshot((await read())._unsafeUnwrap().state)
  await clock.advance(800)
  await edit('b', 1, pool('q'))
  await log.append('config', 's1', early)
  await log.append('config', 's2', createSnapshot((await read())._unsafeUnwrap().state))
  await edit('c', 4, pool('p', 1))
  await clock.advance(400)
  t.match((await read())._unsafeUnwrap(), { state: { offset: 5, version: 5 }, atBase: undefined })
  t.match((await read(2))._unsafeUnwrap(), { state: { offset: 5 }, atBase: { offset: 2, version: 2 } })
  t.match((await read(1))._unsafeUnwrap(), { state: { offset: 5 }, atBase: { offset: 1, version: 1 } })
  t.equal((await read(0))._unsafeUnwrap().atBase, undefined)
})

t.test('a truncated stream without a snapshot fails', async (t) => {
  const { clock, edit, read } = setUp()
  await edit('a', 0, pool('p'))
  await clock.advance(1200)
  t.match((await read())._unsafeUnwrapErr(), { code: { type: 'log_truncated' } })
})

t.test('a record of a newer rule version fails', async (t) => {
  const { log, edit, read } = setUp()
  await edit('a', 0, pool('p'))
  const { state } = (await read())._unsafeUnwrap()
  await log.append('config', 'n', { kind: 'edit', ruleVersion: 2 })
  t.match((await read())._unsafeUnwrapErr(), { code: { type: 'peer_version' } })
  t.match((await catchUp(log, 'config', state))._unsafeUnwrapErr(), { code: { type: 'peer_version' } })
})

t.test('catching up from a known state', async (t) => {
  const { clock, edit, log, read } = setUp()
  await edit('a', 0, pool('p'))
  const { state } = (await read())._unsafeUnwrap()
  await edit('b', 1, pool('q'))
  t.match((await catchUp(log, 'config', state))._unsafeUnwrap(), { offset: 2, version: 2 })
  await clock.advance(1200)
  t.match((await catchUp(log, 'config', state))._unsafeUnwrapErr(), { code: { type: 'log_truncated' } })
})
