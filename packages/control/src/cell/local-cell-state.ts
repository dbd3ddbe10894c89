/** What one host knows of a cell besides its stream: the tables, runner health, and its runners' reports and answers. */
import type { Clock } from '@figloom/runtime'
import type { AdmissionContext, OrderableRunner } from './admission.js'
import type { RunnerView } from '@figloom/tables'
import { toRunnerView, type RunnerViewInput } from './cell-view.js'
import { RunnerTracker, type RunnerSpec } from './runner-tracker.js'
import type { CellState, Intent } from './state.js'
import type { CellConfig, CellView } from './types.js'

export type LocalCellStateOptions = {
  clock: Clock
  cell: string
  /** Age from which a runner's newest report counts as stale and the runner as unhealthy, in milliseconds. */
  staleReportMs: number
}

/** This host's knowledge of the cell; the state of the stream is passed to each method. */
export class LocalCellState {
  readonly tracker = RunnerTracker.create()
  #config: CellConfig | undefined
  #runnersInTables: ReadonlySet<string> = new Set()
  readonly #views = new Map<string, { input: RunnerViewInput, view: RunnerView }>()
  readonly unhealthy = new Set<string>()
  readonly draining = new Set<string>()

  private constructor (private readonly options: LocalCellStateOptions) {}

  static create (options: LocalCellStateOptions): LocalCellState {
    return new LocalCellState(options)
  }

  get config (): CellConfig | undefined {
    return this.#config
  }

  setConfig (config: CellConfig): void {
    this.#config = config
    this.#runnersInTables = new Set(config.runners.map(({ name }) => name))
  }

  /** Runners of the tables, and runners that only the stream still names and that may hold memory. */
  specsOf (state: CellState): RunnerSpec[] {
    const named = this.#config?.runners ?? []
    return [...named, ...state.runners.filter(({ name }) => !this.#isInTables(name) && this.#mayHoldMemory(state, name))]
  }

  /** Runners that a holder may send orders to. Reports from before its claim or from before `sinceOffset` are ignored. */
  orderableRunners (state: CellState, sinceOffset = 0): Map<string, OrderableRunner> {
    const runners = this.specsOf(state).map((spec): OrderableRunner => {
      const timedReport = this.tracker.reportOf(spec.name)
      const isUsable = timedReport !== undefined && timedReport.asOfOffset >= Math.max(sinceOffset, state.claim?.offset ?? Infinity)
      return {
        spec,
        timedReport: isUsable ? timedReport : undefined,
        healthy: this.#isHealthy(spec.name),
        draining: this.draining.has(spec.name),
        inTables: this.#isInTables(spec.name)
      }
    })
    return new Map(runners.map((runner) => [runner.spec.name, runner]))
  }

  admissionContext (state: CellState, config: CellConfig, mayStartLoad: boolean, sinceOffset = 0): AdmissionContext {
    return { config, runners: this.orderableRunners(state, sinceOffset), intents: state.intents, mayStartLoad }
  }

  /** Builds the view; the memory of `reclaimable` intents counts as free. */
  viewOf (state: CellState, lease: { isHolder: boolean, logReachable: boolean }, reclaimable: (intent: Intent) => boolean): CellView {
    const specs = this.specsOf(state)
    return {
      cell: this.options.cell,
      offset: state.offset,
      holder: state.claim?.sender,
      leaseOffset: state.claim?.offset,
      ...lease,
      runners: specs.map((spec) => this.#runnerView({
        spec,
        report: this.#currentReport(state, spec.name),
        intents: state.intents.filter((intent) => intent.order.runner === spec.name && !reclaimable(intent)),
        transitReserveMiB: this.config?.transitReserveMiB ?? 0,
        healthy: !this.unhealthy.has(spec.name) && !(lease.isHolder && this.#isStale(spec.name)),
        draining: this.draining.has(spec.name) || !this.#isInTables(spec.name)
      })),
      unsettled: state.intents.map(({ offset, order, sender, standby }) => ({ offset, order, sender, standby })),
      retiring: specs.map(({ name }) => name).filter((name) => !this.#isInTables(name))
    }
  }

  /** Builds the view of a runner, or returns the previous one if its input did not change and no order is unsettled. */
  #runnerView (input: RunnerViewInput): RunnerView {
    const known = this.#views.get(input.spec.name)
    const isSame = known !== undefined && input.intents.length === 0 && known.input.intents.length === 0 &&
      known.input.spec === input.spec && known.input.report === input.report && known.input.healthy === input.healthy &&
      known.input.draining === input.draining && known.input.transitReserveMiB === input.transitReserveMiB
    if (isSame) return known.view
    const view = toRunnerView(input)
    this.#views.set(input.spec.name, { input, view })
    return view
  }

  #isInTables (runner: string): boolean {
    return this.#runnersInTables.has(runner)
  }

  #isHealthy (runner: string): boolean {
    return this.tracker.reportOf(runner) !== undefined && !this.unhealthy.has(runner) && !this.#isStale(runner)
  }

  #isStale (runner: string): boolean {
    const timedReport = this.tracker.reportOf(runner)
    return timedReport !== undefined && this.options.clock.monotonicMs() - timedReport.takenMs >= this.options.staleReportMs
  }

  /** This host's own report while it is fresh and the stream has no later one, else the stream's. */
  #currentReport (state: CellState, runner: string) {
    const own = this.tracker.reportOf(runner)
    const logged = state.runners.find(({ name }) => name === runner)
    if (own === undefined || logged === undefined) return logged ?? own?.report
    return this.#isStale(runner) || logged.asOfOffset > own.asOfOffset ? logged : own.report
  }

  /** Whether a runner that the tables do not name may still hold copies. */
  #mayHoldMemory (state: CellState, runner: string): boolean {
    const report = this.tracker.reportOf(runner)?.report ?? state.runners.find(({ name }) => name === runner)
    return (report?.copies.length ?? 0) > 0 || state.intents.some(({ order }) => order.runner === runner)
  }
}
