/** In-memory engines for the tests of cells. Tests check the ledger against the engines' own accounting. */
import { errAsync, ResultAsync, err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { EngineClient, type CacheEventPage, type EngineOrder, type EngineReport, type OrderOutcome, type ReportedCopy } from '@figloom/clients'

/** Fault in the delivery of an order. */
export type OrderFault =
  /** The order never arrives. */
  | { kind: 'lose' }
  /** The order takes effect and its answer is lost. */
  | { kind: 'lose-answer' }
  /** The order arrives late and its answer is lost. */
  | { kind: 'delay', delayMs: number }
  /** The order arrives, is answered, and is delivered a second time. */
  | { kind: 'duplicate', delayMs: number }

export type FakeEngineOptions = { name: string, memoryMiB: number, checksFencing: boolean, loadMs: number, unloadMs: number, listsOrders: boolean }

const RECENT_ORDERS_KEPT = 32

/** One engine; a new process starts empty and without a fence. */
export class FakeEngine {
  instance: string
  #generation = 1
  alive = true
  #copies: ReportedCopy[] = []
  #highestFence = 0
  #role = 'both'
  #recentOrders: { orderId: string, outcome: string }[] = []
  /** Peak memory use, in MiB. */
  peakMiB = 0
  readonly applied: EngineOrder[] = []

  constructor (
    readonly options: FakeEngineOptions,
    private readonly clock: Clock,
    private readonly onUnload: (engine: FakeEngine, order: EngineOrder) => void = () => {}
  ) {
    this.instance = `${options.name}-1`
  }

  get usedMiB (): number {
    return this.#copies.reduce((sum, copy) => sum + copy.weightsMiB + copy.kvReserveMiB + copy.adapters.reduce((part, { sizeMiB }) => part + sizeMiB, 0), 0)
  }

  holds (model: string): boolean {
    return this.alive && this.#copies.some((copy) => copy.model === model && copy.state === 'resident')
  }

  replaceProcess (): void {
    this.#generation += 1
    this.instance = `${this.options.name}-${this.#generation}`
    this.alive = true
    this.#copies = []
    this.#highestFence = 0
    this.#role = 'both'
    this.#recentOrders = []
  }

  /** Adds a resident copy without an order. */
  addCopy (model: string, weightsMiB: number, kvReserveMiB: number, version = '1'): void {
    this.#copies.push({ model, version, weightsMiB, kvReserveMiB, state: 'resident', adapters: [] })
  }

  apply (order: EngineOrder): OrderOutcome {
    const outcome = this.#applyFenced(order)
    this.#recentOrders.push({ orderId: order.orderId, outcome })
    if (this.#recentOrders.length > RECENT_ORDERS_KEPT) this.#recentOrders.shift()
    return { orderId: order.orderId, outcome, instance: this.instance }
  }

  report (): EngineReport {
    return {
      runner: this.options.name,
      instance: this.instance,
      memoryMiB: this.options.memoryMiB,
      usedMiB: this.usedMiB,
      role: this.#role,
      highestFence: this.#highestFence,
      copies: structuredClone(this.#copies),
      running: 0,
      queued: 0,
      kvUsedMiB: 0,
      ageMs: 0,
      recentOrders: this.options.listsOrders ? [...this.#recentOrders] : []
    }
  }

  #applyFenced (order: EngineOrder): OrderOutcome['outcome'] {
    if (this.options.checksFencing && order.fence < this.#highestFence) return 'stale-fence'
    if (this.options.checksFencing) this.#highestFence = order.fence
    this.applied.push(order)
    const outcome = this.#execute(order)
    this.peakMiB = Math.max(this.peakMiB, this.usedMiB)
    return outcome
  }

  #execute (order: EngineOrder): OrderOutcome['outcome'] {
    const copy = this.#copies.find(({ model, version }) => model === order.model && version === order.version)
    switch (order.action) {
      case 'load': return copy === undefined ? this.#load(order) : 'done'
      case 'unload': return copy === undefined ? 'done' : this.#unload(copy, order)
      case 'load-adapter': return copy === undefined ? 'refused' : this.#loadAdapter(copy, order)
      case 'unload-adapter':
        if (copy !== undefined) copy.adapters = copy.adapters.filter(({ name }) => name !== order.adapter)
        return 'done'
      case 'set-role':
        this.#role = order.role ?? this.#role
        return 'done'
      default: return 'refused'
    }
  }

  #load (order: EngineOrder): OrderOutcome['outcome'] {
    const copy: ReportedCopy = { model: order.model, version: order.version, weightsMiB: order.weightsMiB ?? 0, kvReserveMiB: order.kvReserveMiB ?? 0, state: 'loading', adapters: [] }
    this.#copies.push(copy)
    this.clock.setTimer(this.options.loadMs, () => { if (copy.state === 'loading') copy.state = 'resident' })
    return 'accepted'
  }

  #unload (copy: ReportedCopy, order: EngineOrder): OrderOutcome['outcome'] {
    this.onUnload(this, order)
    copy.state = 'unloading'
    this.clock.setTimer(this.options.unloadMs, () => { this.#copies = this.#copies.filter((other) => other !== copy) })
    return 'accepted'
  }

  #loadAdapter (copy: ReportedCopy, order: EngineOrder): OrderOutcome['outcome'] {
    if (copy.adapters.some(({ name }) => name === order.adapter)) return 'done'
    copy.adapters.push({ name: order.adapter ?? '', sizeMiB: order.sizeMiB ?? 0, state: 'resident' })
    return 'done'
  }
}

/** Client of all fake engines of a test; an order in flight is lost when the process that it was sent to ends. */
export class FakeEngines extends EngineClient {
  readonly engines = new Map<string, FakeEngine>()
  /** Faults of the next orders by runner URL, in order. */
  readonly faults = new Map<string, OrderFault[]>()
  /** Called when an unload takes effect, before the copy is removed. */
  onUnload: (engine: FakeEngine, order: EngineOrder) => void = () => {}

  private constructor (private readonly clock: Clock) {
    super()
  }

  static create (clock: Clock, engines: Partial<FakeEngineOptions>[]): FakeEngines {
    const fakes = new FakeEngines(clock)
    for (const options of engines) {
      const engine = new FakeEngine({ name: 'r1', memoryMiB: 100, checksFencing: true, loadMs: 1_000, unloadMs: 500, listsOrders: false, ...options }, clock, (...args) => fakes.onUnload(...args))
      fakes.engines.set(`http://${engine.options.name}`, engine)
    }
    return fakes
  }

  get (name: string): FakeEngine {
    const engine = this.engines.get(`http://${name}`)
    if (engine === undefined) throw new Error(`no engine ${name}`)
    return engine
  }

  fail (runner: string, ...faults: OrderFault[]): void {
    this.faults.set(`http://${runner}`, [...this.faults.get(`http://${runner}`) ?? [], ...faults])
  }

  override order (url: string, order: EngineOrder): ResultAsync<OrderOutcome, Failure> {
    return new ResultAsync(this.#order(url, order))
  }

  override report (url: string): ResultAsync<EngineReport, Failure> {
    const engine = this.engines.get(url)
    if (engine === undefined || !engine.alive) return errAsync(unavailable('no answer'))
    return ResultAsync.fromSafePromise(Promise.resolve(engine.report()))
  }

  override cacheEvents (): ResultAsync<CacheEventPage, Failure> {
    return errAsync(unavailable('no cache events'))
  }

  override cancel (): ReturnType<EngineClient['cancel']> {
    return errAsync(unavailable('no attempts'))
  }

  #deliverAgain (engine: FakeEngine, order: EngineOrder, delayMs: number): void {
    const { instance } = engine
    this.clock.setTimer(delayMs, () => { if (engine.alive && engine.instance === instance) engine.apply(order) })
  }

  async #order (url: string, order: EngineOrder): Promise<Result<OrderOutcome, Failure>> {
    const engine = this.engines.get(url)
    if (engine === undefined || !engine.alive) return err(unavailable('no answer'))
    const fault = this.faults.get(url)?.shift()
    const { instance } = engine
    if (fault?.kind === 'lose') return err(unavailable('the order was lost'))
    if (fault?.kind === 'delay') await this.clock.sleep(fault.delayMs)
    if (!engine.alive || engine.instance !== instance) return err(unavailable('the process ended'))
    const outcome = engine.apply(order)
    if (fault?.kind === 'duplicate') this.#deliverAgain(engine, order, fault.delayMs)
    return fault === undefined || fault.kind === 'duplicate' ? ok(outcome) : err(unavailable('the answer was lost'))
  }
}

function unavailable (message: string): Failure {
  return createFailure(ResultCode.PlatformUnavailable, message)
}
