// Guards against runners that fail because all hosts together make them reject too many requests in a second.
import t from 'tap'
import { createBusyFleet, checkRejections, nameLimit } from './testing/checked-rejections.js'

// Simulating several hosts in one process is slow beside other tests.
t.setTimeout(280_000)

for (const rejectionsPerS of [0.5, 1, 2, 5]) {
  for (const load of [0.6, 0.9]) {
    t.test(`6 hosts together cause fewer than ${rejectionsPerS} rejections a second at a load of ${load}`, async (t) => {
      for (const seed of [1, 2]) {
        const fleet = await createBusyFleet(load, { seed })
        const fromMs = nameLimit(fleet, rejectionsPerS)
        await fleet.run(9_000)
        checkRejections(t, fleet, rejectionsPerS, fromMs)
      }
    })
  }
}

for (const hosts of [1, 6]) {
  t.test(`long requests from ${hosts} hosts beyond what the runners can do do not make them fail, and the runners are used`, async (t) => {
    const fleet = await createBusyFleet(1.5, { hosts, slots: 16, queue: 48, meanHoldMs: 1_000 })
    const fromMs = nameLimit(fleet, 2)
    await fleet.run(6_000)
    const use = await fleet.measureUse(8_000)
    checkRejections(t, fleet, 2, fromMs)
    t.ok(use >= 0.75, `${use} of the slots in use`)
  })
}

t.test('requests that the runners can serve are served', async (t) => {
  const fleet = await createBusyFleet(0.5)
  const fromMs = nameLimit(fleet, 3)
  await fleet.run(4_000)
  const before = fleet.results
  fleet.results = { answered: 0, refused: 0, failed: 0 }
  await fleet.run(8_000)
  const { answered, refused, failed } = fleet.results
  checkRejections(t, fleet, 3, fromMs)
  t.equal(before.failed + failed, 0)
  t.ok(refused <= answered * 0.02, `${refused} refused, ${answered} answered`)
})

t.test('when the runners name no limit any more they are in full use again within two seconds', async (t) => {
  const fleet = await createBusyFleet(1.2, { slots: 16, queue: 48, meanHoldMs: 500 })
  nameLimit(fleet, 2)
  await fleet.run(6_000)
  nameLimit(fleet, undefined)
  await fleet.run(2_000)
  const use = await fleet.measureUse(3_000)
  t.ok(use >= 0.95, `${use} of the slots in use`)
  t.equal(fleet.falls, 0)
})

t.test('requests that wait when the queue becomes shorter are few enough', async (t) => {
  for (const seed of [1, 2]) {
    const fleet = await createBusyFleet(1.3, { seed, slots: 8, queue: 40, meanHoldMs: 700 })
    const fromMs = nameLimit(fleet, 2)
    await fleet.run(10_000)
    checkRejections(t, fleet, 2, fromMs)
  }
})

t.test('of runners that reject many requests already when they name a limit few fail', async (t) => {
  for (const seed of [1, 2]) {
    const fleet = await createBusyFleet(1.2, { seed, queue: 8, runners: 10 })
    const fromMs = nameLimit(fleet, 2)
    await fleet.run(10_000)
    t.ok(fleet.falls <= 3, `${fleet.falls} failed`)
    const later = fleet.mostRejections(fromMs + 500)
    t.ok(later < 2, `${later} rejections in a later second`)
  }
})

t.test('without a limit on rejections hosts send each other nothing for it', async (t) => {
  const fleet = await createBusyFleet(0.9)
  let requests = 0
  const { network } = fleet
  const takePermits = network.takePermits.bind(network)
  network.takePermits = (...call) => {
    requests += 1
    return takePermits(...call)
  }
  await fleet.run(5_000)
  t.equal(requests, 0)
  t.ok(fleet.hosts.every(({ network: { limits } }) => limits.rejectionLimitReports() === undefined))
})
