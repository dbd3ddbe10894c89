import t from 'tap'
import { createEntry } from '../testing/gateway-fixture.js'
import { RunnerList } from './runner-list.js'
import type { RunnerEntry, RunnerListUpdate, RunnerRecord } from './types.js'

const first = createEntry({ id: 'first' })
const second = createEntry({ id: 'second' })
const drained = createEntry({ id: 'first', draining: true })

function record (position: number, entry: RunnerEntry): RunnerRecord {
  return { id: entry.id, position, entry }
}

function left (position: number, id: string): RunnerRecord {
  return { id, position, entry: undefined }
}

/** A list that knows both runners, up to position 10. */
function createList (): RunnerList {
  const list = RunnerList.create()
  list.apply({ to: 10, records: [record(4, first), record(9, second)], ageMs: 0 }, 1_000)
  return list
}

/** Runners in the update for a host that knows no list yet. */
function listed (list: RunnerList): string[] {
  return list.updateSince(undefined, 0)?.records.map(({ id, entry }) => entry?.draining === true ? `${id} drains` : id).sort() ?? []
}

t.test('an overtaken update does not make a draining runner usable again', async (t) => {
  const list = createList()
  list.apply({ since: 10, to: 15, records: [record(14, drained)], ageMs: 0 }, 2_000)
  const overtaken = createEntry({ id: 'first', slots: 4 })
  t.same(list.apply({ since: 10, to: 13, records: [record(12, overtaken)], ageMs: 0 }, 2_100), [])
  t.same(list.apply({ to: 13, records: [record(12, overtaken), record(9, second)], ageMs: 0 }, 2_200), [])
  t.same(listed(list), ['first drains', 'second'])
  t.equal(list.position, 15)
})

t.test('an overtaken update does not restore a runner that left', async (t) => {
  const list = createList()
  list.apply({ since: 10, to: 15, records: [left(14, 'first')], ageMs: 0 }, 2_000)
  list.apply({ to: 13, records: [record(4, first), record(9, second)], ageMs: 0 }, 2_100)
  list.apply({ to: 15, records: [record(9, second)], ageMs: 0 }, 2_200)
  t.same(listed(list), ['second'])
})

t.test('an older update does not remove a runner that returned', async (t) => {
  const list = createList()
  list.apply({ since: 10, to: 20, records: [record(18, first)], ageMs: 0 }, 2_000)
  t.same(list.apply({ since: 10, to: 15, records: [left(14, 'first')], ageMs: 0 }, 2_100), [])
  t.same(listed(list), ['first', 'second'])
})

t.test('an older whole list does not remove a runner that was added later', async (t) => {
  const list = createList()
  list.apply({ since: 10, to: 20, records: [record(18, createEntry({ id: 'third' }))], ageMs: 0 }, 2_000)
  t.same(list.apply({ to: 12, records: [record(4, first), record(9, second)], ageMs: 0 }, 2_100), [])
  t.same(listed(list), ['first', 'second', 'third'])
})

t.test('a newer whole list removes the runners that it lacks', async (t) => {
  const list = createList()
  t.same(list.apply({ to: 30, records: [record(25, second)], ageMs: 0 }, 2_000), [left(29, 'first')])
  t.same(listed(list), ['second'])
})

t.test('records after the end of a whole list are newer than earlier records that are read from that end', async (t) => {
  const list = RunnerList.create()
  list.apply({ to: 10, records: [record(12, drained)], ageMs: 0 }, 1_000)
  t.same(list.apply({ since: 10, to: 12, records: [record(11, first)], ageMs: 0 }, 1_500), [])
  t.same(listed(list), ['first drains'])
})

t.test('an update after a gap is applied but does not advance the position', async (t) => {
  const list = createList()
  t.equal(list.apply({ since: 20, to: 25, records: [record(22, drained)], ageMs: 0 }, 2_000).length, 1)
  t.equal(list.position, 10)
  t.equal(list.asOfMs, 1_000)
})

t.test('the age of the list is that of the newest complete update', async (t) => {
  const list = createList()
  list.apply({ since: 10, to: 12, records: [], ageMs: 300 }, 2_000)
  t.equal(list.asOfMs, 1_700)
  list.apply({ since: 12, to: 14, records: [] }, 2_500)
  t.equal(list.asOfMs, 1_700, 'after a read that did not reach the end')
  list.apply({ since: 10, to: 12, records: [], ageMs: 900 }, 2_500)
  t.equal(list.asOfMs, 1_700)
})

t.test('a heartbeat changes nothing', async (t) => {
  const list = createList()
  t.same(list.apply({ since: 10, to: 12, records: [record(11, first)], ageMs: 0 }, 2_000), [])
  t.same(list.updateSince(10, 2_000)?.records, [])
})

t.test('a host gets the changes after its position, whichever host sent the earlier ones', async (t) => {
  const one = createList()
  const other = createList()
  other.apply({ since: 10, to: 15, records: [record(11, drained), left(14, 'second')], ageMs: 0 }, 2_000)
  one.apply(other.updateSince(one.position, 2_400) as RunnerListUpdate, 5_000)
  t.same(listed(one), ['first drains'])
  t.equal(one.position, 15)
  t.equal(one.asOfMs, 4_600)
})

t.test('an update from a host that is behind changes nothing', async (t) => {
  const behind = createList()
  const ahead = createList()
  ahead.apply({ since: 10, to: 20, records: [record(18, drained)], ageMs: 0 }, 2_000)
  ahead.apply(behind.updateSince(ahead.position, 2_000) as RunnerListUpdate, 2_000)
  t.same(listed(ahead), ['first drains', 'second'])
  t.equal(ahead.position, 20)
})

t.test('a host that missed more than is kept gets the whole list', async (t) => {
  const list = createList()
  for (let position = 10; position < 2_000; position += 2) {
    const entry = createEntry({ id: `r${position}` })
    list.apply({ since: position, to: position + 1, records: [record(position, entry)], ageMs: 0 }, 2_000)
    list.apply({ since: position + 1, to: position + 2, records: [left(position + 1, entry.id)], ageMs: 0 }, 2_000)
  }
  t.equal(list.updateSince(10, 2_000)?.since, undefined)
  t.equal(list.updateSince(1_990, 2_000)?.since, 1_990)
})

t.test('a host that read the whole list sends it to hosts that may know runners which left before', async (t) => {
  const list = RunnerList.create()
  list.apply({ to: 5, records: [record(4, first)], ageMs: 0 }, 1_000)
  list.apply({ to: 12, records: [record(4, first)], ageMs: 0 }, 2_000)
  t.equal(list.updateSince(10, 2_000)?.since, undefined)
  t.equal(list.updateSince(12, 2_000)?.since, 12)
})
