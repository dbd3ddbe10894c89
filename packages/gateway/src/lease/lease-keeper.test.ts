import t, { type Test } from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { InstantSource } from './instant.js'
import { LEASE_DURATION_MS, LeaseKeeper } from './lease-keeper.js'
import { HostLog, SharedLog } from '../testing/shared-lease-log.js'
import type { LeaseRecord } from './types.js'

const ORDER_GAP_MS = 3_400

type Host = { keeper: LeaseKeeper, name: string }

class Hosts {
  readonly clock = ManualClock.create()
  readonly log = SharedLog.create()
  /** Hosts that observed the recent restart of another one. */
  readonly seeingRestart = new Set<string>()
  /** Hosts that exchange no reports with the others. */
  readonly silent = new Set<string>()
  /** Hosts that are cut off from runners. */
  readonly cutOff = new Set<string>()
  yields = 0
  readonly #hosts = new Map<string, Host>()

  static create (): Hosts {
    return new Hosts()
  }

  start (name: string, incarnation = name): LeaseKeeper {
    const keeper = LeaseKeeper.create({
      clock: this.clock,
      instants: InstantSource.create(this.clock),
      log: silentLogger,
      leaseLog: HostLog.create(this.log, name),
      host: name,
      incarnation,
      orderGapMs: ORDER_GAP_MS,
      holderIsLive: () => this.#reportingTo(name).some(({ keeper }) => keeper.status().held),
      lastOrderAgoMs: (fencingToken) => this.#lastOrderUnder(name, fencingToken),
      hasRestartedPeer: () => this.seeingRestart.has(name),
      mayClaim: () => !this.#mustYield(name),
      mustYield: () => this.#mustYield(name),
      onYielded: () => { this.yields += 1 },
      era: () => this.log.era
    })
    this.#hosts.set(incarnation, { keeper, name })
    keeper.start()
    return keeper
  }

  #mustYield (name: string): boolean {
    return this.cutOff.has(name) && this.#reportingTo(name).some((other) => !this.cutOff.has(other.name))
  }

  #reportingTo (receiver: string): Host[] {
    if (this.silent.has(receiver)) return []
    return [...this.#hosts.values()].filter(({ name }) => name !== receiver && !this.silent.has(name))
  }

  #lastOrderUnder (receiver: string, fencingToken: number): number | undefined {
    const host = this.#reportingTo(receiver).find(({ keeper }) => keeper.status().fencingToken === fencingToken)
    return host === undefined || host.keeper.status().held ? undefined : host.keeper.status().lastOrderAgoMs
  }
}

t.test('the first host of a new log may give orders at once', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  t.equal(keeper.orderToken(), 1)
})

t.test('exactly one of several hosts holds the lease', async (t) => {
  const hosts = Hosts.create()
  const keepers = ['a', 'b', 'c'].map((name) => hosts.start(name))
  await hosts.clock.advance(20_000)
  t.equal(keepers.filter((keeper) => keeper.orderToken() !== undefined).length, 1)
})

t.test('an expired lease gives no token', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.log.unreachableFrom.add('a')
  await hosts.clock.advance(LEASE_DURATION_MS)
  t.equal(keeper.orderToken(), undefined)
})

t.test('the time of a suspension counts towards the expiry of the lease', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.clock.stepWallClock(LEASE_DURATION_MS)
  t.equal(keeper.orderToken(), undefined)
})

t.test('the successor of a silent holder waits for the expiry of its lease and then for the gap', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  const second = hosts.start('b')
  hosts.silent.add('a')
  hosts.log.unreachableFrom.add('a')
  const cutMs = hosts.clock.monotonicMs()
  let lastOrderMs = cutMs
  while (second.orderToken() === undefined) {
    if (first.orderToken() !== undefined) lastOrderMs = hosts.clock.monotonicMs()
    await hosts.clock.advance(50)
  }
  t.ok(hosts.clock.monotonicMs() - lastOrderMs >= ORDER_GAP_MS)
  t.ok(hosts.clock.monotonicMs() - cutMs < 8_000)
})

