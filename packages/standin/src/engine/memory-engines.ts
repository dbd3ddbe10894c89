import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { EngineClient, type CacheEventPage, type EngineOrder, type EngineReport, type OrderOutcome } from '@figloom/clients'
import type { CancelOutcome } from './engine-attempts.js'
import { EngineCore, type EngineCoreOptions } from './engine-core.js'

const DEFAULT_TIMEOUT_MS = 2_000

/** Engine client for simulated engines in this process, by runner URL. A call without an answer fails after `timeoutMs`. */
export class MemoryEngines extends EngineClient {
  readonly engines = new Map<string, EngineCore>()

  private constructor (private readonly clock: Clock, private readonly timeoutMs: number) {
    super()
  }

  static create (options: { clock: Clock, timeoutMs?: number }): MemoryEngines {
    return new MemoryEngines(options.clock, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  /** Creates an engine at a URL and returns it, so that the caller can set faults and read statistics. */
  add (runnerUrl: string, options: Omit<EngineCoreOptions, 'clock'> = {}): EngineCore {
    const engine = EngineCore.create({ clock: this.clock, ...options })
    this.engines.set(runnerUrl, engine)
    return engine
  }

  /** Removes an engine. Later calls to its URL fail as refused connections, which means that they were not executed. */
  remove (runnerUrl: string): void {
    this.engines.delete(runnerUrl)
  }

  override order (runnerUrl: string, order: EngineOrder, signal?: AbortSignal): ResultAsync<OrderOutcome, Failure> {
    return this.#call(runnerUrl, (engine) => engine.order(structuredClone(order)), signal)
  }

  override report (runnerUrl: string, signal?: AbortSignal): ResultAsync<EngineReport, Failure> {
    return this.#call(runnerUrl, (engine) => engine.report(), signal).map((report) => structuredClone(report))
  }

  override cacheEvents (runnerUrl: string, fromSequence: number, signal?: AbortSignal): ResultAsync<CacheEventPage, Failure> {
    return this.#call(runnerUrl, (engine) => engine.cacheEvents(fromSequence), signal)
  }

  override cancel (runnerUrl: string, attemptId: string, signal?: AbortSignal): ResultAsync<{ outcome: CancelOutcome }, Failure> {
    return this.#call(runnerUrl, (engine) => engine.cancel(attemptId), signal).map((outcome) => ({ outcome }))
  }

  #call<T> (runnerUrl: string, run: (engine: EngineCore) => Promise<T | undefined>, signal?: AbortSignal): ResultAsync<T, Failure> {
    return new ResultAsync(this.#callWithTimeout(runnerUrl, run, signal))
  }

  /** A call that reached the engine continues after the timeout, as it would on a real engine. */
  async #callWithTimeout<T> (runnerUrl: string, run: (engine: EngineCore) => Promise<T | undefined>, signal?: AbortSignal): Promise<Result<T, Failure>> {
    const engine = this.engines.get(runnerUrl)
    if (engine === undefined) return err(createFailure(ResultCode.PlatformUnavailable, 'connection refused', { ran: 'no' }))
    const settled = new AbortController()
    const timeout = this.clock.sleep(this.timeoutMs, anySignal(settled.signal, signal)).then(() => undefined)
    const answer = await Promise.race([run(engine), timeout])
    settled.abort()
    if (answer === undefined) return err(createFailure(ResultCode.PlatformUnavailable, 'the engine did not answer'))
    return ok(answer)
  }
}

function anySignal (first: AbortSignal, second: AbortSignal | undefined): AbortSignal {
  return second === undefined ? first : AbortSignal.any([first, second])
}
