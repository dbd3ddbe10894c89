import t from 'tap'
import { checkLimitIsSharedAndUsed, checkUpperBound, createFleet, setLimit } from './testing/checked-fleet.js'
import { LIMIT_WINDOW_MS } from './types.js'

for (const hosts of [1, 6, 7]) {
  for (const limitPerS of [0.1, 1, 1.1, 10, 100]) {
    t.test(`${hosts} hosts together respect a limit of ${limitPerS} a second and use it`, (t) => checkLimitIsSharedAndUsed(t, hosts, limitPerS))
  }
}

t.test('a limit that callers do not reach holds no requests back', async (t) => {
  const fleet = await createFleet({ demandPerS: 5 })
  await fleet.run(2_000)
  setLimit(fleet, 50)
  await fleet.run(10_000)
  t.ok(fleet.skipped <= 5, `${fleet.skipped} requests skipped`)
})

t.test('hosts follow a limit that falls and rises', async (t) => {
  const fleet = await createFleet({})
  await fleet.run(1_000)
  for (const limitPerS of [5, 1, 10, 2]) {
    const fromMs = setLimit(fleet, limitPerS)
    await fleet.run(12_000)
    checkUpperBound(t, fleet, limitPerS, fromMs + LIMIT_WINDOW_MS)
    const used = fleet.arrivalsBetween(fromMs + LIMIT_WINDOW_MS, Infinity)
    t.ok(used >= limitPerS * 5 * 0.6, `${used} at ${limitPerS} a second`)
  }
})

t.test('when a limit ends the runner is soon fully used, and a new limit is enforced again', async (t) => {
  const fleet = await createFleet({})
  await fleet.run(1_000)
  setLimit(fleet, 1.1)
  await fleet.run(10_000)
  setLimit(fleet, undefined)
  await fleet.run(6_000)
  const unlimited = fleet.arrivalsBetween(fleet.clock.monotonicMs() - 2_000, Infinity)
  t.ok(unlimited >= 50, `${unlimited} of 60`)
  const fromMs = setLimit(fleet, 1.1)
  await fleet.run(10_000)
  checkUpperBound(t, fleet, 1.1, fromMs + 1_000)
})

t.test('the limit is respected while hosts are killed, started and suspended', async (t) => {
  for (const seed of [1, 2, 3]) {
    const fleet = await createFleet({ hosts: 7, seed })
    await fleet.run(1_000)
    const fromMs = setLimit(fleet, 2)
    await fleet.run(5_000)
    const [killed, stopped] = fleet.hosts
    if (killed === undefined || stopped === undefined) return t.fail('no hosts')
    fleet.network.kill(killed.network)
    await fleet.run(3_000)
    fleet.suspend(stopped)
    fleet.start()
    await fleet.run(5_000)
    fleet.wake(stopped)
    await fleet.run(8_000)
    checkUpperBound(t, fleet, 2, fromMs)
    const used = fleet.arrivalsBetween(fleet.clock.monotonicMs() - 5_000, Infinity)
    t.ok(used >= 5, `${used} in the last five seconds`)
  }
})

t.test('a host that resumes does not use permits from before its suspension', async (t) => {
  const fleet = await createFleet({ hosts: 3, demandPerS: 60 })
  await fleet.run(1_000)
  const fromMs = setLimit(fleet, 10)
  await fleet.run(6_000)
  for (let round = 0; round < 4; round += 1) {
    for (const host of fleet.hosts) {
      fleet.suspend(host)
      await fleet.run(700)
      fleet.wake(host)
      await fleet.run(300)
    }
  }
  checkUpperBound(t, fleet, 10, fromMs)
})

t.test('both sides of a network partition together respect the limit', async (t) => {
  for (const limitPerS of [1.1, 10]) {
    const fleet = await createFleet({ hosts: 8 })
    await fleet.run(1_000)
    const fromMs = setLimit(fleet, limitPerS)
    await fleet.run(5_000)
    for (const index of [0, 1, 2, 3]) fleet.network.partitionedHosts.add(`h${index}`)
    await fleet.run(12_000)
    fleet.network.partitionedHosts.clear()
    await fleet.run(6_000)
    checkUpperBound(t, fleet, limitPerS, fromMs)
  }
})

t.test('reports that are a second old after passing through relays are fresh enough', async (t) => {
  const fleet = await createFleet({ hosts: 40, maxDelayMs: 300 })
  await fleet.run(1_000)
  const fromMs = setLimit(fleet, 2)
  await fleet.run(12_000)
  checkUpperBound(t, fleet, 2, fromMs)
})

t.test('every host gets permits when all request more than there are', async (t) => {
  const fleet = await createFleet({ hosts: 7, demandPerS: 70 })
  await fleet.run(1_000)
  setLimit(fleet, 2)
  await fleet.run(5_000)
  const fromMs = fleet.clock.monotonicMs()
  await fleet.run(60_000)
  const served = fleet.hosts.map((_, index) => fleet.arrivals.filter(({ atMs, host }) => host === index && atMs > fromMs).length)
  t.ok(Math.min(...served) >= 4, `${served.join(', ')} of 120`)
})
