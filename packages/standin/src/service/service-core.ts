import type { Clock } from '@figloom/runtime'

/** Injected faults of a plain service. A count is the number of upcoming calls that the fault affects. */
export type ServiceFaults = {
  /** The connection of every call is reset before it runs. */
  down: boolean
  /** Delay of each answer after the run, in milliseconds. */
  delayMs: number
  /** Calls whose connection is reset before they run. */
  resetBeforeRun: number
  /** Calls whose connection is reset after they ran. */
  resetAfterRun: number
  /** Calls that are answered with status 500 and don't run. */
  failBeforeRun: number
  /** Calls that are answered with status 500 after they ran. */
  failAfterRun: number
}

/** Answer of a plain service: a status with the body that it echoes, or a connection reset. */
export type ServiceAnswer =
  | { kind: 'answer', status: number, body: { service: string, key: string | undefined, runs: number, body: unknown } }
  | { kind: 'reset' }

const MAX_COUNTED_KEYS = 100_000
const ERROR_STATUS = 500

/** A simulated plain service without its HTTP layer: runs every call that reaches it and counts the runs per idempotency key. */
export class ServiceCore {
  readonly faults: ServiceFaults = { down: false, delayMs: 0, resetBeforeRun: 0, resetAfterRun: 0, failBeforeRun: 0, failAfterRun: 0 }
  readonly #runs = new Map<string, number>()
  #total = 0
  #keysRunTwice = 0

  private constructor (private readonly clock: Clock, readonly service: string) {}

  static create (options: { clock: Clock, service: string }): ServiceCore {
    return new ServiceCore(options.clock, options.service)
  }

  /** Runs a call, even if a call with the same key has run before. */
  async call (key: string | undefined, body: unknown): Promise<ServiceAnswer> {
    if (this.faults.down || this.#consumeFault('resetBeforeRun')) return { kind: 'reset' }
    if (this.#consumeFault('failBeforeRun')) return this.#answer(ERROR_STATUS, key, body)
    this.#countRun(key)
    const reset = this.#consumeFault('resetAfterRun')
    const status = this.#consumeFault('failAfterRun') ? ERROR_STATUS : 200
    const answer = this.#answer(status, key, body)
    if (this.faults.delayMs > 0) await this.clock.sleep(this.faults.delayMs)
    return reset ? { kind: 'reset' } : answer
  }

  /** Number of runs, in total and per key; `ranTwice` is the number of keys that ran more than once. */
  stats () {
    return { service: this.service, total: this.#total, ranTwice: this.#keysRunTwice, runs: Object.fromEntries(this.#runs) }
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
    if (runs === 2) this.#keysRunTwice += 1
    if (this.#runs.size > MAX_COUNTED_KEYS) this.#runs.delete(this.#runs.keys().next().value as string)
  }

  #consumeFault (name: 'resetBeforeRun' | 'resetAfterRun' | 'failBeforeRun' | 'failAfterRun'): boolean {
    if (this.faults[name] <= 0) return false
    this.faults[name] -= 1
    return true
  }
}
