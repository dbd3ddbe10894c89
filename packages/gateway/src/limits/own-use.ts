/**
 * What this host has at runners that fail if they reject too many requests, for its statements to their allocators. Times are
 * milliseconds of a clock that also counts suspensions.
 */
import type { RunnerUse } from './types.js'

/** A runner may still work for this long on a request that ended without its whole answer. */
const LINGER_MS = 500
/** A statement is repeated before the allocator forgets it. */
const REPEAT_MS = 1_000
/** Allocators forget a runner's statements sooner, so that numbers may start anew. */
const KEEP_MS = 30_000

class RunnerUseCounter {
  number = 0
  rejected = 0
  stated: { inFlight: number, atMs: number } | undefined
  #lingeringUntilMs: number[] = []

  onUnanswered (nowMs: number): void {
    this.#lingeringUntilMs.push(nowMs + LINGER_MS)
  }

  lingering (nowMs: number): number {
    this.#lingeringUntilMs = this.#lingeringUntilMs.filter((untilMs) => untilMs > nowMs)
    return this.#lingeringUntilMs.length
  }
}

export class OwnUse {
  readonly #counters = new Map<string, RunnerUseCounter>()

  private constructor (private readonly incarnation: string, private readonly inFlight: (runnerId: string) => number) {}

  /** @param inFlight requests of this host at a runner */
  static create (incarnation: string, inFlight: (runnerId: string) => number): OwnUse {
    return new OwnUse(incarnation, inFlight)
  }

  onRejected (runnerId: string): void {
    this.#counterOf(runnerId).rejected += 1
  }

  /** A request ended without its whole answer. */
  onUnanswered (runnerId: string, nowMs: number): void {
    this.#counterOf(runnerId).onUnanswered(nowMs)
  }

  /** The next statement to a runner's allocator. */
  next (runnerId: string, nowMs: number): RunnerUse {
    const counter = this.#counterOf(runnerId)
    counter.number += 1
    const inFlight = this.#current(runnerId, counter, nowMs)
    counter.stated = { inFlight, atMs: nowMs }
    return { incarnation: this.incarnation, number: counter.number, inFlight, rejected: counter.rejected }
  }

  /** The allocator answered a statement. */
  onStated (runnerId: string, { rejected }: RunnerUse): void {
    this.#counterOf(runnerId).rejected -= rejected
  }

  /** Whether the allocator needs a new statement. */
  isDue (runnerId: string, nowMs: number): boolean {
    const counter = this.#counterOf(runnerId)
    const inFlight = this.#current(runnerId, counter, nowMs)
    const { stated } = counter
    if (counter.rejected > 0 || inFlight !== (stated?.inFlight ?? 0)) return true
    return inFlight > 0 && stated !== undefined && nowMs - stated.atMs >= REPEAT_MS
  }

  /** Drops what is no longer needed for any statement. */
  retain (isNeeded: (runnerId: string) => boolean, nowMs: number): void {
    for (const [id, { stated }] of this.#counters) {
      if (!isNeeded(id) && nowMs - (stated?.atMs ?? -Infinity) > KEEP_MS) this.#counters.delete(id)
    }
  }

  #current (runnerId: string, counter: RunnerUseCounter, nowMs: number): number {
    return this.inFlight(runnerId) + counter.lingering(nowMs)
  }

  #counterOf (runnerId: string): RunnerUseCounter {
    const known = this.#counters.get(runnerId)
    if (known !== undefined) return known
    const counter = new RunnerUseCounter()
    this.#counters.set(runnerId, counter)
    return counter
  }
}
