import t from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { InstantSource } from './instant.js'
import { LEASE_MS, LeaseKeeper } from './lease-keeper.js'
import { AppendOutcome, LeaseLog, type LeaseRecord, type LeaseTail } from './types.js'

const GAP_MS = 3_400

/** One log that all keepers of a test share. */
class SharedLog {
  readonly records: LeaseRecord[] = []
  /** Hosts that don't reach the log. */
  readonly cut = new Set<string>()
  /** Hosts whose next append takes effect without an answer. */
  readonly unanswered = new Set<string>()

  static create (): SharedLog {
    return new SharedLog()
  }
}

class HostLog extends LeaseLog {
  private constructor (private readonly shared: SharedLog, private readonly host: string) {
    super()
  }

  static create (shared: SharedLog, host: string): HostLog {
    return new HostLog(shared, host)
  }

  override async readTail (): Promise<LeaseTail> {
    if (this.shared.cut.has(this.host)) throw new Error('cut')
    return { end: this.shared.records.length, last: this.shared.records.at(-1) }
  }

  override async append (end: number, record: LeaseRecord): Promise<AppendOutcome> {
    if (this.shared.cut.has(this.host)) return AppendOutcome.Unknown
    if (end !== this.shared.records.length) return AppendOutcome.Conflict
    this.shared.records.push(record)
    return this.shared.unanswered.delete(this.host) ? AppendOutcome.Unknown : AppendOutcome.Appended
  }
}

type Host = { keeper: LeaseKeeper, name: string }

class Hosts {
  readonly clock = ManualClock.create()
  readonly log = SharedLog.create()
  /** Hosts that saw another restart. */
  readonly deferring = new Set<string>()
  /** Hosts that the others don't hear. */
  readonly silent = new Set<string>()
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
      orderGapMs: GAP_MS,
      holderIsLive: () => this.#heard(name).some(({ keeper }) => keeper.describe().held),
      lastOrderUnder: (fencingToken) => this.#lastOrderUnder(name, fencingToken),
      hasRestartedPeer: () => this.deferring.has(name),
      mayHold: () => true
    })
    this.#hosts.set(incarnation, { keeper, name })
    keeper.start()
    return keeper
  }

  #heard (by: string): Host[] {
    if (this.silent.has(by)) return []
    return [...this.#hosts.values()].filter(({ name }) => name !== by && !this.silent.has(name))
  }

  #lastOrderUnder (by: string, fencingToken: number): number | undefined {
    const host = this.#heard(by).find(({ keeper }) => keeper.describe().fencingToken === fencingToken)
    return host === undefined || host.keeper.describe().held ? undefined : host.keeper.describe().lastOrderAgoMs
  }
}

t.test('the first host of a new log may order at once', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  t.equal(keeper.orderToken(), 1)
})

t.test('one of several hosts holds the lease', async (t) => {
  const hosts = Hosts.create()
  const keepers = ['a', 'b', 'c'].map((name) => hosts.start(name))
  await hosts.clock.advance(20_000)
  t.equal(keepers.filter((keeper) => keeper.orderToken() !== undefined).length, 1)
})

t.test('a lease that is not renewed gives no token', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.log.cut.add('a')
  await hosts.clock.advance(LEASE_MS)
  t.equal(keeper.orderToken(), undefined)
})

t.test('a host that was suspended counts the time', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.clock.stepTimeOfDay(LEASE_MS)
  t.equal(keeper.orderToken(), undefined)
})

t.test('a successor of a silent holder waits for its lease and the gap', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  const second = hosts.start('b')
  hosts.silent.add('a')
  hosts.log.cut.add('a')
  const cutMs = hosts.clock.monotonicMs()
  let lastOrderMs = cutMs
  while (second.orderToken() === undefined) {
    if (first.orderToken() !== undefined) lastOrderMs = hosts.clock.monotonicMs()
    await hosts.clock.advance(50)
  }
  t.ok(hosts.clock.monotonicMs() - lastOrderMs >= GAP_MS)
  t.ok(hosts.clock.monotonicMs() - cutMs < 8_000)
})

