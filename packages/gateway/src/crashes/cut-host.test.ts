// Guards against whole hosts that refuse streams at sound runners because one host lost its links to them (issue 43).
import t from 'tap'
import { CrashingFleet } from './testing/crashing-fleet.js'

const RUN_MS = 1_500
const PACE_MS = 25
const KNOWN_WITHIN_MS = 1_000

const sleep = (durationMs: number) => new Promise((resolve) => setTimeout(resolve, durationMs))

t.test('while one host meets resets and refusals at all runners, the others serve all streams and it reports no end', async (t) => {
  const fleet = await CrashingFleet.create({ hosts: 3, runners: 4, isDeadly: () => false })
  t.teardown(() => fleet.close())
  await fleet.meet()
  const calls = []
  const lost = []
  const endMs = performance.now() + RUN_MS
  for (let count = 0; performance.now() < endMs; count += 1) {
    lost.push(fleet.callAt(0, [`begun-${count}`]))
    calls.push(fleet.callAt(1 + count % 2, [`session-${count}`]))
    await sleep(PACE_MS)
    fleet.loseLinks(0)
  }
  await Promise.all(lost)
  t.same((await Promise.all(calls)).filter(({ status, whole }) => status !== 200 || !whole), [])
  t.equal(await fleet.countOf(0, 'figloom_gateway_runner_ends_total'), 0)
  t.ok(await fleet.countOf(0, 'figloom_gateway_unconfirmed_runner_ends_total') > 0)
})

t.test('an end of a process is confirmed over the protocol between hosts', async (t) => {
  const fleet = await CrashingFleet.create({ hosts: 3, runners: 4, isDeadly: ({ promptParts }) => promptParts.includes('deadly') })
  t.teardown(() => fleet.close())
  await fleet.meet()
  await fleet.callAt(0, ['deadly'])
  const atMs = performance.now()
  while (await fleet.countOf(0, 'figloom_gateway_runner_ends_total') === 0 && performance.now() < atMs + KNOWN_WITHIN_MS) await sleep(PACE_MS)
  t.ok(await fleet.countOf(0, 'figloom_gateway_runner_ends_total') > 0)
})
