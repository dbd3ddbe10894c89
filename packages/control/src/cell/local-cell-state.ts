/** All that one host knows of a cell besides its stream: tables, health, and what the books say of its runners. */
import type { Clock } from '@figloom/runtime'
import type { AdmissionContext, OrderableRunner } from './admission.js'
import type { RunnerView } from '@figloom/tables'
import { toRunnerView, type RunnerViewInput } from './cell-view.js'
import { RunnerBooks, type RunnerSpec } from './runner-tracker.js'
import type { CellState, Intent } from './state.js'
import type { CellConfig, CellView } from './types.js'

export type SituationOptions = {
  clock: Clock
  cell: string
  /** Age at which a runner's newest report no longer shows that it is alive, in milliseconds. */
  staleReportMs: number
}

/** Knowledge of one host; the stream's state is passed in. */
export class CellSituation {
  readonly books = RunnerBooks.create()
  #config: CellConfig | undefined
  #namedRunners: ReadonlySet<string> = new Set()
  readonly #views = new Map<string, { input: RunnerViewInput, view: RunnerView }>()
  readonly unhealthy = new Set<string>()
  readonly draining = new Set<string>()

  private constructor (private readonly options: SituationOptions) {}

  static create (options: SituationOptions): CellSituation {
    return new CellSituation(options)
  }

  get config (): CellConfig | undefined {
    return this.#config
  }

  setConfig (config: CellConfig): void {
    this.#config = config
    this.#namedRunners = new Set(config.runners.map(({ name }) => name))
  }

  /** Runners of the tables, and those that only the stream still knows. */
  specsOf (state: CellState): RunnerSpec[] {
    const named = this.#config?.runners ?? []
    return [...named, ...state.runners.filter(({ name }) => !this.#isInTables(name) && this.#isOnBooks(state, name))]
  }

  /** Runners as a holder may order on them: reports from before its claim, or from before `sinceOffset`, do not count. */
  orderableRunners (state: CellState, sinceOffset = 0): Map<string, OrderableRunner> {
    const runners = this.specsOf(state).map((spec): OrderableRunner => {
      const taken = this.books.reportOf(spec.name)
      const isUsable = taken !== undefined && taken.asOfOffset >= Math.max(sinceOffset, state.claim?.offset ?? Infinity)
      return {
        spec,
        taken: isUsable ? taken : undefined,
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

  /** The view; `reclaimable` intents do not count as booked. */
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
        report: this.#shownReport(state, spec.name),
        intents: state.intents.filter((intent) => intent.order.runner === spec.name && !reclaimable(intent)),
        transitReserveMiB: this.config?.transitReserveMiB ?? 0,
        healthy: !this.unhealthy.has(spec.name) && !(lease.isHolder && this.#isStale(spec.name)),
        draining: this.draining.has(spec.name) || !this.#isInTables(spec.name)
      })),
      unsettled: state.intents.map(({ offset, order, sender, standby }) => ({ offset, order, sender, standby })),
      retiring: specs.map(({ name }) => name).filter((name) => !this.#isInTables(name))
    }
  }

  /** Builds the view of a runner, or gives the last one again where nothing changed and no order is open. */
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
    return this.#namedRunners.has(runner)
  }

  #isHealthy (runner: string): boolean {
    return this.books.reportOf(runner) !== undefined && !this.unhealthy.has(runner) && !this.#isStale(runner)
  }

  #isStale (runner: string): boolean {
    const taken = this.books.reportOf(runner)
    return taken !== undefined && this.options.clock.monotonicMs() - taken.takenMs >= this.options.staleReportMs
  }

  /** The host's own report while it is fresh and the stream has none that was taken later, else what the stream says. */
  #shownReport (state: CellState, runner: string) {
    const own = this.books.reportOf(runner)
    const logged = state.runners.find(({ name }) => name === runner)
    if (own === undefined || logged === undefined) return logged ?? own?.report
    return this.#isStale(runner) || logged.asOfOffset > own.asOfOffset ? logged : own.report
  }

  /** Whether a runner that the tables do not name may still hold memory. */
  #isOnBooks (state: CellState, runner: string): boolean {
    const report = this.books.reportOf(runner)?.report ?? state.runners.find(({ name }) => name === runner)
    return (report?.copies.length ?? 0) > 0 || state.intents.some(({ order }) => order.runner === runner)
  }
}
