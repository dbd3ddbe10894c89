// Guards against requests that end one runner after the other, each time sent on to the next (incident 35).
import t from 'tap'
import { CONTACT_MS } from '../testing/host-network.js'
import { CrashingFleet, type CallResult } from './testing/crashing-fleet.js'

/** The number of ends, and of later sendings, that the users allow. */
const ALLOWED_ENDS = 5
const ALLOWED_SENDINGS = 3
const RUN_MS = 7_500
const PACE_MS = 50

const sleep = (durationMs: number) => new Promise((resolve) => setTimeout(resolve, durationMs))

t.test('requests with a part that ended five runners are sent three times more at most, and sound ones are served', async (t) => {
  const fleet = await CrashingFleet.create({ hosts: 3, runners: 6, isDeadly: ({ promptParts }) => promptParts.includes('deadly') })
  t.teardown(() => fleet.close())
  const sound: { atMs: number, result: Promise<CallResult> }[] = []
  const deadly: Promise<CallResult>[] = []
  const endMs = performance.now() + RUN_MS
  for (let count = 0; performance.now() < endMs; count += 1) {
    sound.push({ atMs: performance.now(), result: fleet.call(['shared', `session-${count % 7}`]) })
    if (count % 3 === 0) deadly.push(fleet.call(['shared', 'session-1', 'deadly']))
    await sleep(PACE_MS)
  }
  await Promise.all(deadly)
  const ends = fleet.endsMs()
  const boundMs = (ends[ALLOWED_ENDS - 1] ?? ends.at(-1) ?? 0) + CONTACT_MS
  t.comment(`${ends.length} ends, ${fleet.deadlyArrivalsAfter(boundMs)} sendings after the bound`)
  t.ok(fleet.deadlyArrivalsAfter(boundMs) <= ALLOWED_SENDINGS)
  const late = await Promise.all(sound.filter(({ atMs }) => atMs > boundMs).map(({ result }) => result))
  const served = late.filter(({ status, whole }) => status === 200 && whole).length
  t.comment(`${served} of ${late.length} sound requests served after the bound`)
  t.ok(late.length > 0)
  t.ok(served >= late.length / 2)
})
