/** Many hosts on a manual clock that send to one runner which may name a limit; counts what reaches it. */
import { ManualClock } from '@figloom/runtime'
import { LimitWord } from '../../forward/types.js'
import { HostNetwork, type NetworkHost } from '../../testing/host-network.js'
import { createRandom } from '../../testing/seeded-random.js'
import { SuspendableClock } from '../../testing/suspendable-clock.js'
import { GateState } from '../../closures/types.js'
import { LIMIT_WINDOW_MS, type Permit } from '../types.js'

const STEP_MS = 50
const SWEEP_MS = 200
/** Longest time until the runner gives the head of an answer. */
const MAX_ANSWER_MS = 400
/** Longest wait of a request for its connection. */
const MAX_CONNECT_MS = 20

export type FleetOptions = {
  hosts: number
  seed: number
  /** Requests a second that callers want to reach the runner, over all hosts. */
  demandPerS: number
  /** Time that a message between hosts takes at the most. */
  maxDelayMs: number
}

export type FleetHost = { network: NetworkHost, clock: SuspendableClock }

const RUNNER = { id: 'runner', startedUnixMs: 1 }

export class LimitedFleet {
  readonly clock = ManualClock.create()
  readonly network = HostNetwork.create(this.clock)
  readonly hosts: FleetHost[] = []
  readonly arrivals: { atMs: number, host: number }[] = []
  /** The limit that the runner names now; undefined: none. */
  limitPerS: number | undefined
  demandPerS: number
  passedOver = 0
  readonly #random: () => number
  #due = 0

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
    host.clock.wake()
    this.network.suspended.delete(this.network.nameOf(host.network))
  }

  /** Lets time pass while callers send. */
  async run (durationMs: number): Promise<void> {
    for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
      this.#due += this.demandPerS * STEP_MS / 1_000
      for (; this.#due >= 1; this.#due -= 1) this.#call(Math.floor(this.#random() * this.hosts.length))
      if (this.clock.monotonicMs() % SWEEP_MS === 0) this.hosts.forEach(({ network }) => network.limits.sweep())
      await this.clock.advance(STEP_MS)
    }
  }

  /** The most requests in any window that ends between the two times. */
  mostWithin (fromMs: number, toMs = Infinity): number {
    const times = this.arrivals.map(({ atMs }) => atMs)
    const counts = times.filter((endMs) => endMs >= fromMs && endMs <= toMs)
      .map((endMs) => times.filter((atMs) => atMs <= endMs && atMs > endMs - LIMIT_WINDOW_MS).length)
    return Math.max(0, ...counts)
  }

  /** Requests that reached the runner between the two times. */
  between (fromMs: number, toMs: number): number {
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length
  }

  #isUp (index: number): boolean {
    const host = this.hosts[index]
    if (host === undefined) return false
    const name = this.network.nameOf(host.network)
    return !this.network.down.has(name) && !this.network.suspended.has(name)
  }

  #call (index: number): void {
    const host = this.hosts[index]
    if (host === undefined || !this.#isUp(index)) return
    const { limits } = host.network
    const { state } = limits.gate(RUNNER)
    if (state === GateState.Closed) this.passedOver += 1
    else if (state === GateState.Open) this.#connect(index, undefined)
    else {
      limits.takePermit(RUNNER).then((permit) => {
        if (permit === undefined) this.passedOver += 1
        else this.#connect(index, permit)
      }, () => { this.passedOver += 1 })
    }
  }

  /** A host that stands still writes the request when it goes on. */
  #connect (index: number, permit: Permit | undefined): void {
    this.hosts[index]?.clock.setTimer(this.#random() * MAX_CONNECT_MS, () => this.#write(index, permit))
  }

  #write (index: number, permit: Permit | undefined): void {
    const host = this.hosts[index]
    if (host === undefined || !this.#isUp(index)) return
    const { network: { limits, clock } } = host
    if (!limits.onSending(RUNNER, permit)) {
      this.passedOver += 1
      return
    }
    this.arrivals.push({ atMs: this.clock.monotonicMs(), host: index })
    const askedMs = clock.monotonicMs()
    const takesMs = this.#random() * MAX_ANSWER_MS
    this.clock.setTimer(takesMs * this.#random(), () => {
      const limit = this.limitPerS
      const word = limit === undefined ? { word: LimitWord.None } : { word: LimitWord.Named, requestsPerS: limit }
      this.clock.setTimer(takesMs, () => limits.onAnswer(RUNNER, word, askedMs))
    })
  }
}
