/** Hosts that send requests to runners over links that a test cuts, each with a path monitor, on a manual clock without sockets. */
import { createRegistry, ManualClock, silentLogger } from '@figloom/runtime'
import type { LocatedRunner } from '../../gates/types.js'
import type { HostSummary, PeerClient } from '../../members/types.js'
import { createRandom } from '../../testing/seeded-random.js'
import { ListenerProbe, ProbeResult, RunnerCheck } from '../../crashes/types.js'
import { PassingHosts } from '../passing-hosts.js'
import { createPathMetrics } from '../path-metrics.js'
import { PathMonitor } from '../path-monitor.js'
import { PathKind, type RunnerPath } from '../types.js'

/** What a link between a host and a runner does. */
export const Link = {
  Up: 'up',
  /** Packets are lost. */
  Silent: 'silent',
  /** New connections are refused and old ones reset. */
  Refused: 'refused',
  /** New connections are refused, old ones live on. */
  OldOnly: 'old-only'
} as const
export type Link = (typeof Link)[keyof typeof Link]

const REQUEST_INTERVAL_MS = 40
const ANSWER_MS = 20
const CONNECT_TIMEOUT_MS = 700

export type FleetRunner = LocatedRunner & { service: string, availabilityZone: string }

export type FleetHost = {
  name: string
  zone: string
  monitor: PathMonitor
  summary: HostSummary
  /** Addresses of the runners to which this host has an idle connection. */
  kept: Set<string>
  /** Paths that its requests took since the test reset this. */
  direct: number
  viaHosts: string[]
  failedConnects: number
  probes: number
  checks: number
  listenerCalls: number
  cutOffChanges: number
}

export class LinkedFleet {
  readonly clock = ManualClock.create()
  readonly hosts: FleetHost[] = []
  readonly runners: FleetRunner[] = []
  readonly down = new Set<string>()
  /** Time that a runner takes for an answer. */
  answerMs = ANSWER_MS
  /** Requests use connections that are kept; otherwise each opens one. */
  keepsConnections = true
  #link: (host: FleetHost, runner: FleetRunner) => Link = () => Link.Up
  readonly #random = createRandom(7)

  private constructor () {}

  /** @param zones number of hosts and runners by availability zone */
  static create (hostsByZone: Record<string, number>, runnersByZone: Record<string, number>): LinkedFleet {
    const fleet = new LinkedFleet()
    for (const [zone, count] of Object.entries(runnersByZone)) {
      for (let index = 0; index < count; index += 1) {
        const id = `${zone}-r${index}`
        fleet.runners.push({ id, address: `${id}:1`, service: index % 2 === 0 ? 'even' : 'odd', availabilityZone: zone })
      }
    }
    for (const [zone, count] of Object.entries(hostsByZone)) for (let index = 0; index < count; index += 1) fleet.#addHost(`${zone}-h${index}`, zone)
    for (const host of fleet.hosts) fleet.#sendNext(host, 0)
    return fleet
  }

  /** Sets the links from now on. */
  cut (link: (host: FleetHost, runner: FleetRunner) => Link): void {
    this.#link = link
    for (const host of this.hosts) for (const runner of this.runners) if (this.linkOf(host, runner) === Link.Refused) host.kept.delete(runner.address)
  }

  linkOf (host: FleetHost, runner: FleetRunner): Link {
    return this.down.has(runner.id) ? Link.Refused : this.#link(host, runner)
  }

  host (name: string): FleetHost {
    const host = this.hosts.find((candidate) => candidate.name === name)
    if (host === undefined) throw new Error(`no host ${name}`)
    return host
  }

  /** Starts the counts of a host anew. */
  resetCounts (): void {
    for (const host of this.hosts) Object.assign(host, { direct: 0, viaHosts: [], failedConnects: 0, probes: 0, checks: 0, listenerCalls: 0, cutOffChanges: 0 })
  }

  pathOf (host: FleetHost, runner: FleetRunner): RunnerPath {
    return host.monitor.pathTo(runner)
  }

  stop (): void {
    for (const { monitor } of this.hosts) monitor.stop()
  }

