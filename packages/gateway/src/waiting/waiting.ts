/** Has requests wait at this host until runners have room for them, and knows which callers were asked to return when. */
import type { Clock, Registry, Timer } from '@figloom/runtime'
import { CustomerUse } from './customer-use.js'
import { createWaitingMetrics, WaitEnd, type WaitingMetrics } from './metrics.js'
import { ReturnSchedule } from './return-schedule.js'
import { RoomQueue, type RoomWaiter } from './room-queue.js'

/** Interval between two looks for room, which reports of other hosts may show. */
const LOOK_MS = 50
/** Requests that wait for room at one host; each keeps its body and its connection. */
const MAX_WAITING = 200

export class Waiting {
  readonly returns = ReturnSchedule.create()
  readonly customers = CustomerUse.create()
  readonly #queue = RoomQueue.create({ maxWaiting: MAX_WAITING, useOf: (customer) => this.customers.relativeTo(customer) })
  readonly #sinceMs = new Map<RoomWaiter, number>()
  readonly #metrics: WaitingMetrics
  #timer: Timer | undefined
  #isRoomDue = false

  private constructor (private readonly clock: Clock, registry: Registry) {
    this.#metrics = createWaitingMetrics(registry, () => this.#queue.size)
  }

  static create (clock: Clock, registry: Registry): Waiting {
    return new Waiting(clock, registry)
  }

  /** False if too many wait that go before this one. */
  join (waiter: RoomWaiter): boolean {
    if (!this.#queue.add(waiter)) return this.#count(WaitEnd.TurnedAway, 0)
    this.#sinceMs.set(waiter, this.clock.monotonicMs())
    this.#timer ??= this.clock.setTimer(LOOK_MS, () => this.#look())
    return true
  }

  isWaiting (waiter: RoomWaiter): boolean {
    return this.#queue.has(waiter)
  }

  leave (waiter: RoomWaiter, end: WaitEnd): void {
    const sinceMs = this.#sinceMs.get(waiter)
    if (sinceMs === undefined) return
    this.#queue.remove(waiter)
    this.#sinceMs.delete(waiter)
    this.#count(end, this.clock.monotonicMs() - sinceMs)
  }

  /** Whether a request that arrives has to wait, as others that go before it wait for the same runners. */
  isBehind (arrival: Pick<RoomWaiter, 'pool' | 'urgency' | 'customer' | 'untilMs'>): boolean {
    return this.#queue.size > 0 && this.#queue.isBehind(arrival)
  }

  /** Number of requests that wait for a pool. */
  waitingFor (pool: string): number {
    return this.#queue.waitingFor(pool)
  }

  /** A request of this host has left its runner: those that wait get its place before any that arrive. */
  onRoom (): void {
    if (this.#queue.size === 0 || this.#isRoomDue) return
    this.#isRoomDue = true
    this.clock.setTimer(0, () => {
      this.#isRoomDue = false
      this.#offer()
    })
  }

  sweep (): void {
    this.returns.sweep(this.clock.monotonicMs())
  }

  #look (): void {
    this.#timer = undefined
    for (const waiter of this.#queue.expired(this.clock.monotonicMs())) {
      this.leave(waiter, WaitEnd.Late)
      waiter.onLate()
    }
    this.#offer()
    if (this.#queue.size > 0) this.#timer ??= this.clock.setTimer(LOOK_MS, () => this.#look())
  }

  /** Tries one request of each pool: where several hosts learn of the same room, each takes one place of it at a time. */
  #offer (): void {
    for (const pool of this.#queue.pools()) this.#queue.first(pool)?.onRoom()
  }

  #count (end: WaitEnd, waitedMs: number): false {
    this.#metrics.waits.inc({ end })
    this.#metrics.waitSeconds.observe(waitedMs / 1_000)
    return false
  }
}
