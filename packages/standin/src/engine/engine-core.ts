import type { CacheEventPage, EngineOrder, EngineReport, OrderOutcome } from '@figloom/clients'
import type { Clock } from '@figloom/runtime'
import { WeightStore } from '../store/weight-store.js'
import { EngineAttempts, type CancelOutcome } from './engine-attempts.js'
import { EngineMemory } from './engine-memory.js'
import { EngineOrders } from './engine-orders.js'
import { Gate } from './freeze-gate.js'
import { PrefixCache } from './prefix-cache.js'
import { defaultEngineConfig, noEngineFaults, type EngineConfig, type EngineFaults, type GenerateRequest, type GenerateSink } from './types.js'

/** Options of an engine; what `config` leaves out is taken from `defaultEngineConfig`. */
export type EngineCoreOptions = { clock: Clock, config?: Partial<EngineConfig>, store?: WeightStore }

type CountedFault = { [Name in keyof EngineFaults]: EngineFaults[Name] extends number ? Name : never }[keyof EngineFaults]

/** The engine stand-in's core: orders, memory, attempts and prefix cache in memory, with faults, on any clock. */
export class EngineCore {
  config: EngineConfig
  readonly faults: EngineFaults = { ...noEngineFaults }
  readonly #gate = Gate.create()
  #memory!: EngineMemory
  #cache!: PrefixCache
  #attempts!: EngineAttempts
  #orders!: EngineOrders
  #report: { report: EngineReport, takenAtMs: number } | undefined
  #restarts = 0
  /** Memory figures of processes that were replaced. */
  readonly #before = { overcommitCount: 0, peakUsedMiB: 0 }

  private constructor (private readonly clock: Clock, config: EngineConfig, private readonly store: WeightStore) {
    this.config = config
    this.#boot(config.copies)
  }

  static create (options: EngineCoreOptions): EngineCore {
    const store = options.store ?? WeightStore.create({ clock: options.clock })
    return new EngineCore(options.clock, { ...defaultEngineConfig, ...options.config }, store)
  }

  /** Switches faults; switching `frozen` off lets everything held back go on in order. */
  setFaults (faults: Partial<EngineFaults>): void {
    Object.assign(this.faults, faults)
    this.#gate.frozen = this.faults.frozen
  }

  /** Takes one of a counted fault; returns whether there was one. */
  takeFault (name: CountedFault): boolean {
    if (this.faults[name] <= 0) return false
    this.faults[name] -= 1
    return true
  }

  /** Replaces the process: another instance, with nothing resident and nothing known. */
  restart (instance = `${defaultEngineConfig.instance}-restart-${this.#restarts + 1}`): void {
    this.#restarts += 1
    this.#before.overcommitCount += this.#memory.overcommitCount
    this.#before.peakUsedMiB = Math.max(this.#before.peakUsedMiB, this.#memory.peakUsedMiB)
    this.#attempts.abandon()
    this.config = { ...this.config, instance }
    this.#boot([])
  }

  /** Delivers an order with the faults set; undefined means that no answer comes. */
  async order (order: EngineOrder): Promise<OrderOutcome | undefined> {
    if (this.faults.down || this.takeFault('loseOrders')) return undefined
    if (this.takeFault('repeatOrders')) this.clock.setTimer(this.faults.orderRepeatMs, () => this.#gate.run(() => this.#orders.apply(order)))
    const loseAnswer = this.takeFault('loseOrderAnswers')
    if (this.takeFault('delayOrders')) await this.clock.sleep(this.faults.orderDelayMs)
    await this.#gate.pass()
    const outcome = this.#orders.apply(order)
    return loseAnswer ? undefined : outcome
  }

  /** Returns the report, as old as `reportLagMs` allows; undefined means that no answer comes. */
  async report (): Promise<EngineReport | undefined> {
    if (this.faults.down) return undefined
    await this.#gate.pass()
    const nowMs = this.clock.monotonicMs()
    if (this.#report === undefined || nowMs - this.#report.takenAtMs >= this.config.reportLagMs) {
      this.#report = { report: this.#takeReport(), takenAtMs: nowMs }
    }
    return { ...this.#report.report, ageMs: nowMs - this.#report.takenAtMs }
  }

  async cacheEvents (fromSequence: number): Promise<CacheEventPage | undefined> {
    if (this.faults.down) return undefined
    await this.#gate.pass()
    return this.#cache.read(fromSequence)
  }

  async cancel (attemptId: string): Promise<CancelOutcome | undefined> {
    if (this.faults.down) return undefined
    await this.#gate.pass()
    return this.#attempts.cancel(attemptId)
  }

  /** Submits a generation; see `EngineAttempts.submit`. */
  async generate (request: GenerateRequest, sink: GenerateSink): Promise<'accepted' | 'not-resident' | 'canceled'> {
    await this.#gate.pass()
    return this.#attempts.submit(request, sink)
  }

  /** Another attempt that runs now, for crossed answers. */
  otherThan (attemptId: string): GenerateRequest | undefined {
    return this.#attempts.otherThan(attemptId)
  }

  /** Figures for tests and measurements. */
  stats () {
    return {
      runner: this.config.runner,
      instance: this.config.instance,
      ...this.#attempts.counts,
      ...this.#orders.counts,
      usedMiB: this.#memory.usedMiB,
      peakUsedMiB: Math.max(this.#before.peakUsedMiB, this.#memory.peakUsedMiB),
      overcommitCount: this.#before.overcommitCount + this.#memory.overcommitCount,
      runs: Object.fromEntries(this.#attempts.runs)
    }
  }

  #boot (copies: EngineConfig['copies']): void {
    const { clock, config, store } = this
    this.#report = undefined
    this.#memory = EngineMemory.create(config.memoryMiB)
    for (const copy of copies) {
      this.#memory.add({ ...copy, state: 'resident', adapters: copy.adapters.map((adapter) => ({ ...adapter, state: 'resident' })) })
    }
    const cache = PrefixCache.create(config.cachedPrefixes, () => this.takeFault('skipCacheEvents'))
    const attempts = EngineAttempts.create({
      clock,
      config,
      memory: this.#memory,
      cache,
      gate: this.#gate,
      replaced: this.#restarts > 0,
      slowTokenMs: () => this.faults.slowTokenMs
    })
    this.#cache = cache
    this.#attempts = attempts
    this.#orders = EngineOrders.create({
      clock,
      config,
      memory: this.#memory,
      store,
      gate: this.#gate,
      drain: (key, done) => attempts.drain(key, done),
      onUnloaded: (model) => cache.dropModel(model)
    })
  }

  #takeReport (): EngineReport {
    return {
      runner: this.config.runner,
      instance: this.config.instance,
      memoryMiB: this.config.memoryMiB,
      usedMiB: this.#memory.usedMiB,
      role: this.#orders.role,
      highestFence: this.#orders.highestFence,
      copies: structuredClone([...this.#memory.copies.values()]),
      running: this.#attempts.running,
      queued: this.#attempts.queued,
      kvUsedMiB: this.#attempts.running * this.config.kvAttemptMiB,
      ageMs: 0,
      recentOrders: [...this.#orders.recent]
    }
  }
}
