import type { CacheEventPage, EngineOrder, EngineReport, OrderOutcome } from '@figloom/clients'
import type { Clock } from '@figloom/runtime'
import { WeightStore } from '../store/weight-store.js'
import { EngineAttempts, type CancelOutcome } from './engine-attempts.js'
import { EngineMemory } from './engine-memory.js'
import { EngineOrders } from './engine-orders.js'
import { FreezeGate } from './freeze-gate.js'
import { PrefixCache } from './prefix-cache.js'
import { defaultEngineConfig, noEngineFaults, type EngineConfig, type EngineFaults, type GenerateRequest, type GenerateSink } from './types.js'

/** Options of an engine. Settings that `config` omits come from `defaultEngineConfig`. */
export type EngineCoreOptions = { clock: Clock, config?: Partial<EngineConfig>, store?: WeightStore }

type CountedFault = { [Name in keyof EngineFaults]: EngineFaults[Name] extends number ? Name : never }[keyof EngineFaults]

/** A simulated engine without its HTTP layer: orders, memory, attempts, prefix cache and injected faults. */
export class EngineCore {
  config: EngineConfig
  readonly faults: EngineFaults = { ...noEngineFaults }
  readonly #gate = FreezeGate.create()
  #memory!: EngineMemory
  #cache!: PrefixCache
  #attempts!: EngineAttempts
  #orders!: EngineOrders
  #report: { report: EngineReport, takenAtMs: number } | undefined
  #restarts = 0
  /** Memory statistics of the processes before the last restart. */
  readonly #earlierProcesses = { overcommitCount: 0, peakUsedMiB: 0 }

  private constructor (private readonly clock: Clock, config: EngineConfig, private readonly store: WeightStore) {
    this.config = config
    this.#startProcess(config.copies)
  }

  static create (options: EngineCoreOptions): EngineCore {
    const store = options.store ?? WeightStore.create({ clock: options.clock })
    return new EngineCore(options.clock, { ...defaultEngineConfig, ...options.config }, store)
  }

  /** Sets faults. Setting `frozen` to false runs everything that was held back, in order. */
  setFaults (faults: Partial<EngineFaults>): void {
    Object.assign(this.faults, faults)
    this.#gate.frozen = this.faults.frozen
  }

  /** Decrements a counted fault if it is above 0; returns whether it was. */
  consumeFault (name: CountedFault): boolean {
    if (this.faults[name] <= 0) return false
    this.faults[name] -= 1
    return true
  }

  /** Simulates a restart: the new process has another instance id, no copies, and no record of earlier attempts and orders. */
  restart (instance = `${defaultEngineConfig.instance}-restart-${this.#restarts + 1}`): void {
    this.#restarts += 1
    this.#earlierProcesses.overcommitCount += this.#memory.overcommitCount
    this.#earlierProcesses.peakUsedMiB = Math.max(this.#earlierProcesses.peakUsedMiB, this.#memory.peakUsedMiB)
    this.#attempts.terminateAll()
    this.config = { ...this.config, instance }
    this.#startProcess([])
  }

  /** Delivers an order, subject to the injected faults. Undefined: the sender gets no answer. */
  async order (order: EngineOrder): Promise<OrderOutcome | undefined> {
    if (this.faults.down || this.consumeFault('loseOrders')) return undefined
    if (this.consumeFault('repeatOrders')) this.clock.setTimer(this.faults.orderRepeatMs, () => this.#gate.whenUnfrozen(() => this.#orders.execute(order)))
    const isAnswerLost = this.consumeFault('loseOrderAnswers')
    if (this.consumeFault('delayOrders')) await this.clock.sleep(this.faults.orderDelayMs)
    await this.#gate.untilUnfrozen()
    const outcome = this.#orders.execute(order)
    return isAnswerLost ? undefined : outcome
  }

  /** Returns a report, which is reused until it is `reportLagMs` old. Undefined: the sender gets no answer. */
  async report (): Promise<EngineReport | undefined> {
    if (this.faults.down) return undefined
    await this.#gate.untilUnfrozen()
    const nowMs = this.clock.monotonicMs()
    if (this.#report === undefined || nowMs - this.#report.takenAtMs >= this.config.reportLagMs) {
      this.#report = { report: this.#createReport(), takenAtMs: nowMs }
    }
    return { ...this.#report.report, ageMs: nowMs - this.#report.takenAtMs }
  }

  async cacheEvents (fromSequence: number): Promise<CacheEventPage | undefined> {
    if (this.faults.down) return undefined
    await this.#gate.untilUnfrozen()
    return this.#cache.readEvents(fromSequence)
  }

  async cancel (attemptId: string): Promise<CancelOutcome | undefined> {
    if (this.faults.down) return undefined
    await this.#gate.untilUnfrozen()
    return this.#attempts.cancel(attemptId)
  }

  /** Submits a generation; see `EngineAttempts.submit`. */
  async generate (request: GenerateRequest, sink: GenerateSink): Promise<'accepted' | 'not-resident' | 'canceled'> {
    await this.#gate.untilUnfrozen()
    return this.#attempts.submit(request, sink)
  }

  /** The request of another running attempt, for the fault `crossAnswers`. */
  otherRunningRequest (attemptId: string): GenerateRequest | undefined {
    return this.#attempts.otherRunningRequest(attemptId)
  }

  /** Statistics for tests and measurements. */
  stats () {
    return {
      runner: this.config.runner,
      instance: this.config.instance,
      ...this.#attempts.counts,
      ...this.#orders.counts,
      usedMiB: this.#memory.usedMiB,
      peakUsedMiB: Math.max(this.#earlierProcesses.peakUsedMiB, this.#memory.peakUsedMiB),
      overcommitCount: this.#earlierProcesses.overcommitCount + this.#memory.overcommitCount,
      runs: Object.fromEntries(this.#attempts.runs)
    }
  }

  #startProcess (copies: EngineConfig['copies']): void {
    const { clock, config, store } = this
    this.#report = undefined
    this.#memory = EngineMemory.create(config.memoryMiB)
    for (const copy of copies) {
      this.#memory.add({ ...copy, state: 'resident', adapters: copy.adapters.map((adapter) => ({ ...adapter, state: 'resident' })) })
    }
    const cache = PrefixCache.create(config.cachedPrefixes, () => this.consumeFault('skipCacheEvents'))
    const attempts = EngineAttempts.create({
      clock,
      config,
      memory: this.#memory,
      cache,
      gate: this.#gate,
      isRestarted: this.#restarts > 0,
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
      onUnloaded: (model) => cache.evictModel(model)
    })
  }

  #createReport (): EngineReport {
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
      recentOrders: [...this.#orders.recentOrders]
    }
  }
}