t.test('a holder that loses the log gives the lease up, and its report lets a successor skip the wait for expiry', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b')
  hosts.log.unreachableFrom.add('a')
  const cutMs = hosts.clock.monotonicMs()
  while (second.orderToken() === undefined) {
    t.ok(first.orderToken() === undefined || hosts.clock.monotonicMs() - cutMs < LEASE_DURATION_MS)
    await hosts.clock.advance(50)
  }
  const waitedMs = hosts.clock.monotonicMs() - cutMs
  t.ok(waitedMs >= ORDER_GAP_MS)
  t.ok(waitedMs < ORDER_GAP_MS + 800, `waited ${waitedMs} ms`)
})

t.test('a restarted holder may give orders again without a wait', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a', 'a-1')
  await hosts.clock.advance(1_000)
  first.stop()
  hosts.silent.add('a')
  const restarted = hosts.start('a', 'a-2')
  await hosts.clock.advance(1_000)
  t.ok((restarted.orderToken() ?? 0) > 1)
})

t.test('a renewal without an answer does not lose the lease', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.log.losesAnswerOf.add('a')
  await hosts.clock.advance(2_000)
  t.ok(keeper.orderToken())
})

t.test('a holder that finds the claim of another host stops giving orders', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.log.records.push({ kind: 'claim', holder: 'b', incarnation: 'b', fencingToken: 9, ordering: true })
  await hosts.clock.advance(1_000)
  t.equal(keeper.orderToken(), undefined)
})

t.test('a release lets a successor claim the lease at once', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b')
  await first.release()
  await hosts.clock.advance(ORDER_GAP_MS + 1_000)
  t.ok(second.orderToken())
})

t.test('fencing tokens increase with every claim', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(5_000)
  const before = first.orderToken() ?? 0
  const second = hosts.start('b')
  await first.release()
  await hosts.clock.advance(ORDER_GAP_MS + 1_000)
  t.ok((second.orderToken() ?? 0) > before)
})

t.test('a host that restarts during its wait waits again from the start', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b', 'b-1')
  await first.release()
  first.stop()
  await hosts.clock.advance(1_000)
  second.stop()
  hosts.silent.add('a')
  hosts.silent.add('b')
  const restarted = hosts.start('b', 'b-2')
  await hosts.clock.advance(2_000)
  t.equal(restarted.orderToken(), undefined)
  await hosts.clock.advance(3_000)
  t.ok(restarted.orderToken())
})

t.test('a holder that gave no order does not report the last order of its predecessor', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b')
  await first.release()
  await hosts.clock.advance(600)
  t.ok(second.status().held)
  const third = hosts.start('c')
  await second.release()
  await hosts.clock.advance(ORDER_GAP_MS - 700)
  t.equal(third.orderToken(), undefined)
})

t.test('a report on an earlier lease is not applied to the current one', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const record: LeaseRecord = { kind: 'claim', holder: 'b', incarnation: 'b', fencingToken: hosts.log.records.length + 1, ordering: true }
  hosts.log.records.push(record)
  await hosts.clock.advance(1_000)
  t.notOk(first.status().held)
  const third = hosts.start('c')
  await hosts.clock.advance(2_000)
  t.equal(third.orderToken(), undefined)
})

t.test('a holder that releases the lease during its wait hands the rest of the wait to its successor', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const orderedMs = hosts.clock.monotonicMs()
  const second = hosts.start('b')
  await first.release()
  await hosts.clock.advance(1_500)
  t.equal(second.orderToken(), undefined)
  await second.release()
  hosts.silent.add('a')
  hosts.silent.add('b')
  const third = hosts.start('c')
  while (third.orderToken() === undefined) await hosts.clock.advance(50)
  const waitedMs = hosts.clock.monotonicMs() - orderedMs
  t.ok(waitedMs >= ORDER_GAP_MS, `${waitedMs}`)
  t.ok(waitedMs < ORDER_GAP_MS + 1_000, `${waitedMs}`)
})

t.test('a release long after the last order lets a successor give orders at once', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  await hosts.clock.advance(ORDER_GAP_MS)
  await first.release()
  hosts.silent.add('a')
  const second = hosts.start('b')
  await hosts.clock.advance(700)
  t.ok(second.orderToken())
})

