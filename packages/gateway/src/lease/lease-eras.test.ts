// Guards against two holders of the lease, and against fencing tokens that fall, when the log comes back from an older copy.
import fc from 'fast-check'
import t from 'tap'
import { ManualClock, silentLogger, type Clock } from '@figloom/runtime'
import { HostLog, SharedLog } from '../testing/shared-lease-log.js'
import { SuspendableClock } from '../testing/suspendable-clock.js'
import { InstantSource } from './instant.js'
import { LeaseKeeper } from './lease-keeper.js'

const ORDER_GAP_MS = 3_400
const STEP_MS = 50

type Order = { host: string, fencingToken: number, atMs: number }

class Hosts {
  readonly clock = ManualClock.create()
  readonly log = SharedLog.create()
  readonly orders: Order[] = []
  readonly #keepers = new Map<string, LeaseKeeper>()
  #starts = 0

  constructor (era = 1) {
    this.log.era = era
  }

  start (name: string, clock: Clock = this.clock): LeaseKeeper {
    this.#starts += 1
    this.#keepers.get(name)?.stop()
    const keeper = LeaseKeeper.create({
      clock,
      instants: InstantSource.create(clock),
      log: silentLogger,
      leaseLog: HostLog.create(this.log, name),
      host: name,
      incarnation: `${name}/${this.#starts}`,
      orderGapMs: ORDER_GAP_MS,
      holderIsLive: () => false,
      lastOrderAgoMs: () => undefined,
      hasRestartedPeer: () => false,
      mayClaim: () => true,
      mustYield: () => false,
      onYielded: () => {},
      // A host that can't reach the log doesn't know its era either.
      era: () => this.#eraAt(name)
    })
    this.#keepers.set(name, keeper)
    keeper.start()
    return keeper
  }

  readonly #knownEras = new Map<string, number>()

  #eraAt (name: string): number {
    if (!this.log.unreachableFrom.has(name)) this.#knownEras.set(name, this.log.era)
    return this.#knownEras.get(name) ?? 0
  }

  /** Each host that may give orders does so. */
  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await this.clock.advance(STEP_MS)
      for (const [host, keeper] of this.#keepers) {
        const fencingToken = keeper.orderToken()
        if (fencingToken === undefined) continue
        keeper.onOrder()
        this.orders.push({ host, fencingToken, atMs: this.clock.monotonicMs() })
      }
    }
  }

  /** Pairs of orders of two hosts that follow each other within the gap. */
  turnsWithinGap (): Order[][] {
    return this.#pairs().filter(([one, other]) => one.host !== other.host && other.atMs - one.atMs < 3_000)
  }

  fallingTokens (): Order[][] {
    return this.#pairs().filter(([one, other]) => other.fencingToken < one.fencingToken)
  }

  #pairs (): [Order, Order][] {
    return this.orders.slice(1).map((order, index) => [this.orders[index] as Order, order])
  }

  lastHolder (): string | undefined {
    return this.orders.at(-1)?.host
  }
}

t.test('tokens rise when the log comes back from an older copy', async (t) => {
  const hosts = new Hosts()
  hosts.start('a')
  await hosts.run(10_000)
  hosts.log.rewind(1)
  await hosts.run(3_000)
  t.ok(hosts.orders.some(({ fencingToken }) => fencingToken > 2 ** 37))
  t.same(hosts.fallingTokens(), [])
})

t.test('the holder goes on within a second, since no other host can hold the lease', async (t) => {
  const hosts = new Hosts()
  hosts.start('a')
  hosts.start('b')
  await hosts.run(10_000)
  const holder = hosts.lastHolder()
  hosts.log.rewind(2)
  const rewoundMs = hosts.clock.monotonicMs()
  await hosts.run(2_000)
  const next = hosts.orders.find(({ atMs, fencingToken }) => atMs > rewoundMs && fencingToken > 2 ** 37)
  t.equal(next?.host, holder)
  t.ok((next?.atMs ?? Infinity) - rewoundMs <= 1_000)
})

const COPIES = {
  'an empty log': () => 0,
  'an older claim of another host': () => 1,
  'an older claim of its own': () => 3,
  'the same records': (length: number) => length
}

