// Guards against runners that fail at too many rejections while hosts start, die, stand still or lose each other, and as they come back themselves.
import t from 'tap'
import { createBusyFleet, checkRejections, nameLimit } from './testing/checked-rejections.js'

// Simulating several hosts in one process is slow beside other tests.
t.setTimeout(280_000)

t.test('runners do not fail while hosts are killed, started and suspended', async (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const fleet = await createBusyFleet(0.9, { hosts: 7, seed, slots: 16, queue: 48, meanHoldMs: 600 })
    const [killed, suspended] = fleet.hosts
    if (killed === undefined || suspended === undefined) return t.fail('no hosts')
    const fromMs = nameLimit(fleet, 3)
    await fleet.run(4_000)
    fleet.kill(killed)
    await fleet.run(2_000)
    fleet.start()
    fleet.suspend(suspended)
    await fleet.run(3_000)
    fleet.wake(suspended)
    await fleet.run(4_000)
    fleet.start()
    const use = await fleet.measureUse(6_000)
    checkRejections(t, fleet, 3, fromMs)
    t.ok(use >= 0.6, `${use} of the slots in use`)
  }
})

t.test('runners do not fail while two halves of the hosts do not reach each other', async (t) => {
  for (const seed of [1, 2]) {
    const fleet = await createBusyFleet(0.9, { hosts: 8, seed, slots: 16, queue: 48, meanHoldMs: 600 })
    const fromMs = nameLimit(fleet, 5)
    await fleet.run(4_000)
    for (const index of [0, 1, 2, 3]) fleet.network.partitionedHosts.add(`h${index}`)
    await fleet.run(25_000)
    fleet.network.partitionedHosts.clear()
    await fleet.run(6_000)
    checkRejections(t, fleet, 5, fromMs)
  }
})

t.test('a host that reaches no other host does not make runners fail', async (t) => {
  for (const seed of [1, 2]) {
    const fleet = await createBusyFleet(0.9, { seed, slots: 16, queue: 48, meanHoldMs: 600 })
    const fromMs = nameLimit(fleet, 4)
    await fleet.run(4_000)
    fleet.network.partitionedHosts.add('h1')
    await fleet.run(25_000)
    fleet.network.partitionedHosts.clear()
    await fleet.run(6_000)
    checkRejections(t, fleet, 4, fromMs)
  }
})

t.test('runners that come back as an empty process do not fail again and are soon used', async (t) => {
  for (const seed of [1, 2]) {
    const fleet = await createBusyFleet(0.9, { seed, slots: 16, queue: 48, meanHoldMs: 600 })
    const fromMs = nameLimit(fleet, 2)
    await fleet.run(4_000)
    for (const runner of fleet.runners.slice(0, 4)) runner.restart()
    await fleet.run(9_000)
    const use = await fleet.measureUse(4_000)
    checkRejections(t, fleet, 2, fromMs)
    t.ok(use >= 0.7, `${use} of the slots in use`)
  }
})