t.test('a holder cut from the log hands over by its word', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b')
  hosts.log.cut.add('a')
  const cutMs = hosts.clock.monotonicMs()
  while (second.orderToken() === undefined) {
    t.ok(first.orderToken() === undefined || hosts.clock.monotonicMs() - cutMs < LEASE_MS)
    await hosts.clock.advance(50)
  }
  const waitedMs = hosts.clock.monotonicMs() - cutMs
  t.ok(waitedMs >= GAP_MS)
  t.ok(waitedMs < GAP_MS + 800, `waited ${waitedMs} ms`)
})

t.test('a restarted holder goes on without a wait', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a', 'a-1')
  await hosts.clock.advance(1_000)
  first.stop()
  hosts.silent.add('a')
  const again = hosts.start('a', 'a-2')
  await hosts.clock.advance(1_000)
  t.ok((again.orderToken() ?? 0) > 1)
})

t.test('a renewal without an answer does not lose the lease', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.log.unanswered.add('a')
  await hosts.clock.advance(2_000)
  t.ok(keeper.orderToken())
})

t.test('a holder that finds another claim stops ordering', async (t) => {
  const hosts = Hosts.create()
  const keeper = hosts.start('a')
  await hosts.clock.advance(1_000)
  hosts.log.records.push({ kind: 'claim', holder: 'b', incarnation: 'b', fencingToken: 9, ordering: true })
  await hosts.clock.advance(1_000)
  t.equal(keeper.orderToken(), undefined)
})

t.test('a release lets a successor claim at once', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b')
  await first.release()
  await hosts.clock.advance(GAP_MS + 1_000)
  t.ok(second.orderToken())
})

t.test('tokens grow with every claim', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(5_000)
  const before = first.orderToken() ?? 0
  const second = hosts.start('b')
  await first.release()
  await hosts.clock.advance(GAP_MS + 1_000)
  t.ok((second.orderToken() ?? 0) > before)
})

t.test('a host that restarts within its wait waits again', async (t) => {
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
  const again = hosts.start('b', 'b-2')
  await hosts.clock.advance(2_000)
  t.equal(again.orderToken(), undefined)
  await hosts.clock.advance(3_000)
  t.ok(again.orderToken())
})

t.test('a holder that gave no order says nothing of the one before it', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const second = hosts.start('b')
  await first.release()
  await hosts.clock.advance(600)
  t.ok(second.describe().held)
  const third = hosts.start('c')
  await second.release()
  await hosts.clock.advance(GAP_MS - 700)
  t.equal(third.orderToken(), undefined)
})

t.test('word of an earlier lease is not taken for the present one', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  const record: LeaseRecord = { kind: 'claim', holder: 'b', incarnation: 'b', fencingToken: hosts.log.records.length + 1, ordering: true }
  hosts.log.records.push(record)
  await hosts.clock.advance(1_000)
  t.notOk(first.describe().held)
  const third = hosts.start('c')
  await hosts.clock.advance(2_000)
  t.equal(third.orderToken(), undefined)
})

t.test('a holder that leaves within its wait passes on what is left of it', async (t) => {
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
  t.ok(waitedMs >= GAP_MS, `${waitedMs}`)
  t.ok(waitedMs < GAP_MS + 1_000, `${waitedMs}`)
})

t.test('a release long after the last order lets a successor order at once', async (t) => {
  const hosts = Hosts.create()
  const first = hosts.start('a')
  await hosts.clock.advance(1_000)
  first.onOrder()
  await hosts.clock.advance(GAP_MS)
  await first.release()
  hosts.silent.add('a')
  const second = hosts.start('b')
  await hosts.clock.advance(700)
  t.ok(second.orderToken())
})

t.test('a host leaves the lease to one that restarted of late', async (t) => {
  for (const stays of ['b', 'c']) {
    const hosts = Hosts.create()
    for (const host of ['b', 'c']) if (host !== stays) hosts.deferring.add(host)
    const first = hosts.start('a')
    await hosts.clock.advance(1_000)
    const others = new Map(['b', 'c'].map((host) => [host, hosts.start(host)]))
    await first.release()
    await hosts.clock.advance(900)
    t.ok(others.get(stays)?.describe().held, stays)
  }
})