  #addHost (name: string, zone: string): void {
    const address = { host: name, availabilityZone: zone, callerAddress: `${name}:80`, peerAddress: name, capacityCores: 1 }
    const summary = { address, incarnation: name, ready: true, leaving: false, relay: true, holdsLease: false, hearsay: false, cutOff: false }
    const liveHosts = () => this.hosts.filter((other) => other.name !== name).map((other) => ({ ...other.summary, cutOff: other.monitor.isCutOff }))
    const monitor = PathMonitor.create({
      clock: this.clock,
      log: silentLogger,
      metrics: createPathMetrics(createRegistry({ host: name, availabilityZone: zone })),
      probe: new LinkProbe(this, () => host),
      calls: new LinkWitness(this, () => host),
      hosts: PassingHosts.create({ clock: this.clock, self: address, liveHosts, random: this.#random }),
      placeOf: ({ id }) => this.runners.find((runner) => runner.id === id),
      random: this.#random,
      onCutOffChanged: () => { host.cutOffChanges += 1 },
      onBroken: ({ address: broken }) => { host.kept.delete(broken) }
    })
    const host: FleetHost = { name, zone, monitor, summary, kept: new Set(), direct: 0, viaHosts: [], failedConnects: 0, probes: 0, checks: 0, listenerCalls: 0, cutOffChanges: 0 }
    this.hosts.push(host)
    monitor.start()
  }

  #sendNext (host: FleetHost, number: number): void {
    const runner = this.runners[number % this.runners.length]
    if (runner !== undefined) this.#send(host, runner)
    this.clock.setTimer(REQUEST_INTERVAL_MS, () => this.#sendNext(host, number + 1))
  }

  #send (host: FleetHost, runner: FleetRunner): void {
    const path = host.monitor.pathTo(runner)
    if (path.kind === PathKind.ViaHost) {
      host.viaHosts.push(path.host)
      const passing = this.host(path.host)
      if (passing.monitor.isCutOff || this.linkOf(passing, runner) !== Link.Up) host.monitor.onHostFailed(path.host)
      return
    }
    host.direct += 1
    if (this.keepsConnections && host.kept.delete(runner.address)) return this.#write(host, runner)
    this.#connect(host, runner)
  }

  #connect (host: FleetHost, runner: FleetRunner): void {
    const link = this.linkOf(host, runner)
    if (link === Link.Up) {
      host.monitor.onReached(runner)
      return this.#write(host, runner)
    }
    host.failedConnects += 1
    this.clock.setTimer(link === Link.Silent ? CONNECT_TIMEOUT_MS : 0, () => host.monitor.onConnectFailed(runner, link))
  }

  #write (host: FleetHost, runner: FleetRunner): void {
    const leave = host.monitor.onSent(runner, () => {
      host.listenerCalls += 1
      leave()
    })
    this.clock.setTimer(this.answerMs, () => {
      const link = this.linkOf(host, runner)
      if (link === Link.Silent) return
      leave()
      if (link === Link.Refused) return
      host.monitor.onReached(runner)
      host.kept.add(runner.address)
    })
  }
}

async function probeLink (fleet: LinkedFleet, host: FleetHost, address: string, timeoutMs: number): Promise<ProbeResult> {
  const runner = fleet.runners.find((candidate) => candidate.address === address)
  const link = runner === undefined ? Link.Refused : fleet.linkOf(host, runner)
  if (link === Link.Up) return ProbeResult.Accepted
  if (link !== Link.Silent) return ProbeResult.Refused
  await fleet.clock.sleep(timeoutMs)
  return ProbeResult.Silent
}

class LinkProbe extends ListenerProbe {
  constructor (private readonly fleet: LinkedFleet, private readonly host: () => FleetHost) {
    super()
  }

  override probe (address: string, timeoutMs: number): Promise<ProbeResult> {
    this.host().probes += 1
    return probeLink(this.fleet, this.host(), address, timeoutMs)
  }
}

const WITNESS_PROBE_MS = 300

class LinkWitness implements Pick<PeerClient, 'checkRunner'> {
  constructor (private readonly fleet: LinkedFleet, private readonly host: () => FleetHost) {}

  async checkRunner (peerAddress: string, runnerAddress: string): Promise<RunnerCheck> {
    this.host().checks += 1
    const witness = this.fleet.host(peerAddress)
    const result = await probeLink(this.fleet, witness, runnerAddress, WITNESS_PROBE_MS)
    if (result === ProbeResult.Accepted) return RunnerCheck.Accepted
    if (witness.monitor.isCutOff) return RunnerCheck.Unknown
    return result === ProbeResult.Refused ? RunnerCheck.Refused : RunnerCheck.Silent
  }
}
