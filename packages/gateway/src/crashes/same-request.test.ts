// Guards against one request that ends a runner after the other, under ever new ids (issue 39).
import t, { type Test } from 'tap'
import { CONTACT_MS } from '../testing/host-network.js'
import { CrashingFleet, type CallResult } from './testing/crashing-fleet.js'

/** The number of ends, and of later sendings, that the users allow. */
const ALLOWED_ENDS = 3
const ALLOWED_SENDINGS = 3
const RUN_MS = 7_500
const PACE_MS = 50
const DEADLY_EVERY = 5

type Calls = { sound: (count: number) => Promise<CallResult>, deadly: () => Promise<CallResult> }

const sleep = (durationMs: number) => new Promise((resolve) => setTimeout(resolve, durationMs))

async function createFleet (t: Test): Promise<CrashingFleet> {
  const fleet = await CrashingFleet.create({ hosts: 3, runners: 6, isDeadly: ({ target }) => target.endsWith('/deadly') })
  t.teardown(() => fleet.close())
  return fleet
}

/** Sound requests and the deadly one come at an even pace, all at any host. */
async function checkBound (t: Test, fleet: CrashingFleet, { sound, deadly }: Calls): Promise<void> {
  const results: { atMs: number, result: Promise<CallResult> }[] = []
  const deadlyResults: Promise<CallResult>[] = []
  const endMs = performance.now() + RUN_MS
  for (let count = 0; performance.now() < endMs; count += 1) {
    results.push({ atMs: performance.now(), result: sound(count) })
    if (count % DEADLY_EVERY === 0) deadlyResults.push(deadly())
    await sleep(PACE_MS)
  }
  await Promise.all(deadlyResults)
  const ends = fleet.endsMs()
  const boundMs = (ends[ALLOWED_ENDS - 1] ?? Infinity) + CONTACT_MS
  t.comment(`${ends.length} ends, ${fleet.deadlyArrivalsAfter(boundMs)} sendings after the bound`)
  t.ok(ends.length >= ALLOWED_ENDS)
  t.ok(fleet.deadlyArrivalsAfter(boundMs) <= ALLOWED_SENDINGS)
  const late = await Promise.all(results.filter(({ atMs }) => atMs > boundMs).map(({ result }) => result))
  const served = late.filter(({ status, whole }) => status === 200 && whole).length
  t.comment(`${served} of ${late.length} sound requests served after the bound`)
  t.ok(late.length > 0)
  t.ok(served >= late.length * 0.9)
}

t.test('a stream request that ended three runners is sent three times more at most, though sound ones share all its prompt parts', async (t) => {
  const fleet = await createFleet(t)
  await checkBound(t, fleet, {
    sound: (count) => fleet.call(['shared', `session-${count % 3}`]),
    deadly: () => fleet.call(['shared', 'session-1'], '/stream/deadly')
  })
})

t.test('a request without prompt or body that ended three runners is sent three times more at most', async (t) => {
  const fleet = await createFleet(t)
  await checkBound(t, fleet, {
    sound: (count) => fleet.read(`/plain/${count}`),
    deadly: () => fleet.read('/plain/deadly')
  })
})
