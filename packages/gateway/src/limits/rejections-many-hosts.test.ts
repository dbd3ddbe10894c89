// Guards against runners that fail because hundreds of hosts, which know each other's load late, overfill them together.
import t from 'tap'
import { checkRejections, createBusyFleet, nameLimit } from './testing/checked-rejections.js'

// Simulating hundreds of hosts in one process is slow.
t.setTimeout(280_000)

/** Number of hosts, the limit that the runners name, the load, and the part of the slots that is used at least. */
const CASES = [[80, 2, 0.6, 0.5], [80, 2, 1.2, 0.7], [80, 5, 1.2, 0.7], [300, 3, 1.2, 0.7]] as const

for (const [hosts, rejectionsPerS, load, leastUse] of CASES) {
  t.test(`${hosts} hosts together cause fewer than ${rejectionsPerS} rejections a second at a load of ${load} and use the runners`, async (t) => {
    const fleet = await createBusyFleet(load, { hosts, slots: 16, queue: 160, meanHoldMs: 1_000 })
    const fromMs = nameLimit(fleet, rejectionsPerS)
    await fleet.run(6_000)
    const use = await fleet.measureUse(5_000)
    checkRejections(t, fleet, rejectionsPerS, fromMs)
    t.ok(use >= leastUse, `${use} of the slots in use`)
  })
}
