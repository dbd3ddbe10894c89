/** Simulates many hosts on a manual clock that send requests to one runner with an optional limit; records the requests that arrive. */
import { ManualClock } from '@figloom/runtime'
import { LimitSignal } from '../../forward/types.js'
import { HostNetwork, type NetworkHost } from '../../testing/host-network.js'
import { createRandom } from '../../testing/seeded-random.js'
import { SuspendableClock } from '../../testing/suspendable-clock.js'
import { GateState } from '../../gates/types.js'
import { LIMIT_WINDOW_MS, type Permit } from '../types.js'

const STEP_MS = 50
const SWEEP_MS = 200
/** Longest time until the runner returns the head of an answer. */
const MAX_ANSWER_MS = 400
/** Longest time that a request waits for its connection. */
const MAX_CONNECT_MS = 20

export type FleetOptions = {
  hosts: number
  seed: number
  /** Requests a second from callers, over all hosts. */
  demandPerS: number
  /** Longest transit time of a message between hosts. */
  maxDelayMs: number
}

export type FleetHost = { network: NetworkHost, clock: SuspendableClock }

const RUNNER = { id: 'runner', startedUnixMs: 1 }

export class LimitedFleet {
  readonly clock = ManualClock.create()
  readonly network = HostNetwork.create(this.clock)
  readonly hosts: FleetHost[] = []
  readonly arrivals: { atMs: number, host: number }[] = []
  /** The limit that the runner names now; undefined for none. */
  limitPerS: number | undefined
  demandPerS: number
  /** Requests that were not sent to the runner because of its limit. */
  skipped = 0
  readonly #random: () => number
  #pendingRequests = 0

  private constructor (options: FleetOptions) {
    this.#random = createRandom(options.seed)
    this.demandPerS = options.demandPerS
    this.network.random = this.#random
    this.network.delayMs = () => 1 + this.#random() * options.maxDelayMs
    for (let index = 0; index < options.hosts; index += 1) this.start()
  }

  static create (options: FleetOptions): LimitedFleet {
    return new LimitedFleet(options)
  }

  /** Starts another host. */
  start (): FleetHost {
    const clock = SuspendableClock.create(this.clock)
    const host = { network: this.network.start(`h${this.hosts.length}`, ['h0', 'h1', 'h2'], clock), clock }
    this.hosts.push(host)
    return host
  }

  suspend (host: FleetHost): void {
    host.clock.suspend()
    this.network.suspended.add(this.network.nameOf(host.network))
  }

  wake (host: FleetHost): void {
    host.clock.resume()
    this.network.suspended.delete(this.network.nameOf(host.network))
  }

  /** Advances the clock while callers send requests. */
  async run (durationMs: number): Promise<void> {
    for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
      this.#pendingRequests += this.demandPerS * STEP_MS / 1_000
      for (; this.#pendingRequests >= 1; this.#pendingRequests -= 1) this.#handleRequest(Math.floor(this.#random() * this.hosts.length))
      if (this.clock.monotonicMs() % SWEEP_MS === 0) this.hosts.forEach(({ network }) => network.limits.sweep())
      await this.clock.advance(STEP_MS)
    }
  }

  /** The highest number of requests in any window that ends between the two times. */
  maxPerWindow (fromMs: number, toMs = Infinity): number {
    const times = this.arrivals.map(({ atMs }) => atMs)
    const counts = times.filter((endMs) => endMs >= fromMs && endMs <= toMs)
      .map((endMs) => times.filter((atMs) => atMs <= endMs && atMs > endMs - LIMIT_WINDOW_MS).length)
    return Math.max(0, ...counts)
  }

  /** Requests that reached the runner between the two times. */
  arrivalsBetween (fromMs: number, toMs: number): number {
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length
  }

  #isUp (index: number): boolean {
    const host = this.hosts[index]
    if (host === undefined) return false
    const name = this.network.nameOf(host.network)
    return !this.network.down.has(name) && !this.network.suspended.has(name)
  }

  #handleRequest (index: number): void {
    const host = this.hosts[index]
    if (host === undefined || !this.#isUp(index)) return
    const { limits } = host.network
    const { state } = limits.gate(RUNNER)
    if (state === GateState.Closed) this.skipped += 1
    else if (state === GateState.Open) this.#connect(index, undefined)
    else {
      limits.takePermit(RUNNER).then((permit) => {
        if (permit === undefined) this.skipped += 1
        else this.#connect(index, permit)
      }, () => { this.skipped += 1 })
    }
  }

  /** A suspended host writes the request when it resumes. */
  #connect (index: number, permit: Permit | undefined): void {
    this.hosts[index]?.clock.setTimer(this.#random() * MAX_CONNECT_MS, () => this.#write(index, permit))
  }

  #write (index: number, permit: Permit | undefined): void {
    const host = this.hosts[index]
    if (host === undefined || !this.#isUp(index)) return
    const { network: { limits, clock } } = host
    if (!limits.beforeWrite(RUNNER, permit)) {
      this.skipped += 1
      return
    }
    this.arrivals.push({ atMs: this.clock.monotonicMs(), host: index })
    const requestedMs = clock.monotonicMs()
    const answerMs = this.#random() * MAX_ANSWER_MS
    this.clock.setTimer(answerMs * this.#random(), () => {
      const limit = this.limitPerS
      const signal = limit === undefined ? { signal: LimitSignal.None } : { signal: LimitSignal.Named, requestsPerS: limit }
      this.clock.setTimer(answerMs, () => limits.onAnswer(RUNNER, signal, requestedMs))
    })
  }
}
