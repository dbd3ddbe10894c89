/** Reads the load reports of the runners of a host's cells, shared with the other hosts of each cell. */
import { rankByRendezvous, RunnerHealth, type MembershipState, type PeerRunnerLoad, type RunnerLoadRecord } from '@figloom/control'
import type { EngineClient, EngineReport } from '@figloom/clients'
import type { Clock, Timer } from '@figloom/runtime'
import type { Runner } from '@figloom/tables'

/** A runner to watch. `hosts` are the live hosts of its cell. */
export type WatchedRunner = { pool: string, runner: Runner, hosts: readonly string[], isService: boolean }

export type RunnerWatchOptions = {
  clock: Clock
  engines: EngineClient
  /** Whether a plain service answers at all. */
  probeService: (url: string, signal: AbortSignal) => Promise<boolean>
  host: string
  pollMs: number
  timeoutMs: number
  silentMs: number
  onReport: (watched: WatchedRunner, report: EngineReport, askedMs: number) => void
  onChange: () => void
}

type Known = { report: EngineReport | undefined, atMs: number, ok: boolean }

/** A runner whose last sign is this many polls old is read by every host, whoever's turn it is. */
const STALE_POLLS = 1.5
const MAX_FAILURES = 2

/** Task-like poller; other parts read its state through `loads` and `barOf`. */
export class RunnerWatch {
  readonly #health: RunnerHealth
  readonly #known = new Map<string, Known>()
  readonly #asking = new Set<string>()
  #runners: WatchedRunner[] = []
  #timer: Timer | undefined

  private constructor (private readonly options: RunnerWatchOptions) {
    this.#health = RunnerHealth.create({ silentMs: options.silentMs, maxFailures: MAX_FAILURES })
  }

  static create (options: RunnerWatchOptions): RunnerWatch {
    return new RunnerWatch(options)
  }

  start (): void {
    this.#poll()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  setRunners (runners: WatchedRunner[]): void {
    const before = new Set(this.#runners.map(({ runner }) => runner.name))
    this.#runners = runners
    this.#health.keepOnly(new Set(runners.map(({ runner }) => runner.name)))
    for (const watched of runners) if (!before.has(watched.runner.name)) this.#read(watched)
  }

  /** Takes in what peers told of runners that they read. */
  takePeerLoads (loadsOf: (runner: string) => RunnerLoadRecord[]): void {
    for (const { runner } of this.#runners) {
      for (const load of loadsOf(runner.name)) {
        if (load.reportAgeMs === undefined || !load.healthy) continue
        const atMs = load.heardMs - load.reportAgeMs
        if (atMs > (this.#known.get(runner.name)?.atMs ?? -Infinity)) this.#noteAnswered(runner.name, undefined, atMs)
      }
    }
  }

  /** Why a runner gets no new work from this host; undefined if it may. */
  barOf (runner: string, state: Readonly<MembershipState>): string | undefined {
    return this.#health.barOf(runner, state, this.options.clock.monotonicMs())
  }

  /** Loads that this host read itself, for its peers. */
  loads (inFlightOf: (runner: string) => number): PeerRunnerLoad[] {
    const nowMs = this.options.clock.monotonicMs()
    return this.#runners.flatMap(({ runner }) => {
      const known = this.#known.get(runner.name)
      const inFlightFromSender = inFlightOf(runner.name)
      if (known?.report === undefined && inFlightFromSender === 0) return []
      const { running = 0, queued = 0, kvUsedMiB = 0 } = known?.report ?? {}
      const reportAgeMs = known?.report === undefined ? undefined : nowMs - known.atMs
      return [{ runner: runner.name, running, queued, kvUsedMib: kvUsedMiB, inFlightFromSender, reportAgeMs, healthy: known?.ok ?? false }]
    })
  }

  #poll (): void {
    const { clock, pollMs } = this.options
    this.#timer = clock.setTimer(pollMs, () => this.#poll())
    for (const watched of this.#runners) if (this.#isDue(watched)) this.#read(watched)
  }

  #isDue ({ runner, hosts }: WatchedRunner): boolean {
    const [turn] = rankByRendezvous(runner.name, hosts, (host) => host)
    const lastMs = this.#known.get(runner.name)?.atMs ?? -Infinity
    const isStale = this.options.clock.monotonicMs() - lastMs > STALE_POLLS * this.options.pollMs
    return turn === this.options.host || isStale
  }

  async #read (watched: WatchedRunner): Promise<void> {
    const { clock, engines, timeoutMs, probeService } = this.options
    const { name, url } = watched.runner
    if (this.#asking.has(name)) return
    this.#asking.add(name)
    const askedMs = clock.monotonicMs()
    const timeout = new AbortController()
    const timer = clock.setTimer(timeoutMs, () => timeout.abort())
    if (watched.isService) this.#noteProbe(name, await probeService(url, timeout.signal))
    else this.#noteReport(watched, (await engines.report(url, timeout.signal)).unwrapOr(undefined), askedMs)
    timer.cancel()
    this.#asking.delete(name)
    this.options.onChange()
  }

  #noteReport (watched: WatchedRunner, report: EngineReport | undefined, askedMs: number): void {
    if (report === undefined) return this.#noteFailed(watched.runner.name)
    this.#noteAnswered(watched.runner.name, report, this.options.clock.monotonicMs())
    this.options.onReport(watched, report, askedMs)
  }

  #noteProbe (runner: string, answered: boolean): void {
    if (answered) this.#noteAnswered(runner, undefined, this.options.clock.monotonicMs())
    else this.#noteFailed(runner)
  }

  #noteAnswered (runner: string, report: EngineReport | undefined, atMs: number): void {
    this.#known.set(runner, { report, atMs, ok: true })
    this.#health.answered(runner, atMs)
  }

  #noteFailed (runner: string): void {
    const known = this.#known.get(runner)
    this.#known.set(runner, { report: undefined, atMs: known?.atMs ?? -Infinity, ok: false })
    this.#health.failed(runner, this.options.clock.monotonicMs())
  }
}