for (const [name, lengthOf] of Object.entries(COPIES)) {
  t.test(`no two hosts give orders within the gap after a copy with ${name}`, async (t) => {
    const hosts = new Hosts()
    hosts.start('a')
    await hosts.run(2_000)
    hosts.start('b')
    hosts.log.unreachableFrom.add('a')
    await hosts.run(12_000)
    t.equal(hosts.lastHolder(), 'b')
    hosts.log.unreachableFrom.delete('a')
    hosts.log.rewind(lengthOf(hosts.log.records.length))
    await hosts.run(12_000)
    t.same(hosts.turnsWithinGap(), [])
    t.same(hosts.fallingTokens(), [])
  })
}

t.test('no two hosts give orders within the gap after an empty copy, if the first era is 0', async (t) => {
  const hosts = new Hosts(0)
  hosts.start('a')
  hosts.start('b')
  await hosts.run(10_000)
  const holder = hosts.lastHolder() ?? ''
  hosts.log.unreachableFrom.add(holder)
  hosts.log.rewind(0)
  await hosts.run(12_000)
  t.not(hosts.lastHolder(), holder)
  t.same(hosts.turnsWithinGap(), [])
})

t.test('a host that starts after a rewind waits as if the lost holder still gave orders', async (t) => {
  const hosts = new Hosts()
  hosts.start('a')
  await hosts.run(10_000)
  hosts.log.rewind(0)
  hosts.log.unreachableFrom.add('a')
  hosts.start('b')
  await hosts.run(15_000)
  t.equal(hosts.lastHolder(), 'b')
  t.same(hosts.turnsWithinGap(), [])
})

t.test('a holder that was suspended does not claim at once in the new era, since another one may have held the lease meanwhile', async (t) => {
  const hosts = new Hosts()
  const clock = SuspendableClock.create(hosts.clock)
  hosts.start('a', clock)
  await hosts.run(3_000)
  const length = hosts.log.records.length
  clock.suspend()
  hosts.start('b')
  await hosts.run(9_000)
  t.equal(hosts.lastHolder(), 'b')
  hosts.log.unreachableFrom.add('b')
  hosts.log.rewind(length)
  clock.resume()
  await hosts.run(9_000)
  t.same(hosts.turnsWithinGap(), [])
  t.same(hosts.fallingTokens(), [])
})

t.test('a holder that learns of a new era from other hosts gives no orders until it has proved its lease', async (t) => {
  const hosts = new Hosts()
  const keeper = hosts.start('a')
  await hosts.run(3_000)
  t.ok(keeper.orderToken())
  hosts.log.rewind(0)
  t.equal(keeper.orderToken(), undefined)
})

t.test('a claim in the new era whose answer is lost is taken up by its host', async (t) => {
  const hosts = new Hosts()
  hosts.start('a')
  await hosts.run(5_000)
  hosts.log.losesAnswerOf.add('a')
  hosts.log.rewind(1)
  await hosts.run(8_000)
  t.ok((hosts.orders.at(-1)?.fencingToken ?? 0) > 2 ** 37)
  t.same(hosts.fallingTokens(), [])
})

t.test('over random rewinds, cuts, restarts and lost answers, two hosts never give orders within the gap and tokens never fall', async (t) => {
  const action = fc.record({
    kind: fc.constantFrom('rewind', 'rewind', 'cut', 'heal', 'restart', 'lose answer', 'wait'),
    host: fc.constantFrom('a', 'b', 'c'),
    share: fc.double({ min: 0, max: 1, noNaN: true }),
    waitMs: fc.constantFrom(50, 200, 700, 2_000, 6_000)
  })
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 6, maxLength: 14, size: 'max' }), async (actions) => {
    const hosts = new Hosts()
    for (const name of ['a', 'b', 'c']) hosts.start(name)
    for (const { kind, host, share, waitMs } of actions) {
      if (kind === 'rewind') hosts.log.rewind(Math.floor(share * (hosts.log.records.length + 1)))
      if (kind === 'cut') hosts.log.unreachableFrom.add(host)
      if (kind === 'heal') hosts.log.unreachableFrom.delete(host)
      if (kind === 'restart') hosts.start(host)
      if (kind === 'lose answer') hosts.log.losesAnswerOf.add(host)
      await hosts.run(waitMs)
    }
    hosts.log.unreachableFrom.clear()
    const healedMs = hosts.clock.monotonicMs()
    await hosts.run(12_000)
    t.same(hosts.turnsWithinGap().slice(0, 1), [])
    t.same(hosts.fallingTokens().slice(0, 1), [])
    t.ok(hosts.orders.some(({ atMs }) => atMs > healedMs))
  }), { seed: 36, numRuns: Number(process.env['MODEL_RUNS'] ?? 60) })
})
