import t from 'tap'
import { checkHeld, checkMost, createFleet, nameLimit } from './testing/checked-fleet.js'
import { LIMIT_WINDOW_MS } from './types.js'

for (const hosts of [1, 6, 7]) {
  for (const limitPerS of [0.1, 1, 1.1, 10, 100]) {
    t.test(`${hosts} hosts keep together to ${limitPerS} a second and use it`, (t) => checkHeld(t, hosts, limitPerS))
  }
}

t.test('a limit that callers do not reach holds nothing back', async (t) => {
  const fleet = await createFleet({ demandPerS: 5 })
  await fleet.run(2_000)
  nameLimit(fleet, 50)
  await fleet.run(10_000)
  t.ok(fleet.passedOver <= 5, `${fleet.passedOver} passed over`)
})

t.test('a limit that falls and rises is followed', async (t) => {
  const fleet = await createFleet({})
  await fleet.run(1_000)
  for (const limitPerS of [5, 1, 10, 2]) {
    const fromMs = nameLimit(fleet, limitPerS)
    await fleet.run(12_000)
    checkMost(t, fleet, limitPerS, fromMs + LIMIT_WINDOW_MS)
    const used = fleet.between(fromMs + LIMIT_WINDOW_MS, Infinity)
    t.ok(used >= limitPerS * 5 * 0.6, `${used} at ${limitPerS} a second`)
  }
})

t.test('when a limit ends the runner is soon in full use, and a new one holds again', async (t) => {
  const fleet = await createFleet({})
  await fleet.run(1_000)
  nameLimit(fleet, 1.1)
  await fleet.run(10_000)
  nameLimit(fleet, undefined)
  await fleet.run(6_000)
  const free = fleet.between(fleet.clock.monotonicMs() - 2_000, Infinity)
  t.ok(free >= 50, `${free} of 60`)
  const fromMs = nameLimit(fleet, 1.1)
  await fleet.run(10_000)
  checkMost(t, fleet, 1.1, fromMs + 1_000)
})

t.test('hosts that are killed, start and stand still change nothing for the sum', async (t) => {
  for (const seed of [1, 2, 3]) {
    const fleet = await createFleet({ hosts: 7, seed })
    await fleet.run(1_000)
    const fromMs = nameLimit(fleet, 2)
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
    checkMost(t, fleet, 2, fromMs)
    const used = fleet.between(fleet.clock.monotonicMs() - 5_000, Infinity)
    t.ok(used >= 5, `${used} in the last five seconds`)
  }
})

t.test('a host that wakes with permits of before does not send on them', async (t) => {
  const fleet = await createFleet({ hosts: 3, demandPerS: 60 })
  await fleet.run(1_000)
  const fromMs = nameLimit(fleet, 10)
  await fleet.run(6_000)
  for (let round = 0; round < 4; round += 1) {
    for (const host of fleet.hosts) {
      fleet.suspend(host)
      await fleet.run(700)
      fleet.wake(host)
      await fleet.run(300)
    }
  }
  checkMost(t, fleet, 10, fromMs)
})

t.test('two halves that lose each other keep to the limit together', async (t) => {
  for (const limitPerS of [1.1, 10]) {
    const fleet = await createFleet({ hosts: 8 })
    await fleet.run(1_000)
    const fromMs = nameLimit(fleet, limitPerS)
    await fleet.run(5_000)
    for (const index of [0, 1, 2, 3]) fleet.network.farSide.add(`h${index}`)
    await fleet.run(12_000)
    fleet.network.farSide.clear()
    await fleet.run(6_000)
    checkMost(t, fleet, limitPerS, fromMs)
  }
})

t.test('word over relays that is a second old is enough', async (t) => {
  const fleet = await createFleet({ hosts: 40, maxDelayMs: 300 })
  await fleet.run(1_000)
  const fromMs = nameLimit(fleet, 2)
  await fleet.run(12_000)
  checkMost(t, fleet, 2, fromMs)
})

t.test('no host is left out when all ask for more', async (t) => {
  const fleet = await createFleet({ hosts: 7, demandPerS: 70 })
  await fleet.run(1_000)
  nameLimit(fleet, 2)
  await fleet.run(5_000)
  const fromMs = fleet.clock.monotonicMs()
  await fleet.run(60_000)
  const served = fleet.hosts.map((_, index) => fleet.arrivals.filter(({ atMs, host }) => host === index && atMs > fromMs).length)
  t.ok(Math.min(...served) >= 4, `${served.join(', ')} of 120`)
})
