import type { Clock } from '@figloom/runtime'

/** Faults of a plain service. Counts say how many of the coming calls are hit. */
export type ServiceFaults = {
  /** Every call is cut off before it runs. */
  down: boolean
  /** Delay of each answer after the run, in milliseconds. */
  delayMs: number
  /** Calls cut off before they run. */
  resetBeforeRun: number
  /** Calls cut off after they ran. */
  resetAfterRun: number
  /** Calls answered with status 500 without a run. */
  failBeforeRun: number
  /** Calls answered with status 500 after the run. */
  failAfterRun: number
}

/** Answer of a plain service: a status with the echoed call, or a connection cut off. */
export type ServiceAnswer =
  | { kind: 'answer', status: number, body: { service: string, key: string | undefined, runs: number, body: unknown } }
  | { kind: 'reset' }

const KEPT_KEYS = 100_000
const FAILED_STATUS = 500

/** The plain service's core: runs every call that reaches it and counts the runs of each key. */
export class ServiceCore {
  readonly faults: ServiceFaults = { down: false, delayMs: 0, resetBeforeRun: 0, resetAfterRun: 0, failBeforeRun: 0, failAfterRun: 0 }
  readonly #runs = new Map<string, number>()
  #total = 0
  #ranTwice = 0

  private constructor (private readonly clock: Clock, readonly service: string) {}

  static create (options: { clock: Clock, service: string }): ServiceCore {
    return new ServiceCore(options.clock, options.service)
  }

  /** Runs a call, also one whose key has run before. */
  async call (key: string | undefined, body: unknown): Promise<ServiceAnswer> {
    if (this.faults.down || this.#take('resetBeforeRun')) return { kind: 'reset' }
    if (this.#take('failBeforeRun')) return this.#answer(FAILED_STATUS, key, body)
    this.#countRun(key)
    const reset = this.#take('resetAfterRun')
    const status = this.#take('failAfterRun') ? FAILED_STATUS : 200
    const answer = this.#answer(status, key, body)
    if (this.faults.delayMs > 0) await this.clock.sleep(this.faults.delayMs)
    return reset ? { kind: 'reset' } : answer
  }

  /** Runs per key; `ranTwice` counts the keys that ran more than once. */
  stats () {
    return { service: this.service, total: this.#total, ranTwice: this.#ranTwice, runs: Object.fromEntries(this.#runs) }
  }

  #answer (status: number, key: string | undefined, body: unknown): ServiceAnswer {
    const runs = key === undefined ? this.#total : this.#runs.get(key) ?? 0
    return { kind: 'answer', status, body: { service: this.service, key, runs, body } }
  }

  #countRun (key: string | undefined): void {
    this.#total += 1
    if (key === undefined) return
    const runs = (this.#runs.get(key) ?? 0) + 1
    this.#runs.set(key, runs)
    if (runs === 2) this.#ranTwice += 1
    if (this.#runs.size > KEPT_KEYS) this.#runs.delete(this.#runs.keys().next().value as string)
  }

  #take (name: 'resetBeforeRun' | 'resetAfterRun' | 'failBeforeRun' | 'failAfterRun'): boolean {
    if (this.faults[name] <= 0) return false
    this.faults[name] -= 1
    return true
  }
}
