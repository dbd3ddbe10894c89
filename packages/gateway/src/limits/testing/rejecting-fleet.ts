/** Simulates many hosts on a manual clock that send callers' requests to the runners of a service, which fail if they reject too many. */
import { ManualClock } from '@figloom/runtime'
import { findCandidates, type RequestRequirements } from '../../choose/candidates.js'
import { chooseRunner } from '../../choose/choose-runner.js'
import type { Service } from '../../config/types.js'
import { LimitSignal } from '../../forward/types.js'
import { createEntry } from '../../testing/gateway-fixture.js'
import { HostNetwork, type NetworkHost } from '../../testing/host-network.js'
import { createRandom } from '../../testing/seeded-random.js'
import { SuspendableClock } from '../../testing/suspendable-clock.js'
import type { Permit } from '../types.js'
import { ArrivalOutcome, RejectingRunner, type RejectingRunnerOptions, type Departure } from './rejecting-runner.js'

const STEP_MS = 10
const SWEEP_MS = 200
/** The hosts' lists of runners follow their state after this time. */
const LIST_MS = 600
/** Longest time that a request waits for its connection, and that an answer takes. */
const MAX_TRANSIT_MS = 5
const MAX_ATTEMPTS = 3
/** Hosts are in direct contact up to this number; beyond, their knowledge of each other's load is older. */
const MAX_DIRECT_HOSTS = 8
const SERVICE: Service = { name: 'plain', maxConnections: 100_000 }
const TARGET_MS = 1_000

export type RejectingFleetOptions = Omit<RejectingRunnerOptions, 'id' | 'holdMs'> & {
  hosts: number
  runners: number
  seed: number
  /** Requests a second from callers, over all hosts. */
  demandPerS: number
  /** Mean time that a runner works on a request. */
  meanHoldMs: number
  /** Longest transit time of a message between hosts. */
  maxDelayMs: number
}

export type FleetHost = { network: NetworkHost, clock: SuspendableClock }

/** What became of callers' requests. */
export type Results = { answered: number, refused: number, failed: number }

export class RejectingFleet {
  readonly clock = ManualClock.create()
  readonly network = HostNetwork.create(this.clock)
  readonly hosts: FleetHost[] = []
  readonly runners: RejectingRunner[] = []
  results: Results = { answered: 0, refused: 0, failed: 0 }
  demandPerS: number
  /** Functions that take back each host's requests. */
  readonly #atRunners = new Map<FleetHost, (() => void)[]>()
  readonly #random: () => number
  #pendingRequests = 0

