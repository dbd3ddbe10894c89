/** Fake runners for tests of orders: answers can be lost, orders can be delayed, and orders beyond a runner's capacity are noticed. */
import type { Clock } from '@figloom/runtime'
import type { EngineSpec } from '../config/types.js'
import { OrderAnswer, OrderKind, RunnerOrders, type RunnerOrder } from '../orders/types.js'
import type { ResidentModel, RunnerEntry, RunnerReport } from '../runners/types.js'

/** What happens to an order after it is sent. */
export const DeliveryOutcome = { Delivered: 'carried', AnswerLost: 'answer-lost', Delayed: 'late' } as const
export type DeliveryOutcome = (typeof DeliveryOutcome)[keyof typeof DeliveryOutcome]

const DELAY_MS = 3_000
const UNLOAD_MS = 100
const ANSWER_TIMEOUT_MS = 400

export class FakeRunner {
  readonly #models = new Map<string, Set<string>>()
  #loading: string | undefined
  #unloading: string | undefined
  #accepted = 0
  /** Whether it has accepted orders for more models or adapters than fit. */
  overcommitted = false
  readonly orders: RunnerOrder[] = []
  /** Models whose load ends the runner's process; it starts again empty. */
  readonly deadlyModels = new Set<string>()
  softwareVersion: string | undefined
  #starts = 1

  private constructor (readonly id: string, private readonly engine: EngineSpec, private readonly clock: Clock) {}

  static create (id: string, engine: EngineSpec, clock: Clock, models: string[]): FakeRunner {
    const runner = new FakeRunner(id, engine, clock)
    for (const model of models) runner.#models.set(model, new Set())
    return runner
  }

  get models (): ResidentModel[] {
    return [...this.#models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }))
  }

  entry (): RunnerEntry {
    return { id: this.id, service: 'engine', address: this.id, availabilityZone: 'z', softwareVersion: this.softwareVersion, slots: this.engine.slots, draining: false, startedUnixMs: this.#starts, models: this.models, localWeights: [] }
  }

  report (): RunnerReport {
    return { models: this.models, coming: [], busy: this.#isBusy, acceptedOrders: this.#accepted, running: 0, queued: 0 }
  }

  execute (order: RunnerOrder): OrderAnswer {
    if (order.expectedOrders !== this.#accepted || this.#isBusy) return OrderAnswer.Conflict
    this.orders.push(order)
    this.#accepted += 1
    if (order.adapter !== undefined) this.#changeAdapter(order, order.adapter)
    else this.#changeModel(order)
    if (this.#usedMb() > this.engine.weightsMb || this.#adapterCount() > this.engine.adapterSlots) this.overcommitted = true
    return OrderAnswer.Accepted
  }

  /** Number of processes so far. */
  get starts (): number {
    return this.#starts
  }

  #restart (): void {
    this.#starts += 1
    this.#accepted = 0
    this.#models.clear()
  }

  get #isBusy (): boolean {
    return this.#loading !== undefined || this.#unloading !== undefined
  }

  #changeAdapter (order: RunnerOrder, adapter: string): void {
    const adapters = this.#models.get(order.model)
    if (order.kind === OrderKind.Load) adapters?.add(adapter)
    else adapters?.delete(adapter)
  }

  #changeModel (order: RunnerOrder): void {
    const { model } = order
    if (order.kind === OrderKind.Load) {
      this.#loading = model
      this.clock.setTimer(this.engine.models.get(model)?.loadMs ?? 0, () => {
        this.#loading = undefined
        if (this.deadlyModels.has(model)) this.#restart()
        else this.#models.set(model, new Set())
      })
      return
    }
    this.#unloading = model
    this.clock.setTimer(UNLOAD_MS, () => {
      this.#models.delete(model)
      this.#unloading = undefined
    })
  }

  #usedMb (): number {
    const names = [...this.#models.keys(), ...(this.#loading === undefined ? [] : [this.#loading])]
    const weights = names.reduce((sum, name) => sum + (this.engine.models.get(name)?.sizeMb ?? 0), 0)
    const adapters = this.models.reduce((sum, { name, adapters }) => sum + adapters.length * (this.engine.models.get(name)?.adapterSizeMb ?? 0), 0)
    return weights + adapters
  }

  #adapterCount (): number {
    return this.models.reduce((sum, { adapters }) => sum + adapters.length, 0)
  }
}

/** Sends orders to fake runners; the test decides what happens to each order. */
export class FakeRunnerOrders extends RunnerOrders {
  private constructor (
    private readonly runners: ReadonlyMap<string, FakeRunner>,
    private readonly clock: Clock,
    private readonly nextOutcome: () => DeliveryOutcome
  ) {
    super()
  }

  static create (runners: readonly FakeRunner[], clock: Clock, nextOutcome: () => DeliveryOutcome): FakeRunnerOrders {
    return new FakeRunnerOrders(new Map(runners.map((runner) => [runner.id, runner])), clock, nextOutcome)
  }

  override onSignals (): void {}

  override async report (runner: RunnerEntry): Promise<RunnerReport> {
    const known = this.runners.get(runner.id)
    if (known === undefined) throw new Error('unknown runner')
    return known.report()
  }

  override async send (runner: RunnerEntry, order: RunnerOrder): Promise<OrderAnswer> {
    const known = this.runners.get(runner.id)
    if (known === undefined) return OrderAnswer.Unknown
    const outcome = this.nextOutcome()
    if (outcome === DeliveryOutcome.Delivered) return known.execute(order)
    if (outcome === DeliveryOutcome.AnswerLost) known.execute(order)
    else this.clock.setTimer(DELAY_MS, () => { known.execute(order) })
    await this.clock.sleep(ANSWER_TIMEOUT_MS)
    return OrderAnswer.Unknown
  }
}
