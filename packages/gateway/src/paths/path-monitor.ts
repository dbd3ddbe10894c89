/**
 * Observes which runners this host reaches, and decides whether a request goes to its runner directly or by way of another host. A
 * path is broken only if a probe of this host failed and another host reaches the runner: otherwise the runner itself may be down.
 */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { LocatedRunner } from '../gates/types.js'
import { ProbeResult, type ListenerProbe } from '../crashes/types.js'
import { CutOffDetector, UNCONFIRMED_TTL_MS } from './cut-off-detector.js'
import type { PassingHosts } from './passing-hosts.js'
import type { PathMetrics } from './path-metrics.js'
import { ProbeBudget } from './probe-budget.js'
import type { HostAddress, PeerClient } from '../members/types.js'
import { ServiceCuts } from './service-cuts.js'
import { shuffle, SilenceWatch } from './silence-watch.js'
import { TrackedRunner, type RunnerPlace } from './tracked-runner.js'
import { PathKind, RunnerPaths, type PathListener, type RunnerPath } from './types.js'
import { WitnessRound } from './witness-round.js'

const TICK_MS = 100
/** A sound runner accepts a connection within this time, even from another region. */
const PROBE_TIMEOUT_MS = 300
/** The same on a slow link: while bytes of runners arrive, a probe that isn't answered is repeated with this time. */
const SLOW_PROBE_TIMEOUT_MS = 900
/** A request on a broken path is told so when nothing of its runner has arrived for this long: old connections may live on. */
const QUIET_MS = 400
/** Interval between probes of a runner that is out of reach; each is up to a quarter shorter or longer. */
const PROBE_INTERVAL_MS = 500
const JITTER = 0.25
/** Probes of runners that may be out of reach that this host opens in a second. */
const PROBES_PER_S = 30
/** The same for runners that are, however many there are. */
const RETURN_PROBES_PER_S = 30
/** Runners of which this host asks others in a second. */
const CHECKS_PER_S = 20
/** Probes of samples in a second, each followed by a question to other hosts if it fails. */
const SAMPLE_PROBES_PER_S = 40
/** A direct path that wasn't tried for this long is probed before requests fail on it, while other paths are broken. */
const TRIED_TTL_MS = 2_000
/** A single broken path is a matter of its runner. */
const MIN_BROKEN_TO_PROBE_AHEAD = 2
/** Runners that were used within this time show whether the host is cut off. */
const RECENT_MS = 10_000
/** After a cut, direct paths that weren't probed yet are used again over this time, so that hosts don't connect all at once. */
const RETURN_SPREAD_MS = 2_000
/** Several runners that fail within this time may mean that hosts near this one are cut off as well. */
const SUSPECTS_WINDOW_MS = 2_000

const DIRECT: RunnerPath = { kind: PathKind.Direct }

export type PathMonitorParts = {
  clock: Clock
  log: Logger
  metrics: PathMetrics
  probe: ListenerProbe
  calls: Pick<PeerClient, 'checkRunner'>
  hosts: PassingHosts
  /** Where a runner is; undefined if it isn't listed. */
  placeOf: (runner: LocatedRunner) => RunnerPlace | undefined
  random: () => number
  /** Called when this host comes to be cut off from runners, or reaches them again. */
  onCutOffChanged: () => void
  /** Called when the direct path to a runner is broken: its idle connections lead nowhere. */
  onBroken: (runner: LocatedRunner) => void
}

export class PathMonitor extends RunnerPaths {
  /** By address. */
  readonly #tracked = new Map<string, TrackedRunner>()
  readonly #waiting = new Set<TrackedRunner>()
  readonly #broken = new Set<TrackedRunner>()
  readonly #cut = CutOffDetector.create()
  readonly #services = ServiceCuts.create()
  readonly #silence: SilenceWatch
  readonly #probes = ProbeBudget.create(PROBES_PER_S)
  /** The same for runners that are out of reach. */
  readonly #returnProbes = ProbeBudget.create(RETURN_PROBES_PER_S)
  readonly #checks = ProbeBudget.create(CHECKS_PER_S)
  /** The same for samples, which decide on all paths. */
  readonly #sampleProbes = ProbeBudget.create(SAMPLE_PROBES_PER_S)
  /** When runners last failed, by address. */
  readonly #suspectedMs = new Map<string, number>()
  #timer: Timer | undefined
  #stopped = false

  private constructor (private readonly parts: PathMonitorParts) {
    super()
    this.#silence = SilenceWatch.create(TICK_MS, parts.random, parts.clock.monotonicMs())
  }

  static create (parts: PathMonitorParts): PathMonitor {
    return new PathMonitor(parts)
  }