  private constructor (private readonly options: RejectingFleetOptions) {
    this.#random = createRandom(options.seed)
    this.demandPerS = options.demandPerS
    this.network.random = this.#random
    this.network.delayMs = () => 1 + this.#random() * options.maxDelayMs
    const { slots, queue, shrunkQueue, meanHoldMs } = options
    const holdMs = () => meanHoldMs * (0.3 + this.#random() * 1.4)
    for (let index = 0; index < options.runners; index += 1) {
      this.runners.push(RejectingRunner.create({ id: `r${index}`, slots, queue, shrunkQueue, holdMs }, this.clock))
    }
    for (let index = 0; index < options.hosts; index += 1) this.start()
  }

  static create (options: RejectingFleetOptions): RejectingFleet {
    return new RejectingFleet(options)
  }

  /** Starts another host. */
  start (): FleetHost {
    const clock = SuspendableClock.create(this.clock)
    const host = { network: this.network.start(`h${this.hosts.length}`, ['h0', 'h1', 'h2'], clock), clock }
    this.hosts.push(host)
    this.#list(host)
    return host
  }

  /** All runners name this limit from now on. */
  name (rejectionsPerS: number | undefined): void {
    for (const runner of this.runners) runner.name(rejectionsPerS)
  }

  /** Advances the clock while callers send requests. */
  async run (durationMs: number): Promise<void> {
    for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
      const nowMs = this.clock.monotonicMs()
      this.#pendingRequests += this.demandPerS * STEP_MS / 1_000
      for (; this.#pendingRequests >= 1; this.#pendingRequests -= 1) this.#onCaller()
      if (nowMs % SWEEP_MS === 0) this.hosts.forEach(({ network }) => network.limits.sweep())
      if (nowMs % LIST_MS === 0) this.hosts.forEach((host) => this.#list(host))
      if (nowMs % (STEP_MS * 5) === 0) this.hosts.forEach((host) => this.#report(host))
      await this.clock.advance(STEP_MS)
    }
  }

  get falls (): number {
    return this.runners.reduce((sum, { fallsMs }) => sum + fallsMs.length, 0)
  }

  mostRejections (fromMs = 0, toMs = Infinity): number {
    return Math.max(...this.runners.map((runner) => runner.mostRejections(fromMs, toMs)))
  }

  /** Part of the slots of all runners that was in use in a run of this length. */
  async measureUse (durationMs: number): Promise<number> {
    const before = this.#busyMs()
    await this.run(durationMs)
    return (this.#busyMs() - before) / (durationMs * this.runners.length * this.options.slots)
  }

  #busyMs (): number {
    return this.runners.reduce((sum, { busyMs }) => sum + busyMs, 0)
  }

  /** The host's list shows runners that are up; one that fell is gone. */
  #list ({ network: { runners } }: FleetHost): void {
    for (const { options, isUp, startedUnixMs } of this.runners) {
      if (isUp) runners.upsert(createEntry({ id: options.id, slots: options.slots, startedUnixMs, service: SERVICE.name }))
      else runners.remove(options.id, 0, 0)
    }
  }

  #report ({ network: { runners, state, usage } }: FleetHost): void {
    state.runnerUses = new Map(runners.all().map(({ entry, inFlight }) => [entry.id, inFlight]))
    runners.setOtherHostsInFlight(usage.othersUses())
  }

  #onCaller (): void {
    const host = this.hosts[Math.floor(this.#random() * this.hosts.length)]
    if (host === undefined || !this.#isUp(host)) return
    this.#dispatch(host, new Set())
  }

  #isUp ({ network }: FleetHost): boolean {
    const name = this.network.nameOf(network)
    return !this.network.down.has(name) && !this.network.suspended.has(name)
  }

  #dispatch (host: FleetHost, excluded: Set<string>): void {
    const { runners, limits, clock } = host.network
    const { open } = findCandidates(runners, this.#need(host, excluded), clock.monotonicMs())
    const hostName = this.network.nameOf(host.network)
    const chosen = chooseRunner({
      candidates: open,
      affinityKey: '',
      availabilityZone: 'zone-1',
      hostWithStaleLoads: this.hosts.length > MAX_DIRECT_HOSTS ? hostName : undefined,
      random: this.#random
    })
    if (chosen === undefined) {
      this.results.refused += 1
      return
    }
    const entry = runners.get(chosen.id)?.entry
    if (entry === undefined || !chosen.needsPermit) return this.#connect(host, chosen.id, undefined, excluded)
    limits.takePermit(entry).then((permit) => {
      if (permit === undefined) this.#dispatch(host, excluded)
      else this.#connect(host, chosen.id, permit, excluded)
    }, () => { this.results.failed += 1 })
  }

  #need ({ network: { limits } }: FleetHost, excluded: ReadonlySet<string>): RequestRequirements {
    return {
      service: SERVICE,
      acceptsVersion: () => true,
      continuesStream: false,
      excluded,
      hostCount: this.hosts.length,
      targetLatencyMs: TARGET_MS,
      gate: (runner) => limits.gate(runner)
    }
  }

  #connect (host: FleetHost, id: string, permit: Permit | undefined, excluded: Set<string>): void {
    const state = host.network.runners.get(id)
    if (state === undefined) return this.#retry(host, id, excluded)
    state.inFlight += 1
    const end = (answered: boolean) => {
      host.network.limits.onEnded(state.entry, answered)
      state.inFlight -= 1
    }
    host.clock.setTimer(this.#random() * MAX_TRANSIT_MS, () => {
      const runner = this.runners.find(({ options }) => options.id === id)
      const isWritten = runner?.isUp === true && this.#isUp(host) && host.network.limits.beforeWrite(state.entry, permit)
      if (isWritten) return this.#write(host, runner, excluded, end)
      end(false)
      this.#retry(host, id, excluded)
    })
  }

  #write (host: FleetHost, runner: RejectingRunner, excluded: Set<string>, end: (answered: boolean) => void): void {
    const { limits, clock, runners } = host.network
    const requestedMs = clock.monotonicMs()
    const { id } = runner.options
    const { startedUnixMs } = runner
    let ended = false
    const onEnd = ({ outcome, rejectionsPerS }: Departure) => host.clock.setTimer(this.#random() * MAX_TRANSIT_MS, () => {
      if (ended) return
      ended = true
      const process = { id, startedUnixMs: runners.get(id)?.entry.startedUnixMs ?? startedUnixMs }
      const signal = rejectionsPerS === undefined ? { signal: LimitSignal.None } as const : { signal: LimitSignal.Named, requestsPerS: rejectionsPerS } as const
      const isSigned = outcome === ArrivalOutcome.Answered
      if (isSigned || rejectionsPerS !== undefined) limits.onAnswerToRejections(process, signal, requestedMs)
      if (outcome === ArrivalOutcome.Rejected) limits.onRejected(process)
      end(isSigned)
      if (isSigned) this.results.answered += 1
      else if (outcome === ArrivalOutcome.Broken) this.results.failed += 1
      else this.#retry(host, id, excluded)
    })
    const takeBacks = this.#atRunners.get(host) ?? []
    takeBacks.push(runner.arrive(onEnd))
    this.#atRunners.set(host, takeBacks)
  }

  /** Stops a host abruptly; its connections to runners close. */
  kill (host: FleetHost): void {
    this.network.kill(host.network)
    for (const takeBack of this.#atRunners.get(host) ?? []) takeBack()
  }

  suspend (host: FleetHost): void {
    host.clock.suspend()
    this.network.suspended.add(this.network.nameOf(host.network))
  }

  wake (host: FleetHost): void {
    host.clock.resume()
    this.network.suspended.delete(this.network.nameOf(host.network))
  }

  #retry (host: FleetHost, id: string, excluded: Set<string>): void {
    excluded.add(id)
    if (excluded.size < MAX_ATTEMPTS) return this.#dispatch(host, excluded)
    this.results.refused += 1
  }
}