t.test('a host lets a recently restarted one claim the lease first', async (t) => {
  for (const restartedHost of ['b', 'c']) {
    const hosts = Hosts.create()
    for (const host of ['b', 'c']) if (host !== restartedHost) hosts.seeingRestart.add(host)
    const first = hosts.start('a')
    await hosts.clock.advance(1_000)
    const others = new Map(['b', 'c'].map((host) => [host, hosts.start(host)]))
    await first.release()
    await hosts.clock.advance(900)
    t.ok(others.get(restartedHost)?.status().held, restartedHost)
  }
})

/** Lets keepers give orders for a while; fails the test if two may at once. */
async function giveOrders (t: Test, hosts: Hosts, keepers: readonly LeaseKeeper[], durationMs: number): Promise<void> {
  const startMs = hosts.clock.monotonicMs()
  while (hosts.clock.monotonicMs() - startMs < durationMs) {
    const ordering = keepers.filter((keeper) => keeper.orderToken() !== undefined)
    t.ok(ordering.length <= 1)
    ordering[0]?.onOrder()
    await hosts.clock.advance(50)
  }
}

t.test('a holder that is cut off from runners leaves the lease to a host that reaches them, which waits for the gap', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  const others = ['b', 'c'].map((name) => hosts.start(name))
  hosts.cutOff.add('a').add('b')
  first.onOrder()
  const lastOrderMs = hosts.clock.monotonicMs()
  const [second, third] = others as [LeaseKeeper, LeaseKeeper]
  await hosts.clock.advance(200)
  t.equal(first.orderToken(), undefined)
  t.notOk(first.holds)
  while (third.orderToken() === undefined && hosts.clock.monotonicMs() < 20_000) {
    t.notOk(first.holds || second.holds)
    await hosts.clock.advance(50)
  }
  const waitedMs = hosts.clock.monotonicMs() - lastOrderMs
  t.ok(waitedMs >= ORDER_GAP_MS && waitedMs < ORDER_GAP_MS + 1_000, `${waitedMs}`)
  hosts.cutOff.clear()
  await giveOrders(t, hosts, [first, second, third], 10_000)
  t.ok(third.holds)
  t.equal(hosts.yields, 1)
})

t.test('a holder keeps the lease while every host is cut off, or while it is alone', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.cutOff.add('a')
  await hosts.clock.advance(3_000)
  t.ok(first.holds)
  hosts.start('b')
  hosts.cutOff.add('b')
  await hosts.clock.advance(3_000)
  t.ok(first.holds)
  t.equal(hosts.yields, 0)
})

t.test('hosts that are cut off in turn never order within the gap of each other', async (t) => {
  const hosts = Hosts.create()
  const names = ['a', 'b', 'c']
  const keepers = names.map((name) => hosts.start(name))
  let previous: LeaseKeeper | undefined
  let lastOrderMs = -Infinity
  for (let step = 0; step < 1_200; step += 1) {
    if (step % 100 === 0) {
      hosts.cutOff.clear()
      hosts.cutOff.add(names[step / 100 % 3] as string)
    }
    const ordering = keepers.filter((keeper) => keeper.orderToken() !== undefined)
    t.ok(ordering.length <= 1)
    const [holder] = ordering
    if (holder !== undefined) {
      const nowMs = hosts.clock.monotonicMs()
      if (previous !== undefined && holder !== previous) t.ok(nowMs - lastOrderMs >= ORDER_GAP_MS, `${nowMs - lastOrderMs}`)
      previous = holder
      lastOrderMs = nowMs
      holder.onOrder()
    }
    await hosts.clock.advance(50)
  }
  t.ok(hosts.yields >= 2)
})

t.test('a release that gets no answer leaves no second holder', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b')
  hosts.log.losesAnswerOf.add('a')
  hosts.cutOff.add('a')
  const orderedMs = hosts.clock.monotonicMs()
  while (second.orderToken() === undefined && hosts.clock.monotonicMs() < 20_000) {
    t.equal(hosts.clock.monotonicMs() - orderedMs > 300 ? first.orderToken() : undefined, undefined)
    await hosts.clock.advance(50)
  }
  t.ok(hosts.clock.monotonicMs() - orderedMs >= ORDER_GAP_MS)
})