  override start (): void {
    this.#timer = this.parts.clock.setTimer(TICK_MS, () => this.#tick())
  }

  override stop (): void {
    this.#stopped = true
    this.#timer?.cancel()
  }

  override get isCutOff (): boolean {
    return this.#cut.sinceMs !== undefined
  }

  /** Number of runners that other hosts reach and this one doesn't. */
  override get brokenCount (): number {
    return this.#broken.size
  }

  override pathTo (runner: LocatedRunner): RunnerPath {
    if (this.#broken.size === 0 && !this.isCutOff) return DIRECT
    const tracked = this.#track(runner)
    tracked.usedMs = this.#nowMs()
    if (!this.#isOutOfReach(tracked)) {
      this.#probeAhead(tracked)
      return DIRECT
    }
    const { hosts } = this.parts
    const host = hosts.pick(tracked.place.availabilityZone) ?? hosts.ifLive(tracked.reachedBy)
    // Where the other hosts are cut off as well, one of them may still reach this runner.
    if (host === undefined && !tracked.isBroken) this.#probeSuspect(tracked, false)
    return host === undefined ? DIRECT : { kind: PathKind.ViaHost, host: host.host, peerAddress: host.peerAddress }
  }

  override reaches (runner: LocatedRunner): boolean {
    return (this.#broken.size === 0 && !this.isCutOff) || !this.#isOutOfReach(this.#track(runner))
  }

  override onSent (runner: LocatedRunner, listener: PathListener): () => void {
    const tracked = this.#track(runner)
    const request = { sentMs: this.#nowMs(), listener, isTold: false }
    tracked.usedMs = request.sentMs
    tracked.waiting.add(request)
    this.#waiting.add(tracked)
    return () => {
      tracked.waiting.delete(request)
      if (tracked.waiting.size === 0) this.#waiting.delete(tracked)
    }
  }

  override onReached (runner: LocatedRunner): void {
    const nowMs = this.#nowMs()
    const tracked = this.#track(runner)
    tracked.usedMs = nowMs
    tracked.reachedMs = nowMs
    this.#silence.onByte(nowMs)
  }

  override onConnectFailed (runner: LocatedRunner, reason: string): void {
    const tracked = this.#track(runner)
    tracked.usedMs = this.#nowMs()
    this.parts.log.debug('no connection to a runner', { runner: runner.id, address: runner.address, reason })
    // Either it was refused, or its timeout leaves room for a slow link.
    if (!tracked.isBroken) this.#probeSuspect(tracked, false)
  }

  override onHostFailed (host: string): void {
    this.parts.hosts.onFailed(host)
  }

  /** Forgets runners that are no longer listed. @param addresses of the runners that are */
  override retain (addresses: ReadonlySet<string>): void {
    for (const [address, tracked] of this.#tracked) {
      if (addresses.has(address) || tracked.waiting.size > 0) continue
      this.#tracked.delete(address)
      this.#suspectedMs.delete(address)
      if (this.#broken.delete(tracked)) this.#services.update(tracked.place.service, this.#tracked.values())
    }
  }

  #track (runner: LocatedRunner): TrackedRunner {
    const known = this.#tracked.get(runner.address)
    if (known !== undefined && known.runner.id === runner.id) return known
    // Another runner uses the address now.
    if (known !== undefined) this.#broken.delete(known)
    const tracked = TrackedRunner.create(runner, this.parts.placeOf(runner) ?? { service: '', availabilityZone: '' })
    this.#tracked.set(runner.address, tracked)
    return tracked
  }

  /** Whether requests to the runner go by way of another host, if there is one. */
  #isOutOfReach (tracked: TrackedRunner): boolean {
    if (tracked.returnsAtMs <= this.#nowMs()) this.#restore(tracked)
    if (tracked.isBroken || tracked.returnsAtMs < Infinity) return true
    const sinceMs = this.#cut.sinceMs ?? this.#services.sinceMs(tracked.place.service)
    return sinceMs !== undefined && tracked.seenMs < sinceMs
  }

  #tick (): void {
    if (this.#stopped) return
    this.#probeSilent()
    this.#probeOutOfReach()
    this.#probeSample()
    for (const tracked of this.#broken) this.#tellWaiting(tracked)
    this.#updateCutOff()
    this.#timer = this.parts.clock.setTimer(TICK_MS, () => this.#tick())
  }

  #probeSilent (): void {
    const waiting = [...this.#waiting].filter((tracked) => !tracked.isBroken && !tracked.isProbed && !tracked.isChecked)
    for (const tracked of this.#silence.check(waiting, this.#broken.size > 0, this.#nowMs())) this.#probeSuspect(tracked)
  }

  /** While other paths are broken: finds out about a path before requests wait on it in vain. */
  #probeAhead (tracked: TrackedRunner): void {
    if (this.#broken.size < MIN_BROKEN_TO_PROBE_AHEAD) return
    const nowMs = this.#nowMs()
    if (nowMs - Math.max(tracked.acceptedMs, tracked.unconfirmedMs) >= TRIED_TTL_MS) this.#probeSuspect(tracked)
  }

  /** @param mayBeSlow the link may be slow, rather than broken */
  #probeSuspect (tracked: TrackedRunner, mayBeSlow = true): void {
    const nowMs = this.#nowMs()
    if (tracked.isProbed || tracked.isChecked || nowMs - tracked.unconfirmedMs < UNCONFIRMED_TTL_MS) return
    if (!this.#probes.take(nowMs)) return
    this.#probe(tracked, mayBeSlow).then((isAccepted) => isAccepted ? undefined : this.#check(tracked)).catch((error: Error) => this.#logError(error))
  }

  /** Opens a connection to a runner; returns whether it was accepted. */
  async #probe (tracked: TrackedRunner, mayBeSlow = true): Promise<boolean> {
    tracked.isProbed = true
    const result = await this.#connect(tracked, mayBeSlow).finally(() => { tracked.isProbed = false })
    if (result !== ProbeResult.Accepted) return false
    tracked.acceptedMs = this.#nowMs()
    this.#restore(tracked)
    return true
  }

  async #connect ({ runner }: TrackedRunner, mayBeSlow: boolean): Promise<ProbeResult> {
    const { probe, metrics } = this.parts
    const startedMs = this.#nowMs()
    const result = await probe.probe(runner.address, PROBE_TIMEOUT_MS)
    metrics.probes.inc({ result })
    if (result !== ProbeResult.Silent || !mayBeSlow || !this.#silence.hasByteSince(startedMs)) return result
    const second = await probe.probe(runner.address, SLOW_PROBE_TIMEOUT_MS)
    metrics.probes.inc({ result: second })
    return second
  }

  /** Asks other hosts about a runner that doesn't accept this host's probes. */
  async #check (tracked: TrackedRunner, isSampled = false): Promise<void> {
    const nowMs = this.#nowMs()
    this.#suspectedMs.set(tracked.runner.address, nowMs)
    if (tracked.isBroken || tracked.isChecked || nowMs - tracked.unconfirmedMs < UNCONFIRMED_TTL_MS) return
    if (!isSampled && !this.#checks.take(nowMs)) return
    tracked.isChecked = true
    const { reachedBy } = await this.#askHosts(tracked).finally(() => { tracked.isChecked = false })
    this.parts.metrics.checks.inc({ result: reachedBy === undefined ? 'unconfirmed' : 'reached' })
    if (this.#tracked.get(tracked.runner.address) !== tracked || this.#stopped) return
    // A connection that was opened meanwhile is more recent than the failure.
    if (tracked.acceptedMs > nowMs) return
    if (reachedBy === undefined) tracked.unconfirmedMs = this.#nowMs()
    else this.#break(tracked, nowMs, reachedBy)
    this.#updateCutOff()
  }

  async #askHosts (tracked: TrackedRunner) {
    const { clock, calls, hosts, log } = this.parts
    const { runner, place } = tracked
    const result = await WitnessRound.run({
      clock,
      calls,
      hosts: hosts.witnesses(place.availabilityZone),
      runnerAddress: runner.address,
      needsSecondOpinion: this.#hasOtherSuspects(tracked),
      onFailed: (host, reason) => {
        log.debug('host did not check a runner', { peer: host.host, runner: runner.id, reason })
      }
    })
    if (result.reachedBy !== undefined) hosts.onProven(result.reachedBy)
    return result
  }

  #hasOtherSuspects ({ runner }: TrackedRunner): boolean {
    const nowMs = this.#nowMs()
    for (const [address, suspectedMs] of this.#suspectedMs) if (nowMs - suspectedMs > SUSPECTS_WINDOW_MS) this.#suspectedMs.delete(address)
    return this.#suspectedMs.size > (this.#suspectedMs.has(runner.address) ? 1 : 0)
  }

  #break (tracked: TrackedRunner, sinceMs: number, reachedBy: HostAddress): void {
    const { log, metrics, onBroken } = this.parts
    const { runner, place } = tracked
    tracked.brokenSinceMs = sinceMs
    tracked.reachedBy = reachedBy
    tracked.returnsAtMs = Infinity
    this.#broken.add(tracked)
    this.#planProbe(tracked)
    this.#services.update(place.service, this.#tracked.values())
    metrics.broken.inc()
    if (this.#broken.size === 1) log.warn('runner is reached through other hosts only', { runner: runner.id, address: runner.address })
    this.#cut.onBroken()
    this.#startSample()
    onBroken(runner)
    this.#tellWaiting(tracked)
  }

  /** Tells the requests that wait on a broken path, once, unless bytes of the runner still arrive on older connections. */
  #tellWaiting (tracked: TrackedRunner): void {
    if (this.#nowMs() - tracked.reachedMs < QUIET_MS) return
    for (const request of [...tracked.waiting]) {
      if (request.isTold) continue
      request.isTold = true
      request.listener()
    }
  }

  #restore (tracked: TrackedRunner): void {
    tracked.returnsAtMs = Infinity
    if (!this.#broken.delete(tracked)) return
    tracked.brokenSinceMs = undefined
    this.#services.update(tracked.place.service, this.#tracked.values())
    this.parts.metrics.restored.inc()
    if (this.#broken.size === 0) this.parts.log.info('all runners are reached directly again')
  }

  #startSample (): void {
    const nowMs = this.#nowMs()
    if (!this.#cut.maySample(this.#broken.size, nowMs)) return
    this.#cut.sample(shuffle(this.#recent(), this.parts.random), nowMs)
    this.#probeSample()
  }

  #probeSample (): void {
    const nowMs = this.#nowMs()
    for (const tracked of this.#cut.undecided()) {
      if (tracked.isProbed || tracked.isChecked || !this.#sampleProbes.take(nowMs)) continue
      this.#probe(tracked).then(async (isAccepted) => {
        if (!isAccepted) await this.#check(tracked, true)
        this.#updateCutOff()
      }).catch((error: Error) => this.#logError(error))
    }
  }

  #recent (): TrackedRunner[] {
    const nowMs = this.#nowMs()
    return [...this.#tracked.values()].filter((tracked) => tracked.isBroken || nowMs - tracked.usedMs < RECENT_MS)
  }

  /** Runners that this host didn't reach since the present cut began. */
  #outOfReach (): TrackedRunner[] {
    const sinceMs = this.#cut.sinceMs
    if (sinceMs === undefined) return [...this.#broken]
    return this.#recent().filter((tracked) => tracked.isBroken || tracked.seenMs < sinceMs)
  }

  #probeOutOfReach (): void {
    if (this.#broken.size === 0 && !this.isCutOff) return
    const nowMs = this.#nowMs()
    for (const tracked of shuffle(this.#outOfReach(), this.parts.random)) {
      if (tracked.isProbed || tracked.nextProbeMs > nowMs || !this.#returnProbes.take(nowMs)) continue
      this.#planProbe(tracked)
      this.#probe(tracked).then((isAccepted) => this.#onReturnProbe(tracked, isAccepted)).catch((error: Error) => this.#logError(error))
    }
  }

  #planProbe (tracked: TrackedRunner): void {
    tracked.nextProbeMs = this.#nowMs() + PROBE_INTERVAL_MS * (1 + JITTER * (2 * this.parts.random() - 1))
  }

  #onReturnProbe (tracked: TrackedRunner, isAccepted: boolean): void {
    if (!isAccepted) tracked.returnsAtMs = Infinity
    this.#cut.onProbe(isAccepted)
    this.#updateCutOff()
  }

  #updateCutOff (): void {
    const nowMs = this.#nowMs()
    if (this.isCutOff) {
      const left = this.#outOfReach()
      if (this.#cut.ends(left.length, this.#recent().length, nowMs)) this.#onCutEnded(left)
      return
    }
    if (this.#broken.size > 0) this.#startSample()
    if (this.#cut.begins(this.#broken.size, nowMs)) this.#onCutBegan()
  }

  #onCutBegan (): void {
    this.parts.metrics.cutOffs.inc()
    this.parts.log.warn('host is cut off from runners', { brokenPaths: this.#broken.size, recentRunners: this.#recent().length })
    this.parts.onCutOffChanged()
  }

  #onCutEnded (left: readonly TrackedRunner[]): void {
    const nowMs = this.#nowMs()
    for (const tracked of left) tracked.returnsAtMs = nowMs + this.parts.random() * RETURN_SPREAD_MS
    this.parts.log.info('host reaches its runners again', { brokenPaths: this.#broken.size, recentRunners: this.#recent().length })
    this.parts.onCutOffChanged()
  }

  #logError (error: Error): void {
    this.parts.log.error('path to a runner was not checked', { reason: error.message })
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }
}
