/** Crash monitors of several hosts on a manual clock, with one platform. */
import { ManualClock, Registry, silentLogger } from '@figloom/runtime'
import type { HostSummary } from '../../members/types.js'
import type { LocatedRunner } from '../../gates/types.js'
import { InstantSource } from '../../lease/instant.js'
import { CrashRecords, MemoryCrashLog } from '../../testing/memory-crash-log.js'
import { addressOf } from '../../testing/host-network.js'
import { createEntry } from '../../testing/gateway-fixture.js'
import { createCrashMetrics } from '../crash-metrics.js'
import { CrashMonitor } from '../crash-monitor.js'
import { PeerWitness } from '../peer-witness.js'
import { RunnerChecks } from '../runner-checks.js'
import { Departure, ListenerProbe, ProbeResult, type RunnerCheck } from '../types.js'

const PROMPT = ['shared', 'deadly']
const LONG_AGO_MS = -600_000
/** Runners that never end, besides those that `crash` and `end` name. */
const LASTING_RUNNERS = ['10.0.3.1:80', '10.0.3.2:80']

/** Runners whose processes ended, and hosts that lost their links to all runners: what either is asked for is refused. */
class Links {
  readonly ended = new Set<string>()
  readonly cutHosts = new Set<number>()

  isRefused (host: number, address: string): boolean {
    return this.ended.has(address) || this.cutHosts.has(host)
  }
}

class LinkProbe extends ListenerProbe {
  constructor (private readonly links: Links, private readonly host: number) {
    super()
  }

  override async probe (address: string): Promise<ProbeResult> {
    return this.links.isRefused(this.host, address) ? ProbeResult.Refused : ProbeResult.Accepted
  }
}

export class MonitorFleet {
  readonly clock = ManualClock.create()
  readonly records = CrashRecords.create()
  readonly monitors: CrashMonitor[] = []
  readonly urgent: number[] = []
  /** Whether hosts know of live peers. */
  livePeers = true
  readonly links = new Links()
  /** Runners that were found to be out of reach of one host, by host. */
  readonly brokenPaths: { host: number, runner: string }[] = []
  readonly #checks: RunnerChecks[] = []
  readonly #addresses = new Set(LASTING_RUNNERS)
  #requests = 0

  /** Adds a host that has been up for long. @param mayTry whether this host may run trials */
  add (mayTry = false): CrashMonitor {
    return this.#start(this.monitors.length, mayTry, LONG_AGO_MS)
  }

  /** Starts a new process, of a host that was stopped or of another one. */
  restart (stopped?: CrashMonitor): CrashMonitor {
    const index = stopped === undefined ? this.monitors.length : this.monitors.indexOf(stopped)
    return this.#start(index, false, InstantSource.create(this.clock).nowMs())
  }

  #start (index: number, mayTry: boolean, startedMs: number): CrashMonitor {
    const { clock, records, monitors, urgent, links } = this
    const probe = new LinkProbe(links, index)
    const listed = () => [...this.#addresses].map((address) => createEntry({ address }))
    const checks = RunnerChecks.create({ probe, listed, hasEnded: (runner) => monitor.hasEnded(runner), random: () => 0.5 })
    this.#checks[index] = checks
    const witness = PeerWitness.create({
      clock,
      calls: { checkRunner: (peerAddress, address) => this.#check(peerAddress, address) },
      checks,
      availabilityZone: 'z',
      hosts: () => this.livePeers ? this.#hostsExcept(index) : [],
      isCutOff: () => false,
      random: () => 0.5
    })
    const monitor = CrashMonitor.create({
      clock,
      instants: InstantSource.create(clock),
      log: silentLogger,
      metrics: createCrashMetrics(new Registry()),
      probe,
      witness,
      listed: () => [],
      onPathBroken: ({ id }) => this.brokenPaths.push({ host: index, runner: id }),
      crashLog: MemoryCrashLog.create(records),
      host: `host-${index}`,
      incarnation: `host-${index}/${clock.monotonicMs()}`,
      startedMs,
      random: () => 0.1 + index / 10,
      mayTry: () => mayTry,
      readsThroughPeers: () => false,
      hasLivePeers: () => this.livePeers,
      onUrgent: () => urgent.push(index)
    })
    monitors[index] = monitor
    monitor.start()
    return monitor
  }

  #hostsExcept (index: number): HostSummary[] {
    const others = [...this.monitors.keys()].filter((other) => other !== index)
    return others.map((other) => ({ address: addressOf(`${other}`), incarnation: '', ready: true, leaving: false, relay: true, holdsLease: false, hearsay: false, cutOff: false }))
  }

  async #check (peerAddress: string, address: string): Promise<RunnerCheck> {
    const checks = this.#checks[Number(peerAddress.split(':')[0])]
    if (checks === undefined) throw new Error('host is unreachable')
    return await checks.check(address)
  }

  /** A request of this host ends the process of a new runner. */
  async crash (monitor: CrashMonitor, partIds: string[] = PROMPT, key?: string, begun = false): Promise<void> {
    const number = this.#requests + 1
    const runner = { id: `runner-${number}`, address: `10.0.0.${number}:80`, startedUnixMs: 1 }
    this.end(monitor, runner, [...partIds, key ?? `request-${number}`], begun)
    await this.clock.advance(400)
    this.#addresses.delete(runner.address)
  }

  /** The process of a runner ends with a request of this host. */
  end (monitor: CrashMonitor, runner: LocatedRunner, featureIds = PROMPT, begun = false): void {
    this.links.ended.add(runner.address)
    this.#break(monitor, runner, featureIds, begun)
  }

  /** A host loses its links to all runners: its connections are reset and new ones are refused. Its requests were at these runners. */
  async loseLinks (monitor: CrashMonitor, runners: readonly LocatedRunner[], partIds: string[] = PROMPT): Promise<void> {
    this.links.cutHosts.add(this.monitors.indexOf(monitor))
    for (const runner of runners) this.#break(monitor, runner, [...partIds, `request-${this.#requests + 1}`])
    await this.clock.advance(400)
  }

  #break (monitor: CrashMonitor, runner: LocatedRunner, featureIds: string[], begun = false): void {
    this.#requests += 1
    this.#addresses.add(runner.address)
    monitor.onSent(runner, { requestId: `r${this.#requests}`, featureIds, attempt: 1, begun })
    monitor.onLeft(runner, `r${this.#requests}`, Departure.Broken)
  }

  /** A request of this host is answered. */
  answer (monitor: CrashMonitor, partIds: string[], requestId = `r${this.#requests += 1}`, key = `request-${requestId}`): void {
    const runner = { id: 'sound', address: '10.0.1.1:80' }
    monitor.onSent(runner, { requestId, featureIds: [...partIds, key], attempt: 1, begun: false })
    monitor.onBegun(runner, requestId)
    monitor.onLeft(runner, requestId, Departure.Answered)
  }

  exchange (from: CrashMonitor, to: CrashMonitor): void {
    const host = `host-${this.monitors.indexOf(from)}`
    const update = from.update(to.seenOf(host))
    if (update !== undefined) to.receive(host, update)
  }
}
