import t from 'tap'
import { ChangeList } from '../members/change-list.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { RelayedRunners } from './relayed-runners.js'
import type { RunnerEntry } from './types.js'

/** A relay's list, as it would be sent to a host that has what `runners` has. */
function createRelay (name: string, runners: RelayedRunners) {
  const list = ChangeList.create<RunnerEntry>({ listId: name, keyOf: ({ id }) => id, isSame: (one, other) => one === other })
  return (entries: RunnerEntry[], readMs: number) => {
    list.update(entries)
    return runners.hear({ relay: name, update: list.changesSince(runners.seen(name)), readMs })
  }
}

const first = createEntry({ id: 'first' })
const second = createEntry({ id: 'second' })
const drained = createEntry({ id: 'first', draining: true })

t.test('the whole list comes first, then changes alone', async (t) => {
  const runners = RelayedRunners.create()
  const tell = createRelay('relay', runners)
  t.match(tell([first, second], 100), { entries: [first, second], complete: true })
  t.match(tell([drained, second], 200), { entries: [drained], removed: [], complete: false })
  t.match(tell([drained], 300), { entries: [], removed: ['second'], complete: false })
})

t.test('a list that was read before what is known is passed over', async (t) => {
  const runners = RelayedRunners.create()
  const early = createRelay('early', runners)
  const late = createRelay('late', runners)
  late([drained], 1_000)
  t.equal(early([first], 800), undefined)
  t.match(early([drained, second], 1_100), { entries: [drained, second], complete: true })
})

t.test('a list that was read before this host read it itself is passed over', async (t) => {
  const runners = RelayedRunners.create()
  const tell = createRelay('relay', runners)
  tell([first], 100)
  runners.onOwnRead(500)
  t.equal(tell([first], 400), undefined)
  t.match(tell([drained], 600), { entries: [drained], complete: true })
})

t.test('what is known is as old as the read it comes from', async (t) => {
  const runners = RelayedRunners.create()
  const tell = createRelay('relay', runners)
  t.equal(runners.ageMs(0), Infinity)
  tell([first], 100)
  t.equal(runners.ageMs(400), 300)
  runners.onOwnRead(350)
  t.equal(runners.ageMs(400), 50)
})

t.test('a word that was overtaken does not bring back a draining runner', async (t) => {
  const runners = RelayedRunners.create()
  const list = ChangeList.create<RunnerEntry>({ listId: 'relay', keyOf: ({ id }) => id, isSame: (one, other) => one === other })
  list.update([first, second])
  runners.hear({ relay: 'relay', update: list.changesSince(undefined), readMs: 100 })
  const before = runners.seen('relay')
  list.update([createEntry({ id: 'first', slots: 4 }), second])
  const overtaken = list.changesSince(before)
  list.update([drained, second])
  runners.hear({ relay: 'relay', update: list.changesSince(before), readMs: 300 })
  const change = runners.hear({ relay: 'relay', update: overtaken, readMs: 200 })
  t.notOk(change?.entries.some(({ id, draining }) => id === 'first' && !draining))
})
