// Guards against permits for more requests than fit into a runner that fails if it rejects too many.
import t from 'tap'
import { RunnerRoom, type RoomOptions } from './runner-room.js'

const OPTIONS: RoomOptions = { slots: 10, rejectionsPerS: 3, reportedInFlight: 0, share: 1, random: () => 0.5 }
/** A new allocator knows what all hosts have after this time. */
const TAKEOVER_MS = 2_000
const CAPACITY = 9

/** A room whose allocator has known all hosts for a while. */
function createRoom () {
  const room = RunnerRoom.create(1, 0)
  let number = 0
  const state = (nowMs: number, inFlight: number, rejected = 0, incarnation = 'a') => {
    number += 1
    return room.state({ incarnation, number, inFlight, rejected }, nowMs)
  }
  const take = (wanted: number, nowMs: number, options = OPTIONS, incarnation = 'a') => {
    const granted = room.admit(wanted, options, nowMs)
    room.take(incarnation, granted, options, nowMs)
    return granted
  }
  for (let nowMs = 0; nowMs <= TAKEOVER_MS; nowMs += 500) state(nowMs, 0)
  return { room, state, take }
}

/** Grants one permit after the other until the runner is filled. */
function fill (take: (wanted: number, nowMs: number) => number, fromMs: number): number {
  let granted = 0
  for (let nowMs = fromMs; nowMs < fromMs + 3_000; nowMs += 200) granted += take(10, nowMs)
  return granted
}

t.test('no more permits are granted than fit into the slots', async (t) => {
  const { take } = createRoom()
  t.equal(fill(take, TAKEOVER_MS), CAPACITY)
})

t.test('what one host has at the runner is not granted to another', async (t) => {
  const { state, take } = createRoom()
  state(TAKEOVER_MS, 6, 0, 'b')
  t.equal(fill(take, TAKEOVER_MS), CAPACITY - 6)
})

t.test('above half of the slots permits are granted few at a time until the runner has taken as many', async (t) => {
  const { state, take } = createRoom()
  t.equal(take(10, TAKEOVER_MS), 6)
  t.equal(take(10, TAKEOVER_MS + 50), 0)
  t.equal(take(10, TAKEOVER_MS + 200), 1)
  t.equal(take(10, TAKEOVER_MS + 400), 1)
  state(TAKEOVER_MS + 500, 0)
  t.equal(take(10, TAKEOVER_MS + 500), 8, 'as many as it had')
})

t.test('after a rejection there are no permits for a while, longer each time, and then one at a time', async (t) => {
  const { state, take } = createRoom()
  state(TAKEOVER_MS, 4, 1)
  t.equal(take(5, TAKEOVER_MS + 900), 0)
  t.equal(take(5, TAKEOVER_MS + 1_100), 1)
  state(TAKEOVER_MS + 1_200, 1, 1)
  t.equal(take(5, TAKEOVER_MS + 2_900), 0)
  t.equal(take(5, TAKEOVER_MS + 3_300), 1)
})

t.test('a runner that fails at any rejection is filled to half of its slots', async (t) => {
  const { take } = createRoom()
  t.equal(fill((wanted, nowMs) => take(wanted, nowMs, { ...OPTIONS, rejectionsPerS: 0.5 }), TAKEOVER_MS), 5)
})

t.test('a new allocator counts what the hosts report until they have stated it', async (t) => {
  const room = RunnerRoom.create(1, 0)
  room.state({ incarnation: 'a', number: 1, inFlight: 1, rejected: 0 }, 0)
  t.equal(room.admit(10, { ...OPTIONS, reportedInFlight: CAPACITY }, 0), 0)
  t.equal(room.admit(10, OPTIONS, 0), 1)
})

t.test('a host that reaches only some of the others allocates a part of the runner', async (t) => {
  const { take } = createRoom()
  t.equal(fill((wanted, nowMs) => take(wanted, nowMs, { ...OPTIONS, share: 0.25 }), TAKEOVER_MS), 2)
})

t.test('a statement that a later one has overtaken is ignored', async (t) => {
  const { room } = createRoom()
  t.ok(room.state({ incarnation: 'c', number: 5, inFlight: 3, rejected: 0 }, TAKEOVER_MS))
  t.notOk(room.state({ incarnation: 'c', number: 4, inFlight: 0, rejected: 0 }, TAKEOVER_MS))
})

t.test('what a host had is forgotten some seconds after its last statement', async (t) => {
  const { state, take } = createRoom()
  state(TAKEOVER_MS, CAPACITY, 0, 'b')
  t.equal(take(1, TAKEOVER_MS + 1_000), 0)
  state(TAKEOVER_MS + 2_000, 0)
  state(TAKEOVER_MS + 4_000, 0)
  t.equal(take(1, TAKEOVER_MS + 4_200), 1)
})
