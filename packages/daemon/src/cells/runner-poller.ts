/** Polls the load reports of the runners of this host's cells; the hosts of a cell divide its runners among them. */
import { rankByRendezvous, RunnerHealth, type MembershipState, type PeerRunnerLoad, type RunnerLoadRecord } from '@figloom/control'
import type { EngineClient, EngineReport } from '@figloom/clients'
import type { Clock, Timer } from '@figloom/runtime'
import type { Runner } from '@figloom/tables'

/** A runner to poll. `hosts` are the live hosts of its cell. */
export type PolledRunner = { pool: string, runner: Runner, hosts: readonly string[], isService: boolean }

export type RunnerPollerOptions = {
  clock: Clock
  engines: EngineClient
  /** Resolves to whether a plain service accepts connections. */
  probeService: (url: string, signal: AbortSignal) => Promise<boolean>
  host: string
  pollMs: number
  timeoutMs: number
  silentMs: number
  onReport: (polledRunner: PolledRunner, report: EngineReport, requestedMs: number) => void
  onPolled: () => void
}

type RunnerState = { report: EngineReport | undefined, atMs: number, ok: boolean }

/** If a runner's last answer is older than this many poll intervals, every host polls it, not only the assigned one. */
const STALE_POLLS = 1.5
const MAX_FAILURES = 2

/** Polls runners at an interval; other modules read the results through `ownLoads` and `exclusionReason`. */
export class RunnerPoller {
  readonly #health: RunnerHealth
  readonly #states = new Map<string, RunnerState>()
  readonly #inProgress = new Set<string>()
  #runners: PolledRunner[] = []
  #timer: Timer | undefined

  private constructor (private readonly options: RunnerPollerOptions) {
    this.#health = RunnerHealth.create({ silentAfterMs: options.silentMs, maxFailures: MAX_FAILURES })
  }

  static create (options: RunnerPollerOptions): RunnerPoller {
    return new RunnerPoller(options)
  }

  start (): void {
    this.#pollDue()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  setRunners (runners: PolledRunner[]): void {
    const before = new Set(this.#runners.map(({ runner }) => runner.name))
    this.#runners = runners
    this.#health.retainRunners(new Set(runners.map(({ runner }) => runner.name)))
    for (const polledRunner of runners) if (!before.has(polledRunner.runner.name)) this.#pollRunner(polledRunner)
  }

  /** Applies peers' reports on runners that they polled, if they are more recent. */
  applyPeerLoads (loadsOf: (runner: string) => RunnerLoadRecord[]): void {
    for (const { runner } of this.#runners) {
      for (const load of loadsOf(runner.name)) {
        if (load.reportAgeMs === undefined || !load.healthy) continue
        const atMs = load.receivedMs - load.reportAgeMs
        if (atMs > (this.#states.get(runner.name)?.atMs ?? -Infinity)) this.#recordSuccess(runner.name, undefined, atMs)
      }
    }
  }

  /** Reason why a runner gets no new work from this host; undefined if it may get new work. */
  exclusionReason (runner: string, state: Readonly<MembershipState>): string | undefined {
    return this.#health.reasonUnavailable(runner, state, this.options.clock.monotonicMs())
  }

  /** Loads that this host polled itself and its requests in flight, to report to peers. */
  ownLoads (inFlightOf: (runner: string) => number): PeerRunnerLoad[] {
    const nowMs = this.options.clock.monotonicMs()
    return this.#runners.flatMap(({ runner }) => {
      const lastState = this.#states.get(runner.name)
      const inFlightFromSender = inFlightOf(runner.name)
      if (lastState?.report === undefined && inFlightFromSender === 0) return []
      const { running = 0, queued = 0, kvUsedMiB = 0 } = lastState?.report ?? {}
      const reportAgeMs = lastState?.report === undefined ? undefined : nowMs - lastState.atMs
      return [{ runner: runner.name, running, queued, kvUsedMib: kvUsedMiB, inFlightFromSender, reportAgeMs, healthy: lastState?.ok ?? false }]
    })
  }

  #pollDue (): void {
    const { clock, pollMs } = this.options
    this.#timer = clock.setTimer(pollMs, () => this.#pollDue())
    for (const polledRunner of this.#runners) if (this.#isDue(polledRunner)) this.#pollRunner(polledRunner)
  }

  #isDue ({ runner, hosts }: PolledRunner): boolean {
    const [assignedHost] = rankByRendezvous(runner.name, hosts, (host) => host)
    const lastMs = this.#states.get(runner.name)?.atMs ?? -Infinity
    const isStale = this.options.clock.monotonicMs() - lastMs > STALE_POLLS * this.options.pollMs
    return assignedHost === this.options.host || isStale
  }

  async #pollRunner (polledRunner: PolledRunner): Promise<void> {
    const { clock, engines, timeoutMs, probeService } = this.options
    const { name, url } = polledRunner.runner
    if (this.#inProgress.has(name)) return
    this.#inProgress.add(name)
    const requestedMs = clock.monotonicMs()
    const timeout = new AbortController()
    const timer = clock.setTimer(timeoutMs, () => timeout.abort())
    if (polledRunner.isService) this.#recordProbe(name, await probeService(url, timeout.signal))
    else this.#recordReport(polledRunner, (await engines.report(url, timeout.signal)).unwrapOr(undefined), requestedMs)
    timer.cancel()
    this.#inProgress.delete(name)
    this.options.onPolled()
  }

  #recordReport (polledRunner: PolledRunner, report: EngineReport | undefined, requestedMs: number): void {
    if (report === undefined) return this.#recordFailure(polledRunner.runner.name)
    this.#recordSuccess(polledRunner.runner.name, report, this.options.clock.monotonicMs())
    this.options.onReport(polledRunner, report, requestedMs)
  }

  #recordProbe (runner: string, accepted: boolean): void {
    if (accepted) this.#recordSuccess(runner, undefined, this.options.clock.monotonicMs())
    else this.#recordFailure(runner)
  }

  #recordSuccess (runner: string, report: EngineReport | undefined, atMs: number): void {
    this.#states.set(runner, { report, atMs, ok: true })
    this.#health.recordAnswer(runner, atMs)
  }

  #recordFailure (runner: string): void {
    const lastState = this.#states.get(runner)
    this.#states.set(runner, { report: undefined, atMs: lastState?.atMs ?? -Infinity, ok: false })
    this.#health.recordFailure(runner, this.options.clock.monotonicMs())
  }
}
